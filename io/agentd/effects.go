package agentd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/engine"
	"chervilreach/io/wire/wirepb"
)

// Do implements loop.Executor. Effects that may block run in goroutines of their own.
func (d *Daemon) Do(eff event.Effect) {
	switch eff := eff.(type) {
	case agent.AdmitOffer:
		d.requests.admit(eff.ID)
		go d.admit(eff)
	case agent.RefuseOffer:
		go d.refuse(eff)
	case agent.RefuseAnswer:
		if a := d.requests.answer(eff.ID); a != nil {
			a.refuse(eff.Refusal)
		}
	case agent.AnswerTombstone:
		go d.answerTombstone(eff)
	case agent.AnswerAssignment:
		go d.answerAssignment(eff)
	case agent.StartRequest:
		go d.runRequest(eff)
	case agent.CancelRequest:
		go d.cancelRun(eff.ID)
	case agent.DropAnswer:
		d.requests.drop(eff.ID)
	case agent.SendOrder:
		go d.sendOrder(eff)
	case agent.AbandonOrder:
		d.orderRuns.stop(eff.ID)
	case agent.ReadEngine:
		go d.readEngine()
	case agent.Drained:
		d.drainedOnce.Do(func() { close(d.drained) })
	default:
		d.doEtcdOrPermitEffect(eff)
	}
}

// doEtcdOrPermitEffect executes an effect that concerns the key-value service or load permits.
func (d *Daemon) doEtcdOrPermitEffect(eff event.Effect) {
	switch eff := eff.(type) {
	case agent.TakeIncarnation:
		go d.takeIncarnation(eff.At)
	case agent.ReadIncarnation:
		go d.readIncarnation(eff)
	case agent.ReadAssignment:
		go d.readAssignment(eff)
	case agent.ReadAssignments:
		go d.readAssignments(eff.At)
	case agent.RequestPermit:
		d.requestPermit(eff)
	case agent.ReturnPermit:
		d.permitRequests.finish(eff.ID, eff.Took)
	}
}

// admit notifies the router that its offer is admitted, and then sends the answer as it is
// received.
func (d *Daemon) admit(eff agent.AdmitOffer) {
	s, ok := d.streams.get(eff.StreamID)
	if !ok {
		return
	}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Ack{Ack: &wirepb.Ack{}}}); err != nil {
		return
	}
	if err := s.Send(admitFrame(eff.ExpectedFirstByteAt)); err != nil {
		return
	}
	d.sendAnswer(s, eff.StreamID, eff.ID, eff.Offset)
}

// refuse sends a refusal on the stream of an offer.
func (d *Daemon) refuse(eff agent.RefuseOffer) {
	if s, ok := d.streams.get(eff.StreamID); ok {
		_ = s.Send(refuseFrame(eff.Refusal, d.report.Load()))
	}
}

// answerTombstone sends the answer to a tombstone request.
func (d *Daemon) answerTombstone(eff agent.AnswerTombstone) {
	if s, ok := d.streams.get(eff.StreamID); ok {
		result := &wirepb.TombstoneResult{State: string(eff.State)}
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_TombstoneResult{TombstoneResult: result}})
	}
}

// answerAssignment sends the answer to a pushed assignment.
func (d *Daemon) answerAssignment(eff agent.AnswerAssignment) {
	if s, ok := d.streams.get(eff.StreamID); ok {
		result := &wirepb.AssignResult{State: string(eff.State), Generation: uint64(eff.Generation)}
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_AssignResult{AssignResult: result}})
	}
}

// sendOrder sends an order to the engine and posts its outcome. It sends nothing after
// NotAfter, because this process may have been paused for so long that its successor has
// started.
func (d *Daemon) sendOrder(eff agent.SendOrder) {
	if d.engine == nil || time.Now().After(eff.NotAfter) {
		d.loop.Post(agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeFailed})
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.orderRuns.add(eff.Order.ID, cancel)
	defer d.orderRuns.take(eff.Order.ID)
	outcome, err := d.engine.Order(ctx, eff.Order)
	if err != nil {
		d.log.Warn().Err(err).Str("order", string(eff.Order.ID)).Msg("order failed or its outcome is unknown")
	}
	d.loop.Post(agent.OrderEnded{Order: eff.Order, Outcome: outcome})
}

// readEngine reads the engine's state and posts it. Without an engine, the state is empty.
func (d *Daemon) readEngine() {
	if d.engine == nil {
		d.loop.Post(agent.EngineReported{State: fleet.EngineState{AsOf: time.Now()}})
		return
	}
	st, err := d.engine.State(d.ctx)
	if err != nil {
		d.loop.Post(agent.EngineReadFailed{})
		return
	}
	if d.opt.Memory > 0 {
		st.TotalMemory = min(st.TotalMemory, d.opt.Memory)
	}
	d.loop.Post(agent.EngineReported{State: st})
}

// runRequest sends a request to the engine or to its plain service, stores the answer as it
// is received and posts how the request ended. It sends nothing after NotAfter.
func (d *Daemon) runRequest(eff agent.StartRequest) {
	offer, ans, ok := d.requests.request(eff.ID)
	client := d.client(eff.Target)
	if !ok || client == nil || time.Now().After(eff.NotAfter) {
		d.loop.Post(agent.AnswerFailed{ID: eff.ID, Detail: "the request lay too long before it was sent"})
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.runs.add(eff.ID, cancel)
	defer d.runs.take(eff.ID)
	f, err := client.Follow(ctx, engineRequest(eff.ID, offer))
	if err == nil {
		err = d.copyAnswer(ctx, eff, f, ans)
		f.Close()
	}
	d.finishRun(eff.ID, ans, err)
}

// finishRun finishes a request and posts its result; err is nil if its answer is complete.
func (d *Daemon) finishRun(id fleet.RequestID, ans *answer, err error) {
	d.requests.markFinished(id)
	if err == nil {
		ans.finish()
		d.loop.Post(agent.AnswerEnded{ID: id, Chunks: ans.nextIndex()})
		return
	}
	notSent := errors.Is(err, engine.ErrUnreachable) || errors.Is(err, errNotLoaded)
	d.loop.Post(agent.AnswerFailed{ID: id, Sent: !notSent, Detail: err.Error()})
}

// Errors for responses of an engine that are not the answer of a model.
var (
	errNotLoaded = errors.New("the engine does not hold the model")
	errEngine    = errors.New("the engine answered with an error")
)

// copyAnswer stores the chunks of an answer until its end, and posts that the first one
// has been received.
func (d *Daemon) copyAnswer(ctx context.Context, eff agent.StartRequest, f *engine.Follower, ans *answer) error {
	for {
		c, err := f.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := statusError(eff.Target, c); err != nil {
			return err
		}
		if err := ans.add(ctx, c); err != nil {
			return err
		}
		if c.Index == 0 {
			d.loop.Post(agent.AnswerBegan{ID: eff.ID})
		}
	}
}

// statusError returns an error if the status of a chunk means that the engine has failed.
// The answer of a plain service is passed on whatever its status.
func statusError(t fleet.Target, c engine.Chunk) error {
	switch {
	case t.Service != "":
		return nil
	case c.Status == http.StatusNotFound:
		return errNotLoaded
	case c.Status >= http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", errEngine, c.Status)
	}
	return nil
}

// client returns the client for the engine or plain service of a target; nil if there is
// none.
func (d *Daemon) client(t fleet.Target) *engine.Client {
	if t.Service != "" {
		return d.services[t.Service]
	}
	return d.engine
}

// engineRequest converts an offer message to a request to the engine or plain service.
func engineRequest(id fleet.RequestID, o *wirepb.Offer) engine.Request {
	return engine.Request{
		ID:          id,
		Method:      o.GetMethod(),
		Path:        o.GetPath(),
		ContentType: o.GetContentType(),
		Body:        o.GetBody(),
		Target: fleet.Target{
			Model:   fleet.ModelID(o.GetModel()),
			Adapter: fleet.AdapterID(o.GetAdapter()),
			Service: fleet.ServiceID(o.GetService()),
		},
		Priority: int(o.GetUrgency()),
		Stream:   o.GetStream(),
		// A service may have stopped while its connection was idle.
		NewConn: !o.GetIdempotent() || o.GetService() != "",
	}
}
