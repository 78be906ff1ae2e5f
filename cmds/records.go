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

// kvTimeout limits each call to the key-value service.
const kvTimeout = 3 * time.Second

// kvOptions are the options that select the key-value service.
type kvOptions struct {
	KV []addrFlag `long:"kv" value-name:"IP:PORT" description:"address of the key-value service; may be repeated"`
}

// newClient returns a client of the key-value service. ok is false if --kv is not given.
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

// requireClient returns a client of the key-value service, or a usage error if --kv is not
// given.
func (o *kvOptions) requireClient() (*etcd.Client, error) {
	client, ok := o.newClient()
	if !ok {
		return nil, fmt.Errorf("%w: give --kv", ErrUsage)
	}
	return client, nil
}

// fileArgs are the arguments of commands that read files of records.
type fileArgs struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

// readRecords reads the records of all files. If a file can't be read, a record is invalid, or
// two files contain the same record, it returns a usage error that joins all errors, with a
// *record.Error for each problem of a record, along with the records that it could read.
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
				errs = append(errs, r.ProblemError(record.Problem{
					Code: record.CodeConflict, Cause: "stands in an earlier file too", Expected: "each record once",
				}))
			}
		}
		all = append(all, raws...)
	}
	return all, asInputError(errors.Join(errs...))
}

// asInputError returns a usage error that wraps err, or nil if err is nil.
func asInputError(err error) error {
	if err == nil {
		return nil
	}
	return &inputError{err}
}

// inputError is an error in the input files of a command. It matches ErrUsage.
type inputError struct{ err error }

// Error implements error.
func (e *inputError) Error() string { return "records can't be accepted:\n" + e.err.Error() }

// Unwrap returns ErrUsage and the wrapped error.
func (e *inputError) Unwrap() []error { return []error{ErrUsage, e.err} }

// recordErrors returns all *record.Error in the tree of err, in order.
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

// problemView is the JSON output for a problem.
type problemView struct {
	File string `json:"file"`
	record.Key
	record.Problem
}

// problemViews returns the problems of records in err. The list is never nil, so that it is
// encoded as a JSON array.
func problemViews(err error) []problemView {
	list := []problemView{}
	for _, p := range recordErrors(err) {
		list = append(list, problemView{File: p.File, Key: p.Key, Problem: p.Problem})
	}
	return list
}

// writeText writes the text output of a command.
func writeText(w io.Writer, text string) error {
	if _, err := io.WriteString(w, text); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// sortStatuses sorts statuses by the key of the record.
func sortStatuses(list []record.Status) {
	slices.SortFunc(list, func(a, b record.Status) int { return a.Compare(b.Key) })
}
