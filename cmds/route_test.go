package cmds

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/io/sighup"
)

// busyProcess is a runner that receives SIGTERM during its start or a reload.
type busyProcess struct {
	t           *testing.T
	busyInStart bool
	// signaledAt is when the signal was sent; stopDeadline is the deadline passed to Stop.
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

// signalAndBlock sends SIGTERM to the test's own process and then blocks for 500 ms.
func (p *busyProcess) signalAndBlock() {
	p.signaledAt = time.Now()
	require.NoError(p.t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	time.Sleep(500 * time.Millisecond)
}

// The drain timeout must count from the signal, also if it arrives during the start or a reload:
// the platform kills the process when the time is over, and requests in progress get no answer.
func TestTimeToStopCountsFromTheSignal(t *testing.T) {
	const drainTimeout = time.Minute
	for name, starting := range map[string]bool{"while it starts": true, "while it reads its settings": false} {
		t.Run(name, func(t *testing.T) {
			p := &busyProcess{t: t, busyInStart: starting}
			if !starting {
				sighup.Signals <- syscall.SIGHUP
			}
			require.NoError(t, runUntilSignal(drainTimeout, p, nil))
			assert.WithinRange(t, p.stopDeadline, p.signaledAt.Add(drainTimeout), p.signaledAt.Add(drainTimeout+250*time.Millisecond))
		})
	}
}
