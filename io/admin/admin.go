// Package admin serves the administration address of a process by HTTP: health,
// readiness, metrics, status and timeline. It also contains the client that requests
// them from all processes. The address is for operators and the load balancer of the
// platform, never for callers.
package admin

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/poison"
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
	// PathMetricsText serves the metrics as text whatever the Accept header says.
	PathMetricsText = "/metrics.txt"
	PathStatus      = "/status"
	PathTimeline    = "/timeline"
	PathRecord      = "/record"
	// PathAcquit lifts the conviction of a prompt part; the method is POST.
	PathAcquit = "/acquit"
)

// Source provides the health and the status of the process. Its methods are called
// concurrently.
type Source interface {
	// Healthy returns nil if the process is healthy, otherwise the reason why it should
	// be replaced.
	Healthy() error
	// Ready returns nil if the process should get requests, otherwise the reason why
	// not.
	Ready() error
	// Status returns the state of the process.
	Status() Status
}

// Acquitter is a process that keeps convictions of prompt parts which crash endpoints. Its
// methods are called concurrently.
type Acquitter interface {
	// Acquit lifts the conviction of a part at all processes. It returns an error that wraps
	// poison.ErrNotConvicted if the process knows of none.
	Acquit(part poison.Part) error
}

// HandlerConfig contains what Handler serves. All fields but Acquitter are required.
type HandlerConfig struct {
	Source   Source
	Recorder *line.Recorder
	Metrics  metrics.Registry
	// Acquitter lifts convictions; nil if the process keeps none.
	Acquitter Acquitter
}

// Handler returns the handler of the administration address. See the Path constants for
// its resources; it also serves their OpenAPI description.
func Handler(config HandlerConfig) http.Handler {
	mux := http.NewServeMux()
	apiConfig := huma.DefaultConfig("chervilreach administration", "1")
	apiConfig.DocsPath = ""
	apiConfig.CreateHooks = nil
	api := humago.New(mux, apiConfig)
	h := &handler{HandlerConfig: config}
	huma.Get(api, PathHealth, h.health)
	huma.Get(api, PathReady, h.ready)
	huma.Get(api, PathMetrics, h.metrics)
	huma.Get(api, PathMetricsText, func(ctx context.Context, _ *struct{}) (*huma.StreamResponse, error) {
		return h.metrics(ctx, &metricsInput{Accept: contentTypeText})
	})
	huma.Get(api, PathStatus, h.status)
	huma.Get(api, PathTimeline, h.timeline)
	huma.Get(api, PathRecord, h.record)
	if config.Acquitter != nil {
		huma.Post(api, PathAcquit, h.acquit)
	}
	return mux
}

// handler implements the operations of the administration address.
type handler struct {
	HandlerConfig
}

// Check is the response body of a successful health or readiness check.
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

// check returns the response of a check that had the result err.
func (h *handler) check(err error) (*checkOutput, error) {
	if err != nil {
		return nil, huma.Error503ServiceUnavailable(err.Error())
	}
	return &checkOutput{Body: Check{Process: h.Recorder.Process(), OK: true}}, nil
}

type statusOutput struct {
	Body Status
}

// status returns the status of the process with missing reasons filled in from notes.
func (h *handler) status(context.Context, *struct{}) (*statusOutput, error) {
	status := h.Source.Status()
	if status.Agent != nil {
		status.Agent.Models = addReasons(status.Agent.Models, h.Recorder.LatestNotes())
	}
	return &statusOutput{Body: status}, nil
}

// addReasons returns a copy of the models, in which empty fields Why and Since are set
// from the newest note about the model.
func addReasons(models []ModelStatus, notes map[fleet.ModelID]line.Entry) []ModelStatus {
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
			m.Why = describeNote(m.State, note)
		}
	}
	return explained
}

// describeNote describes the note for an operator. It leaves out the change of the note
// if that is the given state.
func describeNote(state fleet.LoadState, note event.Note) string {
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
	contentTypeText      = "text/plain; version=0.0.4"
	contentTypeJSONLines = "application/jsonl"
)

// metrics returns the metrics as JSON, or in the text format of Prometheus if the Accept
// header contains text/plain.
func (h *handler) metrics(_ context.Context, in *metricsInput) (*huma.StreamResponse, error) {
	m := ReadMetrics(h.Metrics)
	var b bytes.Buffer
	contentType := "application/json"
	write := m.WriteJSON
	if strings.Contains(in.Accept, "text/plain") {
		contentType, write = contentTypeText, m.WriteText
	}
	if err := write(&b); err != nil {
		return nil, err
	}
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		ctx.SetHeader("Content-Type", contentType)
		_, _ = b.WriteTo(ctx.BodyWriter())
	}}, nil
}

// Headers of the responses that contain a timeline.
const (
	// HeaderProcess contains the ID of the process.
	HeaderProcess = "Chervilreach-Process"
	// HeaderStamp contains a stamp greater than those of all lines that the process
	// recorded before the response.
	HeaderStamp = "Chervilreach-Stamp"
	// HeaderDropped contains the number of older lines that the process has discarded
	// and that the filter could have matched.
	HeaderDropped = "Chervilreach-Dropped"
)

// recordingBufferSize is the number of entries that a client may lag behind before its
// recording is aborted.
const recordingBufferSize = 1 << 14

type recordInput struct {
	Seconds int `query:"seconds" minimum:"1" maximum:"3600" required:"true" doc:"how long to record"`
}

// record streams the events and effects of in.Seconds seconds, from now on, as they are
// recorded.
func (h *handler) record(_ context.Context, in *recordInput) (*huma.StreamResponse, error) {
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		ctx.SetHeader("Content-Type", contentTypeJSONLines)
		ctx.SetHeader(HeaderProcess, string(h.Recorder.Process()))
		recordCtx, cancel := context.WithTimeout(ctx.Context(), time.Duration(in.Seconds)*time.Second)
		defer cancel()
		if err := h.Recorder.Subscribe(recordingBufferSize).Copy(recordCtx, ctx.BodyWriter()); err != nil {
			// The response has begun, so an error can only be signaled by closing the
			// connection.
			panic(http.ErrAbortHandler)
		}
	}}, nil
}

type acquitInput struct {
	Part string `query:"part" required:"true" doc:"prompt part as 16 hexadecimal digits"`
}

// acquit lifts the conviction of a prompt part. The response is 404 if it is not convicted.
func (h *handler) acquit(_ context.Context, in *acquitInput) (*checkOutput, error) {
	part, err := poison.ParsePart(in.Part)
	if err != nil {
		return nil, huma.Error422UnprocessableEntity(err.Error())
	}
	err = h.Acquitter.Acquit(part)
	if errors.Is(err, poison.ErrNotConvicted) {
		return nil, huma.Error404NotFound(err.Error())
	}
	return h.check(err)
}
