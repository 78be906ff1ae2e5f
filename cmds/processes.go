package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/io/admin"
	"chervilreach/io/hosts"
)

// errUnanswered means that the output of a command lacks some processes.
var errUnanswered = errors.New("processes did not answer")

// processOptions are the options that select the processes to query.
type processOptions struct {
	Hosts     addrFlag      `long:"hosts" value-name:"IP:PORT" description:"address of the platform's host list; all processes on it are queried"`
	Processes []addrFlag    `long:"process" value-name:"IP:PORT" description:"administration address of a process to query; may be repeated"`
	Wait      time.Duration `long:"wait" value-name:"TIME" default:"3s" description:"how long to wait for each process"`
}

// targets returns the processes that the options select. It reads the host list if --hosts is
// given.
func (o *processOptions) targets(ctx context.Context) ([]admin.Target, error) {
	if o.Wait <= 0 {
		return nil, fmt.Errorf("%w: --wait must be above zero", ErrUsage)
	}
	if !o.Hosts.IsValid() && len(o.Processes) == 0 {
		return nil, fmt.Errorf("%w: give --hosts or --process", ErrUsage)
	}
	targets := make([]admin.Target, 0, len(o.Processes))
	for _, process := range o.Processes {
		targets = append(targets, admin.Target{Admin: process.AddrPort})
	}
	if !o.Hosts.IsValid() {
		return targets, nil
	}
	client := hosts.NewWithOptions(o.Hosts.AddrPort, hosts.Options{Timeout: o.Wait})
	defer client.Close()
	list, err := client.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", o.Hosts, err)
	}
	return append(targets, admin.Targets(list)...), nil
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(value); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// formatGiB formats an amount of memory in GiB with one decimal.
func formatGiB(n fleet.Bytes) string {
	return fmt.Sprintf("%.1f GiB", float64(n)/float64(fleet.GiB))
}
