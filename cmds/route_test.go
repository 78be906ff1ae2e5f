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
	t        *testing.T
	starting bool
	// signaled is when the signal was sent, stopBy when Stop was to end by.
	signaled, stopBy time.Time
}

// Start implements runner.
func (p *busyProcess) Start(context.Context) error {
	if p.starting {
		p.work()
	}
	return nil
}

// Reload implements reloader.
func (p *busyProcess) Reload() { p.work() }

// Stop implements runner.
func (p *busyProcess) Stop(ctx context.Context) error {
	p.stopBy, _ = ctx.Deadline()
	return nil
}

func (p *busyProcess) work() {
	p.signaled = time.Now()
	require.NoError(p.t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	time.Sleep(500 * time.Millisecond)
}

// The time to stop counts from the signal: the platform kills the process when it is
// over, and requests that are in progress then have no answer.
func TestTimeToStopCountsFromTheSignal(t *testing.T) {
	const most = time.Minute
	for name, starting := range map[string]bool{"while it starts": true, "while it reads its settings": false} {
		t.Run(name, func(t *testing.T) {
			p := &busyProcess{t: t, starting: starting}
			if !starting {
				hangup.Signals <- syscall.SIGHUP
			}
			require.NoError(t, runUntilSignal(most, p, nil))
			assert.WithinRange(t, p.stopBy, p.signaled.Add(most), p.signaled.Add(most+250*time.Millisecond))
		})
	}
}
