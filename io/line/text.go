package line

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"chervilreach/core/event"
)

const (
	// maxValueChars is the largest number of characters of a value; the rest is cut off.
	maxValueChars = 48
	// maxDetailBytes is the length from which on no more values of a line are written.
	maxDetailBytes = 400
	// timeLayout is the layout of times.
	timeLayout = "15:04:05.000"
)

// WriteText writes the lines for humans: time, process, event or effect, kind, and the
// values of the body. A separator precedes the lines with stamps later than
// completeUntil, because lines of other processes may be missing among them.
func WriteText(w io.Writer, lines []event.Line, completeUntil event.Stamp) error {
	var b strings.Builder
	processWidth, kindWidth := 0, 0
	for _, l := range lines {
		processWidth = max(processWidth, utf8.RuneCountInString(l.Process))
		kindWidth = max(kindWidth, utf8.RuneCountInString(l.Kind))
	}
	day := ""
	separated := false
	for _, l := range lines {
		if l.Stamp > completeUntil && !separated {
			separated = true
			fmt.Fprintln(&b, "---- some processes were read before what follows ----")
		}
		at := l.Stamp.Time()
		if d := at.Format("2006-01-02 (UTC)"); d != day {
			day = d
			fmt.Fprintln(&b, day)
		}
		text := fmt.Sprintf("%s  %-*s  %-6s  %-*s  %s",
			at.Format(timeLayout), processWidth, l.Process, lineType(l), kindWidth, l.Kind, Details(l))
		fmt.Fprintln(&b, strings.TrimRight(text, " "))
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write time line: %w", err)
	}
	return nil
}

// lineType returns "event" or "effect".
func lineType(l event.Line) string {
	if l.Effect {
		return "effect"
	}
	return "event"
}

// Details returns the values of the line's body as key=value pairs. Long values and
// lists of values are shortened.
func Details(l event.Line) string {
	var b strings.Builder
	walkBody(l.Body, func(leaf leaf) {
		if b.Len() > maxDetailBytes {
			return
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		if leaf.path != "" {
			b.WriteString(leaf.path)
			b.WriteByte('=')
		}
		b.WriteString(shorten(leaf.value))
	})
	if b.Len() > maxDetailBytes {
		b.WriteString(" …")
	}
	return b.String()
}

// shorten cuts off a long value, and quotes a value with spaces, control characters or
// quotation marks.
func shorten(value string) string {
	if utf8.RuneCountInString(value) > maxValueChars {
		value = string([]rune(value)[:maxValueChars]) + "…"
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '"' }) {
		return fmt.Sprintf("%q", value)
	}
	return value
}
