// Package hangup catches SIGHUP from the first moments of a daemon: by default the
// signal ends the process. It depends on little, so that it is initialized before
// the packages that take long.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// Signals takes in the signals that were caught.
var Signals = make(chan os.Signal, 1)

// daemons are the commands that run until a signal.
var daemons = []string{"route", "agent", "relay", "swap"}

func init() {
	Catch(os.Args[1:])
}

// Catch begins to catch the signal if the arguments name a daemon.
func Catch(args []string) {
	if len(args) > 0 && slices.Contains(daemons, args[0]) {
		signal.Notify(Signals, syscall.SIGHUP)
	}
}
