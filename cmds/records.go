package cmds

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"time"

	"chervilreach/core/record"
	"chervilreach/io/etcd"
)

// kvTimeout bounds each call that an operator's command makes.
const kvTimeout = 3 * time.Second

// kvOptions name the platform's key-value service.
type kvOptions struct {
	KV []addrFlag `long:"kv" value-name:"IP:PORT" description:"address of the key-value service; may be repeated"`
}

// open returns a client of the service; ok is false when none is named.
func (o *kvOptions) newClient() (client *etcd.Client, ok bool) {
	if len(o.KV) == 0 {
		return nil, false
	}
	addrs := make([]netip.AddrPort, 0, len(o.KV))
	for _, addr := range o.KV {
		addrs = append(addrs, addr.AddrPort)
	}
	return etcd.New(addrs, etcd.Options{Timeout: kvTimeout}), true
}

// need returns a client of the service, which has to be named.
func (o *kvOptions) requireClient() (*etcd.Client, error) {
	client, ok := o.newClient()
	if !ok {
		return nil, fmt.Errorf("%w: give --kv", ErrUsage)
	}
	return client, nil
}

// fileArgs are the files of records that a command reads.
type fileArgs struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

// readRecords reads the records of all files. The error joins a *record.Error
// for each problem and is a usage error.
func readRecords(files []string) ([]record.Raw, error) {
	var all []record.Raw
	var errs []error
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			errs = append(errs, fmt.Errorf("read records: %w", err))
			continue
		}
		raws, err := record.Parse(file, text)
		if err != nil {
			errs = append(errs, err)
		}
		for _, r := range raws {
			if slices.ContainsFunc(all, func(known record.Raw) bool { return known.Key == r.Key }) {
				errs = append(errs, r.Error(record.Problem{
					Code: record.CodeConflict, Cause: "stands in an earlier file too", Expected: "each record once",
				}))
			}
		}
		all = append(all, raws...)
	}
	return all, asInputError(errors.Join(errs...))
}

// badInput marks problems of records as mendable by the caller.
func asInputError(err error) error {
	if err == nil {
		return nil
	}
	return &inputError{err}
}

// inputError is an error of what the caller has written.
type inputError struct{ err error }

// Error implements error.
func (e *inputError) Error() string { return "records can't be accepted:\n" + e.err.Error() }

// Unwrap lets errors.Is see the problems and that the caller can mend them.
func (e *inputError) Unwrap() []error { return []error{ErrUsage, e.err} }

// problems returns the problems of records within an error, in order.
func recordErrors(err error) []*record.Error {
	if err == nil {
		return nil
	}
	if problem, ok := err.(*record.Error); ok { //nolint:errorlint // the tree is walked here
		return []*record.Error{problem}
	}
	var found []*record.Error
	switch e := err.(type) { //nolint:errorlint // the tree is walked here
	case interface{ Unwrap() []error }:
		for _, inner := range e.Unwrap() {
			found = append(found, recordErrors(inner)...)
		}
	case interface{ Unwrap() error }:
		found = recordErrors(e.Unwrap())
	}
	return found
}

// shownProblem is a problem as commands print it in JSON.
type problemView struct {
	File string `json:"file"`
	record.Key
	record.Problem
}

// show lists the problems of an error for JSON.
func problemViews(err error) []problemView {
	list := []problemView{}
	for _, p := range recordErrors(err) {
		list = append(list, problemView{File: p.File, Key: p.Key, Problem: p.Problem})
	}
	return list
}

// writeText writes what a command prints.
func writeText(w io.Writer, text string) error {
	if _, err := io.WriteString(w, text); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// sortStatuses orders statuses by record.
func sortStatuses(list []record.Status) {
	slices.SortFunc(list, func(a, b record.Status) int { return a.Compare(b.Key) })
}
