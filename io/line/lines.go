package line

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"chervilreach/core/event"
)

// MaxLineBytes is the longest line that Read accepts.
const MaxLineBytes = 4 << 20

// ErrMalformed means that a text is not a line of a timeline.
var ErrMalformed = errors.New("malformed line of a time line")

// Write writes each line as JSON on a line of its own.
func Write(w io.Writer, lines []event.Line) error {
	enc := json.NewEncoder(w)
	for _, l := range lines {
		if err := enc.Encode(l); err != nil {
			return fmt.Errorf("write time line: %w", err)
		}
	}
	return nil
}

// Read reads lines as Write writes them. On an error, which contains the number of the
// line, counted from 1, it also returns the lines before it.
func Read(r io.Reader) ([]event.Line, error) {
	var lines []event.Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, MaxLineBytes)
	n := 0
	for scanner.Scan() {
		n++
		l, err := Parse(scanner.Bytes())
		if err != nil {
			return lines, fmt.Errorf("line %d: %w", n, err)
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return lines, fmt.Errorf("line %d: %w", n+1, err)
	}
	return lines, nil
}

// Parse parses one line. It returns ErrMalformed for invalid JSON and for unknown or
// missing fields.
func Parse(text []byte) (event.Line, error) {
	var l event.Line
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return event.Line{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if dec.More() {
		return event.Line{}, fmt.Errorf("%w: more than one value", ErrMalformed)
	}
	missing := ""
	switch {
	case l.Stamp == 0:
		missing = "stamp"
	case l.Process == "":
		missing = "process"
	case l.Kind == "":
		missing = "kind"
	case len(l.Body) == 0:
		missing = "body"
	}
	if missing != "" {
		return event.Line{}, fmt.Errorf("%w: no field %q", ErrMalformed, missing)
	}
	return l, nil
}

// Merge returns the lines of several processes sorted by stamp, then by process, so that
// no effect comes before its cause. Lines of one process with the same stamp keep their
// order.
func Merge(lists ...[]event.Line) []event.Line {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b event.Line) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Process, b.Process))
	})
	return merged
}
