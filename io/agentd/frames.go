package agentd

import (
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
	"chervilreach/io/engine"
	"chervilreach/io/wire/wirepb"
)

// dataFrame returns the message of the answer chunk with the given index. Status and
// content type are sent with the first chunk only.
func dataFrame(index uint64, c engine.Chunk) *wirepb.Frame {
	data := &wirepb.Data{Offset: index, Payload: c.Payload}
	if index == 0 {
		data.Status = int32(c.Status)
		data.ContentType = c.ContentType
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Data{Data: data}}
}

// refuseFrame returns the message of a refusal, with a load report that may be nil.
func refuseFrame(r fleet.Refusal, report *wirepb.Report) *wirepb.Frame {
	refuse := &wirepb.Refuse{
		Code: string(r.Code), NotRun: string(r.NotRun), Detail: r.Detail, Report: report,
	}
	if !r.RetryAt.IsZero() {
		refuse.RetryUs = max(time.Until(r.RetryAt).Microseconds(), 1)
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Refuse{Refuse: refuse}}
}

// admitFrame returns the message that admits an offer. expected is the estimated time of
// the first byte; zero if there is no estimate.
func admitFrame(expected time.Time) *wirepb.Frame {
	admit := &wirepb.Admit{}
	if !expected.IsZero() {
		admit.ExpectedUs = max(time.Until(expected).Microseconds(), 0)
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Admit{Admit: admit}}
}

// reportMessage converts a report to its message. Times in it are relative to now.
func reportMessage(now time.Time, sequence uint64, r agent.Report) *wirepb.Report {
	out := &wirepb.Report{
		Sequence:    sequence,
		Draining:    r.Draining,
		Queued:      uint32(r.Queued),
		Running:     uint32(r.Running),
		MemoryFree:  int64(r.MemoryFree),
		MemoryTotal: int64(r.MemoryTotal),
		Incarnation: uint64(r.Incarnation),
		Instance:    uint64(r.Instance),
	}
	for _, m := range r.Models {
		out.Models = append(out.Models, modelStateMessage(now, m))
	}
	return out
}

// modelStateMessage converts the state of a model to its message.
func modelStateMessage(now time.Time, m agent.ModelReport) *wirepb.ModelState {
	out := &wirepb.ModelState{
		Model:      string(m.Model),
		State:      m.Stage,
		Queued:     uint32(m.Queued),
		Running:    uint32(m.Running),
		Generation: uint64(m.Generation),
	}
	if !m.ReadyAt.IsZero() {
		out.ReadyUs = max(m.ReadyAt.Sub(now).Microseconds(), 0)
	}
	return out
}
