// Package sighup catches SIGHUP in daemons from the start of the process, as the signal
// terminates a process that does not catch it. The package imports little, so that it is
// initialized before packages whose initialization takes long.
package sighup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// Signals receives a value when SIGHUP is caught. Signals that arrive while one is
// buffered are merged with it.
var Signals = make(chan os.Signal, 1)

// daemonCommands are the names of the commands that run until they receive a signal.
var daemonCommands = []string{"route", "agent", "relay", "swap"}

func init() {
	CatchForDaemon(os.Args[1:])
}

// CatchForDaemon starts to catch SIGHUP if args, the command line without the program
// name, starts with the name of a daemon command. It may be called repeatedly.
func CatchForDaemon(args []string) {
	if len(args) > 0 && slices.Contains(daemonCommands, args[0]) {
		signal.Notify(Signals, syscall.SIGHUP)
	}
}
