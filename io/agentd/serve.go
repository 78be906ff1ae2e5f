package agentd

import (
	"context"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
	"chervilreach/io/accept"
	"chervilreach/io/engine"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

const (
	// reportInterval is the interval at which the report is updated, and sent to routers
	// if it has changed.
	reportInterval = 200 * time.Millisecond
	// unchangedReportEvery is the number of report intervals after which an unchanged
	// report is sent again.
	unchangedReportEvery = 10
)

// Serve implements wire.Handler.
func (d *Daemon) Serve(ctx context.Context, c *wire.Conn, s *wire.Stream, first *wirepb.Frame) {
	defer func() { _ = s.Close() }()
	switch body := first.GetBody().(type) {
	case *wirepb.Frame_Hello:
		d.serveHello(ctx, c, s, body.Hello)
	case *wirepb.Frame_Offer:
		d.serveOffer(s, body.Offer)
	case *wirepb.Frame_Tombstone:
		d.serveTombstone(s, body.Tombstone)
	case *wirepb.Frame_Assign:
		d.serveAssign(s, body.Assign)
	case *wirepb.Frame_ConfigAsk:
		ctx, cancel := context.WithTimeout(ctx, accept.LongPollTimeout)
		defer cancel()
		_ = wire.ServeConfig(ctx, s, d.config, body.ConfigAsk)
	default:
		d.log.Warn().Type("body", body).Msg("unexpected first frame")
	}
}

// serveHello answers a router's hello and then sends it load reports until the connection
// ends.
func (d *Daemon) serveHello(ctx context.Context, c *wire.Conn, s *wire.Stream, h *wirepb.Hello) {
	c.SetRemoteHello(h)
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: d.Hello()}}); err != nil {
		return
	}
	d.routers.add(c)
	defer d.routers.remove(c)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var last uint64
	for n := 0; ; n++ {
		rep := d.report.Load()
		if rep != nil && (rep.GetSequence() != last || n%unchangedReportEvery == 0) {
			last = rep.GetSequence()
			if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Report{Report: rep}}); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		case <-ticker.C:
		}
	}
}

// serveOffer stores and posts an offered request, and then waits for the router to cancel
// it or to confirm that it has received the answer. An effect of the reducer answers the
// offer.
func (d *Daemon) serveOffer(s *wire.Stream, o *wirepb.Offer) {
	streamID := d.streams.add(s)
	defer d.streams.remove(streamID)
	id := fleet.RequestID(o.GetRequestId())
	d.requests.acquire(id, o)
	defer d.requests.release(id)
	d.loop.Post(agent.Offered{Offer: offerFromMessage(time.Now(), streamID, o)})
	for {
		f, err := s.Recv()
		if err != nil {
			// The connection or the router has failed. The request is not cancelled,
			// because its caller may still be waiting.
			return
		}
		switch f.GetBody().(type) {
		case *wirepb.Frame_Cancel:
			d.loop.Post(agent.Cancelled{ID: id, StreamID: streamID})
			return
		case *wirepb.Frame_Delivered:
			d.loop.Post(agent.Delivered{ID: id})
			return
		}
	}
}

// offerFromMessage converts an offer message that was received at now on stream streamID.
func offerFromMessage(now time.Time, streamID uint64, o *wirepb.Offer) agent.Offer {
	return agent.Offer{
		ID:      fleet.RequestID(o.GetRequestId()),
		Attempt: o.GetAttempt(),
		Member:  fleet.MemberID(o.GetMember()),
		Target: fleet.Target{
			Model:   fleet.ModelID(o.GetModel()),
			Adapter: fleet.AdapterID(o.GetAdapter()),
			Service: fleet.ServiceID(o.GetService()),
		},
		Urgency:        int(o.GetUrgency()),
		Idempotent:     o.GetIdempotent(),
		Deadline:       now.Add(time.Duration(o.GetRemainingUs()) * time.Microsecond),
		Stream:         o.GetStream(),
		AttachOnly:     o.GetAttach(),
		ExpectInstance: fleet.Instance(o.GetInstance()),
		PromptTokens:   int(o.GetPromptTokens()),
		MaxTokens:      int(o.GetMaxTokens()),
		StreamID:       streamID,
		Offset:         o.GetOffset(),
		KeepAnswer:     o.GetKeep(),
		Size:           fleet.Bytes(len(o.GetBody())),
	}
}

// serveTombstone posts a tombstone request to the reducer, whose effect AnswerTombstone sends
// the answer on the stream. The stream stays open until the router closes it.
func (d *Daemon) serveTombstone(s *wire.Stream, t *wirepb.Tombstone) {
	streamID := d.streams.add(s)
	defer d.streams.remove(streamID)
	d.loop.Post(agent.TombstoneRequested{
		ID: fleet.RequestID(t.GetRequestId()), ExpectInstance: fleet.Instance(t.GetInstance()), StreamID: streamID,
	})
	_, _ = s.Recv()
}

// serveAssign posts a pushed assignment to the reducer, whose effect AnswerAssignment sends
// the answer on the stream. The stream stays open until the router closes it.
func (d *Daemon) serveAssign(s *wire.Stream, a *wirepb.Assign) {
	streamID := d.streams.add(s)
	defer d.streams.remove(streamID)
	d.loop.Post(agent.AssignmentPushed{
		Model: fleet.ModelID(a.GetModel()), Generation: fleet.Generation(a.GetGeneration()), StreamID: streamID,
	})
	_, _ = s.Recv()
}

// maxChunksPerWrite is the maximum number of chunks in one write to a stream.
const maxChunksPerWrite = 64

// sendChunks sends the first chunks, at most maxChunksPerWrite, in one write. It returns
// the number of chunks sent, which is meaningless after an error.
func sendChunks(s *wire.Stream, chunks []engine.Chunk) (uint64, error) {
	chunks = chunks[:min(len(chunks), maxChunksPerWrite)]
	if len(chunks) == 0 {
		return 0, nil
	}
	frames := lo.Map(chunks, func(c engine.Chunk, _ int) *wirepb.Frame { return dataFrame(c.Index, c) })
	return uint64(len(chunks)), s.SendAll(frames)
}

// sendAnswer sends the answer of a request on a stream, starting at chunk index from. It
// returns when the answer has ended, was refused or is no longer retained, or when the
// stream is closed. streamID identifies the reader of the answer.
func (d *Daemon) sendAnswer(s *wire.Stream, streamID uint64, id fleet.RequestID, from uint64) {
	a := d.requests.answer(id)
	if a == nil {
		return
	}
	defer a.removeReader(streamID)
	for {
		res := a.read(streamID, from)
		if res.discarded {
			_ = s.Send(refuseFrame(fleet.Refusal{
				Code: fleet.CodeAlreadyRan, NotRun: fleet.NotRunFalse,
				Detail: "the beginning of the answer is not kept any more",
			}, d.report.Load()))
			return
		}
		sent, err := sendChunks(s, res.chunks)
		if err != nil {
			return
		}
		from += sent
		if from < res.totalChunks {
			continue
		}
		switch {
		case res.ended:
			_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_End{End: &wirepb.End{Chunks: res.totalChunks, Report: d.report.Load()}}})
			return
		case res.refusal != nil:
			_ = s.Send(refuseFrame(*res.refusal, d.report.Load()))
			return
		}
		select {
		case <-res.changed:
		case <-s.Done():
			return
		}
	}
}
