// Package cmds holds the subcommands of chervilreach, one file each. Every
// command registers itself; its arguments are the tagged fields of a struct.
package cmds

import (
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/jessevdk/go-flags"

	"chervilreach/io/hangup"
)

// Exit codes of all commands.
const (
	// ExitOK says that all went well.
	ExitOK = 0
	// ExitFailed says that the command ran and found or met a failure.
	ExitFailed = 1
	// ExitUsage says that the arguments or an input file were wrong.
	ExitUsage = 2
)

// ErrUsage marks errors that the caller of a command can mend by calling it
// otherwise.
var ErrUsage = errors.New("wrong usage")

// command is a registered subcommand.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

// fresh returns a new value for the arguments, so that none stays from an
// earlier call of Run.
func (c command) newData() any {
	return reflect.New(reflect.TypeOf(c.data).Elem()).Interface()
}

var registry []command

// register adds a subcommand; it is called from init functions only.
func register(name, short, long string, data flags.Commander) {
	registry = append(registry, command{name: name, short: short, long: long, data: data})
}

// Run parses the arguments, runs the command that they name and returns the
// exit code.
func Run(args []string) int {
	hangup.CatchForDaemon(args)
	parser, err := newParser()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	_, err = parser.ParseArgs(args)
	return exitCode(err)
}

// newParser returns a parser of all commands.
func newParser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("chervilreach", flags.Default&^flags.PrintErrors)
	for _, c := range registry {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.newData()); err != nil {
			return nil, fmt.Errorf("add command %s: %w", c.name, err)
		}
	}
	return parser, nil
}

// exitCode prints the error of a command and maps it to an exit code.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Println(flagErr.Message)
			return ExitOK
		}
		fmt.Fprintln(os.Stderr, "chervilreach:", flagErr.Message)
		return ExitUsage
	}
	fmt.Fprintln(os.Stderr, "chervilreach:", err)
	if errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailed
}
