// Package reqlog selects from the logs of several processes the lines that explain what
// happened to one request: what was known, how old it was, what was decided and how the
// request ended.
package reqlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// ErrUnknownRequest means that no log line has the ID of the request.
var ErrUnknownRequest = errors.New("no log line has the request ID")

const (
	// maxLineBytes is the size of the longest line that can be read.
	maxLineBytes = 1 << 20
	// contextBefore is the period before the start of a request from which lines about loads,
	// endpoints and dependencies are included. A load takes some seconds.
	contextBefore = 5 * time.Second
)

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Message string    `json:"message"`
	// Fields holds the values of all other fields as text.
	Fields map[string]string `json:"fields"`
}

// ReadLog reads the lines of a log with one JSON object per line. It ignores what precedes
// the first brace of a line, such as a prefix with the time, and skips lines without a valid
// object or time. A line longer than maxLineBytes is an error.
func ReadLog(r io.Reader) ([]Line, error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	var lines []Line
	for in.Scan() {
		start := bytes.IndexByte(in.Bytes(), '{')
		if start < 0 {
			continue
		}
		if l, ok := parseLine(in.Bytes()[start:]); ok {
			lines = append(lines, l)
		}
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// parseLine parses the JSON object of a log line. It returns false if the object or its time is
// not valid.
func parseLine(text []byte) (Line, bool) {
	var raw map[string]json.RawMessage
	if json.Unmarshal(text, &raw) != nil {
		return Line{}, false
	}
	l := Line{Fields: make(map[string]string, len(raw))}
	for name, value := range raw {
		l.Fields[name] = plainText(value)
	}
	at, err := time.Parse(time.RFC3339Nano, l.takeField("time"))
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Process, l.Message = at, l.takeField("process"), l.takeField("message")
	return l, true
}

// plainText returns a JSON value as text, without the quotes of a string.
func plainText(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

// takeField removes a field and returns its value.
func (l *Line) takeField(name string) string {
	value := l.Fields[name]
	delete(l.Fields, name)
	return value
}

// ForRequest returns the lines that concern a request, sorted by time: those with its ID, and
// those about the loads, endpoints and dependencies on which its routing depended. It returns
// an error that wraps ErrUnknownRequest if no line has the ID.
func ForRequest(lines []Line, requestID string) ([]Line, error) {
	ownLines := lo.Filter(lines, func(l Line, _ int) bool { return l.Fields["request"] == requestID })
	if len(ownLines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, requestID)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(ownLines, byTime)
	s := scope{
		from: ownLines[0].Time.Add(-contextBefore - duration(ownLines[0])), until: ownLines[len(ownLines)-1].Time,
		models: make(map[string]bool), endpoints: make(map[string]bool), processes: make(map[string]bool),
	}
	for _, l := range ownLines {
		s.add(l)
	}
	selected := lo.Filter(lines, func(l Line, _ int) bool { return l.Fields["request"] == requestID || s.covers(l) })
	slices.SortStableFunc(selected, byTime)
	return selected, nil
}

// duration returns the value of the field took-ms of a line; 0 if there is none.
func duration(l Line) time.Duration {
	d, err := time.ParseDuration(l.Fields["took-ms"] + "ms")
	if err != nil {
		return 0
	}
	return d
}

// scope is the period of a request and the models, endpoints and processes in its own lines.
type scope struct {
	// from is earlier than the start of the request by contextBefore.
	from, until                  time.Time
	models, endpoints, processes map[string]bool
}

// add adds the process, the model and the endpoint of one of the request's own lines.
func (s *scope) add(l Line) {
	s.processes[l.Process] = true
	if m := l.Fields["model"]; m != "" {
		s.models[m] = true
	}
	if e := l.Fields["endpoint"]; e != "" {
		s.endpoints[e] = true
	}
}

// covers reports whether a line that belongs to no request may concern the request: an order
// if it is for one of the models or endpoints, another line if it names one of the endpoints
// or, without an endpoint, if it is from one of the processes.
func (s *scope) covers(l Line) bool {
	if l.Fields["request"] != "" || l.Time.Before(s.from) || l.Time.After(s.until) {
		return false
	}
	switch {
	case l.Message == "order":
		return s.models[l.Fields["model"]] || s.endpoints[l.Fields["endpoint"]]
	case l.Fields["endpoint"] != "":
		return s.endpoints[l.Fields["endpoint"]]
	default:
		return s.processes[l.Process]
	}
}

// Write writes log lines as text, one line each, with the time since the first one.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		fields := lo.Map(slices.SortedFunc(maps.Keys(l.Fields), cmp.Compare[string]), func(name string, _ int) string {
			return name + "=" + l.Fields[name]
		})
		since := l.Time.Sub(lines[0].Time).Round(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%9s  %-32s %-20s %s\n", "+"+since.String(), l.Process, l.Message, strings.Join(fields, " ")); err != nil {
			return fmt.Errorf("write log lines: %w", err)
		}
	}
	return nil
}
