package cmds

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/io/hangup"
)

// busyProcess is one that gets SIGTERM while it is busy.
type busyProcess struct {
	t           *testing.T
	busyInStart bool
	// signaled is when the signal was sent, stopBy when Stop was to end by.
	signaledAt, stopDeadline time.Time
}

// Start implements runner.
func (p *busyProcess) Start(context.Context) error {
	if p.busyInStart {
		p.signalAndBlock()
	}
	return nil
}

// Reload implements reloader.
func (p *busyProcess) Reload() { p.signalAndBlock() }

// Stop implements runner.
func (p *busyProcess) Stop(ctx context.Context) error {
	p.stopDeadline, _ = ctx.Deadline()
	return nil
}

func (p *busyProcess) signalAndBlock() {
	p.signaledAt = time.Now()
	require.NoError(p.t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	time.Sleep(500 * time.Millisecond)
}

// The time to stop counts from the signal: the platform kills the process when it is
// over, and requests that are in progress then have no answer.
func TestTimeToStopCountsFromTheSignal(t *testing.T) {
	const most = time.Minute
	for name, starting := range map[string]bool{"while it starts": true, "while it reads its settings": false} {
		t.Run(name, func(t *testing.T) {
			p := &busyProcess{t: t, busyInStart: starting}
			if !starting {
				hangup.Signals <- syscall.SIGHUP
			}
			require.NoError(t, runUntilSignal(most, p, nil))
			assert.WithinRange(t, p.stopDeadline, p.signaledAt.Add(most), p.signaledAt.Add(most+250*time.Millisecond))
		})
	}
}
