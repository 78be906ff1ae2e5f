package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/io/line"

	"github.com/danielgtaylor/huma/v2"
)

// timelineInput contains the query parameters of PathTimeline.
type timelineInput struct {
	Request        string    `query:"request" doc:"only lines that name this request"`
	Model          string    `query:"model" doc:"only lines that name this model, with or without its version"`
	Endpoint       string    `query:"endpoint" doc:"only lines that name this endpoint"`
	Since          time.Time `query:"since" doc:"only lines from this time on"`
	Until          time.Time `query:"until" doc:"only lines up to this time"`
	IncludeRoutine bool      `query:"all" doc:"what is marked as routine too"`
	MaxBodyBytes   int       `query:"max-body" minimum:"0" doc:"longest body in bytes, of longer ones only the size is given; 0 for no limit"`
	MaxLines       int       `query:"limit" minimum:"0" doc:"the newest lines only; 0 for no limit"`
}

// filter converts the query parameters to a filter.
func (in *timelineInput) filter() line.Filter {
	return line.Filter{
		Request:        fleet.RequestID(in.Request),
		Model:          fleet.ModelID(in.Model),
		Endpoint:       fleet.EndpointID(in.Endpoint),
		Since:          in.Since,
		Until:          in.Until,
		IncludeRoutine: in.IncludeRoutine,
		MaxBodyBytes:   in.MaxBodyBytes,
		MaxLines:       in.MaxLines,
	}
}

// timeline sends the recorded lines that match the filter.
func (h *handler) timeline(_ context.Context, in *timelineInput) (*huma.StreamResponse, error) {
	snapshot := h.Recorder.Snapshot(time.Now())
	lines, err := h.Recorder.Select(snapshot, in.filter())
	if err != nil {
		return nil, err
	}
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		ctx.SetHeader("Content-Type", contentTypeJSONLines)
		ctx.SetHeader(HeaderProcess, string(h.Recorder.Process()))
		ctx.SetHeader(HeaderStamp, strconv.FormatUint(uint64(snapshot.Stamp), 10))
		ctx.SetHeader(HeaderDropped, strconv.FormatUint(snapshot.Dropped.CountFor(in.filter()), 10))
		if err := line.Write(ctx.BodyWriter(), lines); err != nil {
			// The response has begun, so an error can only be signaled by closing the
			// connection.
			panic(http.ErrAbortHandler)
		}
	}}, nil
}
