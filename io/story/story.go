// Package story puts the log lines of several processes together into what
// happened to one request: what was known, how old it was, what was decided and
// how it ended.
package story

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

// ErrUnknown says that no line is about the request.
var ErrUnknownRequest = errors.New("no line is about the request")

const (
	// maxLine is the longest line that is read, in bytes.
	maxLineBytes = 1 << 20
	// before is how long before a request's first line other lines may matter: a
	// load takes some seconds.
	contextBefore = 5 * time.Second
)

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Message string    `json:"message"`
	// Fields are the others, as text.
	Fields map[string]string `json:"fields"`
}

// Read reads the lines of a log. What stands before a line's first brace, such
// as a prefix with a time, and lines without one are passed over.
func ReadLog(r io.Reader) ([]Line, error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	var lines []Line
	for in.Scan() {
		begin := bytes.IndexByte(in.Bytes(), '{')
		if begin < 0 {
			continue
		}
		if l, ok := parse(in.Bytes()[begin:]); ok {
			lines = append(lines, l)
		}
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

func parse(text []byte) (Line, bool) {
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

// plain returns a value as text, without the quotes of a string.
func plainText(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

func (l *Line) takeField(name string) string {
	value := l.Fields[name]
	delete(l.Fields, name)
	return value
}

// Of returns the lines that tell of a request, in order: its own, and those of
// the loads, endpoints and dependencies that its decisions went by.
func ForRequest(lines []Line, request string) ([]Line, error) {
	own := lo.Filter(lines, func(l Line, _ int) bool { return l.Fields["request"] == request })
	if len(own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, request)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	s := scope{
		from: own[0].Time.Add(-contextBefore - duration(own[0])), until: own[len(own)-1].Time,
		models: make(map[string]bool), endpoints: make(map[string]bool), processes: make(map[string]bool),
	}
	for _, l := range own {
		s.add(l)
	}
	story := lo.Filter(lines, func(l Line, _ int) bool { return l.Fields["request"] == request || s.covers(l) })
	slices.SortStableFunc(story, byTime)
	return story, nil
}

// took is how long what a line tells of has taken.
func duration(l Line) time.Duration {
	d, err := time.ParseDuration(l.Fields["took-ms"] + "ms")
	if err != nil {
		return 0
	}
	return d
}

// scope is what a request's own lines name.
type scope struct {
	from, until                  time.Time
	models, endpoints, processes map[string]bool
}

func (s *scope) add(l Line) {
	s.processes[l.Process] = true
	if m := l.Fields["model"]; m != "" {
		s.models[m] = true
	}
	if e := l.Fields["endpoint"]; e != "" {
		s.endpoints[e] = true
	}
}

// covers says whether a line of no request bears on the scope's request.
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

// Write writes a story as text, one line each, with the time since the first.
func Write(w io.Writer, story []Line) error {
	for _, l := range story {
		fields := lo.Map(slices.SortedFunc(maps.Keys(l.Fields), cmp.Compare[string]), func(name string, _ int) string {
			return name + "=" + l.Fields[name]
		})
		since := l.Time.Sub(story[0].Time).Round(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%9s  %-32s %-20s %s\n", "+"+since.String(), l.Process, l.Message, strings.Join(fields, " ")); err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	return nil
}
