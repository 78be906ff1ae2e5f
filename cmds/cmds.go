// Package cmds implements the subcommands of chervilreach, one per file. Each command registers
// itself with register. Its options and arguments are the fields of a struct with tags of
// go-flags.
package cmds

import (
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/jessevdk/go-flags"

	"chervilreach/io/sighup"
)

// Exit codes of all commands.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed, or found what its help names as a failure.
	ExitFailed = 1
	// ExitUsage means that the arguments or an input file are invalid.
	ExitUsage = 2
)

// ErrUsage is wrapped by errors in the arguments or the input files of a command.
var ErrUsage = errors.New("wrong usage")

// command is a registered subcommand. data is a prototype of the struct of its arguments.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

// newData returns a new zero struct for the arguments, so that no values are left from an
// earlier call of Run.
func (c command) newData() any {
	return reflect.New(reflect.TypeOf(c.data).Elem()).Interface()
}

var registry []command

// register adds a subcommand. It must be called from init functions only.
func register(name, short, long string, data flags.Commander) {
	registry = append(registry, command{name: name, short: short, long: long, data: data})
}

// Run parses the arguments without the program name, runs the subcommand and returns the exit
// code. Errors are printed to standard error.
func Run(args []string) int {
	sighup.CatchForDaemon(args)
	parser, err := newParser()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	_, err = parser.ParseArgs(args)
	return exitCode(err)
}

// newParser returns a parser with all registered subcommands.
func newParser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("chervilreach", flags.Default&^flags.PrintErrors)
	for _, c := range registry {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.newData()); err != nil {
			return nil, fmt.Errorf("add command %s: %w", c.name, err)
		}
	}
	return parser, nil
}

// exitCode prints err, unless it is nil, and returns the exit code for it. Help is printed to
// standard output and is no failure.
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
