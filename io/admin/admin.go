// Package admin serves each process's administration address by HTTP: health,
// readiness, metrics, status and time line. It is for operators and the
// platform's balancer, never for callers.
package admin

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/line"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/rcrowley/go-metrics"
)

// Paths of the administration address.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	// PathMetricsText has the metrics as text whatever is asked for.
	PathMetricsText = "/metrics.txt"
	PathStatus      = "/status"
	PathTimeline    = "/timeline"
	PathRecord      = "/record"
)

// Source is the process that is shown. Its methods are called concurrently.
type Source interface {
	// Healthy returns why the process should be replaced; nil when it is well.
	Healthy() error
	// Ready returns why the process should get no requests; nil when it should.
	Ready() error
	// Status returns the state of the process.
	Status() Status
}

// Parts are what the handler serves.
type Parts struct {
	Source   Source
	Recorder *line.Recorder
	Metrics  metrics.Registry
}

// Handler returns the handler of the administration address.
func Handler(parts Parts) http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("chervilreach administration", "1")
	config.DocsPath = ""
	config.CreateHooks = nil
	api := humago.New(mux, config)
	h := &handler{Parts: parts}
	huma.Get(api, PathHealth, h.health)
	huma.Get(api, PathReady, h.ready)
	huma.Get(api, PathMetrics, h.metrics)
	huma.Get(api, PathMetricsText, func(ctx context.Context, _ *struct{}) (*huma.StreamResponse, error) {
		return h.metrics(ctx, &metricsInput{Accept: typeText})
	})
	huma.Get(api, PathStatus, h.status)
	huma.Get(api, PathTimeline, h.timeline)
	huma.Get(api, PathRecord, h.record)
	return mux
}

type handler struct {
	Parts
}

// Check is the body of a positive answer to a health or readiness check.
type Check struct {
	Process fleet.ProcessID `json:"process"`
	OK      bool            `json:"ok"`
}

type checkOutput struct {
	Body Check
}

func (h *handler) health(context.Context, *struct{}) (*checkOutput, error) {
	return h.check(h.Source.Healthy())
}

func (h *handler) ready(context.Context, *struct{}) (*checkOutput, error) {
	return h.check(h.Source.Ready())
}

func (h *handler) check(err error) (*checkOutput, error) {
	if err != nil {
		return nil, huma.Error503ServiceUnavailable(err.Error())
	}
	return &checkOutput{Body: Check{Process: h.Recorder.Process(), OK: true}}, nil
}

type statusOutput struct {
	Body Status
}

func (h *handler) status(context.Context, *struct{}) (*statusOutput, error) {
	status := h.Source.Status()
	if status.Agent != nil {
		status.Agent.Models = explain(status.Agent.Models, h.Recorder.LatestNotes())
	}
	return &statusOutput{Body: status}, nil
}

// explain adds to each model what the newest note says of it, where the source
// has not said why and since when it is in its state.
func explain(models []ModelStatus, notes map[fleet.ModelID]line.Entry) []ModelStatus {
	explained := slices.Clone(models)
	for i := range explained {
		m := &explained[i]
		entry, ok := notes[m.Model]
		note, isNote := entry.Value.(event.Note)
		if !ok || !isNote {
			continue
		}
		if m.Since.IsZero() {
			m.Since = entry.At
		}
		if m.Why == "" {
			m.Why = reason(m.State, note)
		}
	}
	return explained
}

// reason words a note for a model in the given state.
func reason(state fleet.LoadState, note event.Note) string {
	if note.Change == string(state) {
		return note.Detail
	}
	if note.Detail == "" {
		return note.Change
	}
	return note.Change + ", " + note.Detail
}

type metricsInput struct {
	Accept string `header:"Accept"`
}

const (
	typeText  = "text/plain; version=0.0.4"
	typeLines = "application/jsonl"
)

func (h *handler) metrics(_ context.Context, in *metricsInput) (*huma.StreamResponse, error) {
	m := ReadMetrics(h.Metrics)
	var b bytes.Buffer
	contentType := "application/json"
	write := m.WriteJSON
	if strings.Contains(in.Accept, "text/plain") {
		contentType, write = typeText, m.WriteText
	}
	if err := write(&b); err != nil {
		return nil, err
	}
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		ctx.SetHeader("Content-Type", contentType)
		_, _ = b.WriteTo(ctx.BodyWriter())
	}}, nil
}

// Headers of the answers that hold a time line.
const (
	// HeaderProcess names the process.
	HeaderProcess = "Chervilreach-Process"
	// HeaderStamp is past the stamp of every line that the process recorded
	// before the answer.
	HeaderStamp = "Chervilreach-Stamp"
	// HeaderDropped counts the older lines that the process no longer has.
	HeaderDropped = "Chervilreach-Dropped"
)

// subscriptionSize is how many entries a recording may lie behind.
const subscriptionSize = 1 << 14

type recordInput struct {
	Seconds int `query:"seconds" minimum:"1" maximum:"3600" required:"true" doc:"how long to record"`
}

func (h *handler) record(_ context.Context, in *recordInput) (*huma.StreamResponse, error) {
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		ctx.SetHeader("Content-Type", typeLines)
		ctx.SetHeader(HeaderProcess, string(h.Recorder.Process()))
		end, cancel := context.WithTimeout(ctx.Context(), time.Duration(in.Seconds)*time.Second)
		defer cancel()
		if err := h.Recorder.Subscribe(subscriptionSize).Copy(end, ctx.BodyWriter()); err != nil {
			// The answer has begun; only a broken connection can tell.
			panic(http.ErrAbortHandler)
		}
	}}, nil
}
