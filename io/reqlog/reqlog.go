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
	// crashConfirmTime is how long after the end of an attempt a router may find that the endpoint
	// has crashed.
	crashConfirmTime = 5 * time.Second
	// evidenceTime is how long a crash counts for the conviction of a prompt part.
	evidenceTime = 2 * time.Minute
	// verdictSlack is the largest difference between the times of one verdict at two processes.
	verdictSlack = time.Second
)

// Messages of lines that are selected by more than their endpoint or process.
const (
	messageOrder     = "order"
	messageCrash     = "endpoint crashed"
	messageVerdict   = "verdict on prompt part changed"
	messageConvicted = "prompt part convicted"
	messageAcquitted = "prompt part acquitted by operator"
	// outcomeBroken is the outcome of an attempt whose endpoint may have crashed.
	outcomeBroken = "broken"
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

// ForRequest returns the lines that concern a request, sorted by time: those with its ID, those
// about the loads, endpoints and dependencies on which its routing depended, the crashes of
// endpoints that broke its attempts, and the verdict on a prompt part for which it was refused
// with the crashes before it. It returns an error that wraps ErrUnknownRequest if no line has the
// ID.
func ForRequest(lines []Line, requestID string) ([]Line, error) {
	ownLines := lo.Filter(lines, func(l Line, _ int) bool { return l.Fields["request"] == requestID })
	if len(ownLines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, requestID)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(ownLines, byTime)
	s := scope{
		from:  ownLines[0].Time.Add(-contextBefore - millis(ownLines[0], "took-ms")),
		until: ownLines[len(ownLines)-1].Time, models: make(map[string]bool), endpoints: make(map[string]bool),
		processes: make(map[string]bool), brokenAt: make(map[string]time.Time), decidedAt: make(map[string]time.Time),
	}
	for _, l := range ownLines {
		s.add(l)
	}
	selected := lo.Filter(lines, func(l Line, _ int) bool { return l.Fields["request"] == requestID || s.covers(l) })
	slices.SortStableFunc(selected, byTime)
	return selected, nil
}

// millis returns the value of a field in milliseconds; 0 if there is none.
func millis(l Line, field string) time.Duration {
	d, err := time.ParseDuration(l.Fields[field] + "ms")
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
	// brokenAt has the end of the last broken attempt at each endpoint.
	brokenAt map[string]time.Time
	// decidedAt has the time of the verdict on each prompt part for which the request was refused.
	decidedAt map[string]time.Time
}

// add adds the process, the model, the endpoint and the prompt part of one of the request's own
// lines.
func (s *scope) add(l Line) {
	s.processes[l.Process] = true
	if l.Fields["outcome"] == outcomeBroken {
		s.brokenAt[l.Fields["endpoint"]] = l.Time
	}
	if part := l.Fields["part"]; part != "" {
		s.decidedAt[part] = l.Time.Add(-millis(l, "verdict-age-ms"))
	}
	if m := l.Fields["model"]; m != "" {
		s.models[m] = true
	}
	if e := l.Fields["endpoint"]; e != "" {
		s.endpoints[e] = true
	}
}

// covers reports whether a line that belongs to no request may concern the request: an order
// if it is for one of the models or endpoints, a crash or a verdict as coversCrash and
// coversVerdict say, another line if it names one of the endpoints or, without an endpoint, if it
// is from one of the processes.
func (s *scope) covers(l Line) bool {
	if l.Fields["request"] != "" {
		return false
	}
	if s.coversCrash(l) || s.coversVerdict(l) {
		return true
	}
	if l.Time.Before(s.from) || l.Time.After(s.until) {
		return false
	}
	switch {
	case l.Message == messageOrder:
		return s.models[l.Fields["model"]] || s.endpoints[l.Fields["endpoint"]]
	case l.Fields["endpoint"] != "":
		return s.endpoints[l.Fields["endpoint"]]
	default:
		return s.processes[l.Process]
	}
}

// coversCrash reports whether a line is about a crash that broke an attempt, or on which a verdict
// on the request may be based.
func (s *scope) coversCrash(l Line) bool {
	if l.Message != messageCrash {
		return false
	}
	brokenAt, ok := s.brokenAt[l.Fields["endpoint"]]
	if ok && l.Time.After(s.from) && l.Time.Before(brokenAt.Add(crashConfirmTime)) {
		return true
	}
	for part, decidedAt := range s.decidedAt {
		from, until := decidedAt.Add(-evidenceTime), decidedAt.Add(verdictSlack)
		if strings.Contains(l.Fields["suspects"], part) && l.Time.After(from) && l.Time.Before(until) {
			return true
		}
	}
	return false
}

// coversVerdict reports whether a line is about a verdict for which the request was refused: at the
// judge, or at one of the request's processes.
func (s *scope) coversVerdict(l Line) bool {
	decidedAt, ok := s.decidedAt[l.Fields["part"]]
	if !ok || l.Time.Before(decidedAt.Add(-verdictSlack)) || l.Time.After(s.until) {
		return false
	}
	switch l.Message {
	case messageVerdict:
		return s.processes[l.Process]
	case messageConvicted, messageAcquitted:
		return true
	default:
		return false
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
