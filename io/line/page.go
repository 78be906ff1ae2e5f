package line

import (
	"embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strconv"
	"time"

	"chervilreach/core/event"
)

//go:embed page
var pageFiles embed.FS

var pageTemplate = template.Must(template.ParseFS(pageFiles, "page/page.html"))

// Page is the content of the HTML page of a timeline.
type Page struct {
	CreatedAt time.Time `json:"made"`
	// CompleteUntil is the stamp up to which Lines contains the lines of every process
	// that answered; 0 if not known.
	CompleteUntil event.Stamp
	Lanes         []Lane
	Lines         []event.Line
}

// Lane is a process on the page.
type Lane struct {
	Name         string `json:"name"`
	DroppedLines uint64 `json:"dropped,omitempty"`
	// Error says why the lines of the process are missing; it is empty if there is no
	// error.
	Error string `json:"error,omitempty"`
}

// pageData is the JSON value that the scripts of the page read.
type pageData struct {
	CreatedAt     time.Time  `json:"made"`
	CompleteUntil float64    `json:"whole"`
	Lanes         []Lane     `json:"lanes"`
	Lines         []pageLine `json:"lines"`
}

// pageLine is a line on the page; Lane is an index of pageData.Lanes.
type pageLine struct {
	// Time is the stamp in milliseconds; see milliseconds.
	Time  float64 `json:"time"`
	Stamp string  `json:"stamp"`
	// At is the time of the process's own clock.
	At     time.Time       `json:"at"`
	Lane   int             `json:"lane"`
	Kind   string          `json:"kind"`
	Effect bool            `json:"effect,omitempty"`
	Body   json.RawMessage `json:"body"`
	event.Subject
}

// milliseconds returns the physical part of the stamp as milliseconds since the Unix
// epoch and the logical part as their fraction.
func milliseconds(s event.Stamp) float64 {
	const logicalRange = 1 << 16
	return float64(s/logicalRange) + float64(s%logicalRange)/logicalRange
}

// WritePage writes the page as one HTML file without references to others. It has a lane
// for each process; processes with lines but without a lane in p.Lanes get one at the
// end.
func WritePage(w io.Writer, p Page) error {
	data := pageData{
		CreatedAt:     p.CreatedAt.UTC(),
		CompleteUntil: milliseconds(p.CompleteUntil),
		Lanes:         p.Lanes,
		Lines:         make([]pageLine, 0, len(p.Lines)),
	}
	lanes := make(map[string]int, len(p.Lanes))
	for i, lane := range p.Lanes {
		lanes[lane.Name] = i
	}
	for _, l := range p.Lines {
		lane, ok := lanes[l.Process]
		if !ok {
			lane = len(data.Lanes)
			lanes[l.Process] = lane
			data.Lanes = append(data.Lanes, Lane{Name: l.Process})
		}
		data.Lines = append(data.Lines, pageLine{
			Time:    milliseconds(l.Stamp),
			Stamp:   strconv.FormatUint(uint64(l.Stamp), 10),
			At:      l.At,
			Lane:    lane,
			Kind:    l.Kind,
			Effect:  l.Effect,
			Body:    l.Body,
			Subject: l.Subject,
		})
	}
	return writePageData(w, data)
}

// writePageData executes the template of the page with its style, scripts and data.
func writePageData(w io.Writer, data pageData) error {
	style, err := pageFiles.ReadFile("page/page.css")
	if err != nil {
		return fmt.Errorf("read style of page: %w", err)
	}
	var scripts []template.JS
	for _, name := range []string{"model.js", "draw.js", "view.js"} {
		script, err := pageFiles.ReadFile("page/" + name)
		if err != nil {
			return fmt.Errorf("read script of page: %w", err)
		}
		scripts = append(scripts, template.JS(script))
	}
	err = pageTemplate.Execute(w, struct {
		Style   template.CSS
		Scripts []template.JS
		Data    pageData
	}{template.CSS(style), scripts, data})
	if err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
