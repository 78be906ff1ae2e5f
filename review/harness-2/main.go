// Command harness2 runs the scripted cases of the second review. It starts the project's programs beside small stand-ins
// of the platform, of replicas and of clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the scripted cases by name. Each returns how often the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, file string) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.note("could not run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-ends
		rec.note("could not run to its end: a signal")
		f.stop()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption %v", name, trouble)
	broken, err := cases[name](f, trouble)
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		return exitNotRun
	case f.ended() != "":
		rec.note("could not run: %s ended by itself", f.ended())
		return exitNotRun
	case served.Load() == 0:
		rec.note("could not run: nothing was served")
		return exitNotRun
	case broken > 0:
		rec.note("the rule was broken %d times", broken)
		return exitBroken
	default:
		rec.note("the rule held")
		return exitHeld
	}
}

// record is what was sent, answered and run, in a file.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) close() { _ = r.f.Close() }

// at returns a time as seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.f.WriteString(line)
	if os.Getenv("SHOW") != "" {
		fmt.Print(line)
	}
}
