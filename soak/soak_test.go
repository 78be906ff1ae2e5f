package soak

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// seeds are run in CI: one for a short run, and those that ever failed.
var seeds = map[string]struct {
	seed uint64
	time time.Duration
}{
	"short": {1, 6 * time.Second},
	// Two faults restarted the same router at once; the harness started it twice.
	"router stopped and killed at once": {3, 12 * time.Second},
	// Two faults replaced the same replica at once; the harness started it twice.
	"replica replaced twice at once": {103, 12 * time.Second},
	// A router that got SIGHUP while it started was ended by it: its handler came
	// late, and the harness sent it before the program had run at all.
	"settings read again at the start":     {239, 6 * time.Second},
	"settings read again at the start, II": {300, 4 * time.Second},
	// A router was started in the moment in which a replica was replaced, and held the
	// replica's address between fork and exec.
	"replica replaced while a program starts": {512, 4 * time.Second},
	// Routers that stopped left requests without an answer that waited for a load
	// (incident inc1 of 2026-12-04).
	"router stopped while models load":      {2000, 8 * time.Second},
	"router stopped while models load, II":  {2101, 8 * time.Second},
	"router stopped while models load, III": {2102, 8 * time.Second},
	// A stand-in of a replica that crashed right after its start kept its address.
	"replica crashes at once after its start":     {203, 6 * time.Second},
	"replica crashes at once after its start, II": {208, 6 * time.Second},
}

// runsAtOnce is how many fleets run beside each other: each is a dozen processes.
const maxConcurrentRuns = 2

// build returns the program, built as it is delivered.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "chervilreach")
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", bin, "chervilreach")
	cmd.Stderr = os.Stderr
	require.NoError(t, cmd.Run())
	return bin
}

func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	bin := build(t)
	running := make(chan struct{}, maxConcurrentRuns)
	for name, c := range seeds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			report, err := Run(t.Context(), Options{
				Bin: bin, Dir: t.TempDir(), Seed: c.seed, FaultDuration: c.time, Routers: 3, ModelReplicas: 3, Callers: 8,
			})
			require.NoError(t, err)
			assert.Empty(t, report.Violations)
			assert.Positive(t, report.Statuses[200])
			assert.NotEmpty(t, report.Faults)
		})
	}
}

// A request that its router has read is owed an answer unless the router was killed,
// or closed open connections as the request came.
func TestRequestsThatAreOwedAnAnswer(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	eof := outcome{sent: true, err: io.ErrUnexpectedEOF, connectedAt: at(1), sentAt: at(2), endedAt: at(9)}
	for name, c := range map[string]struct {
		change func(o *outcome)
		lives  []lifetime
		owed   bool
	}{
		"no end":                    {nil, []lifetime{{startedAt: start}}, true},
		"stopped after it was sent": {nil, []lifetime{{startedAt: start, stoppedAt: at(3)}}, true},
		"stopped just before":       {nil, []lifetime{{startedAt: start, stoppedAt: at(1.5)}}, true},
		"crossed the closing":       {func(o *outcome) { o.sentAt = at(5) }, []lifetime{{startedAt: start, stoppedAt: at(1.5)}}, false},
		"killed":                    {nil, []lifetime{{startedAt: start, killedAt: at(8)}}, false},
		"killed after the end":      {nil, []lifetime{{startedAt: start, killedAt: at(10)}}, true},
		"a later program killed":    {nil, []lifetime{{startedAt: start}, {startedAt: at(3), killedAt: at(8)}}, true},
		"an earlier program killed": {nil, []lifetime{{startedAt: start, killedAt: at(0.5)}, {startedAt: at(0.6)}}, true},
		"answered":                  {func(o *outcome) { o.status = 502 }, []lifetime{{startedAt: start}}, false},
		"never sent":                {func(o *outcome) { o.sent = false }, []lifetime{{startedAt: start}}, false},
		"caller gave up":            {func(o *outcome) { o.err = os.ErrDeadlineExceeded }, []lifetime{{startedAt: start}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			o := eof
			if c.change != nil {
				c.change(&o)
			}
			p := &process{lifetimes: c.lives}
			assert.Equal(t, c.owed, o.closedUnanswered() && p.owesAnswer(o))
		})
	}
}

// The checks must see what they are for.
func TestChecksSee(t *testing.T) {
	whole := outcome{attempt: "a", path: "/once/", status: 200, body: "answer to a", seal: "seal i a", complete: true}
	assert.Empty(t, whole.responseDefect(streamEvents))
	for name, change := range map[string]func(o *outcome){
		"another's seal":        func(o *outcome) { o.seal = "seal i b" },
		"another's body":        func(o *outcome) { o.body = "answer to b" },
		"short body as whole":   func(o *outcome) { o.body = "answer" },
		"broken off, and wrong": func(o *outcome) { o.complete, o.body = false, "answer to b" },
		"stream with a gap":     func(o *outcome) { o.path, o.complete, o.body = "/draft/", false, "id: 1\n" },
	} {
		t.Run(name, func(t *testing.T) {
			o := whole
			change(&o)
			assert.NotEmpty(t, o.responseDefect(streamEvents))
		})
	}
}
