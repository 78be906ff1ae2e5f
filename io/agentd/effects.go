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

// Do implements loop.Executor. What takes time runs in a goroutine.
func (d *Daemon) Do(eff event.Effect) {
	switch eff := eff.(type) {
	case agent.AdmitOffer:
		d.store.admit(eff.ID)
		go d.admit(eff)
	case agent.RefuseOffer:
		go d.refuse(eff)
	case agent.RefuseAnswer:
		if a := d.store.answer(eff.ID); a != nil {
			a.refuse(eff.Refusal)
		}
	case agent.AnswerTombstone:
		go d.answerTombstone(eff)
	case agent.AnswerAssign:
		go d.answerAssign(eff)
	case agent.StartStream:
		go d.run(eff)
	case agent.CancelStream:
		go d.cancelRun(eff.ID)
	case agent.DropAnswer:
		d.store.drop(eff.ID)
	case agent.SendOrder:
		go d.sendOrder(eff)
	case agent.AbandonOrder:
		d.orders.end(eff.ID)
	case agent.ReadEngine:
		go d.readEngine()
	case agent.Drained:
		d.once.Do(func() { close(d.drained) })
	default:
		d.doShared(eff)
	}
}

// doShared carries out the effects that concern the key-value service and the
// routers.
func (d *Daemon) doShared(eff event.Effect) {
	switch eff := eff.(type) {
	case agent.TakeIncarnation:
		go d.takeIncarnation(eff.At)
	case agent.ReadIncarnation:
		go d.readIncarnation(eff)
	case agent.ReadAssignment:
		go d.readAssignment(eff)
	case agent.ReadAssignments:
		go d.readAssignments(eff.At)
	case agent.AskPermit:
		d.askPermit(eff)
	case agent.ReturnPermit:
		d.permits.end(eff.ID, eff.Took)
	}
}

// admit acknowledges an offer and sends the answer as it comes.
func (d *Daemon) admit(eff agent.AdmitOffer) {
	s, ok := d.conns.get(eff.Conn)
	if !ok {
		return
	}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Ack{Ack: &wirepb.Ack{}}}); err != nil {
		return
	}
	if err := s.Send(admitFrame(eff.Expected)); err != nil {
		return
	}
	d.follow(s, eff.Conn, eff.ID, eff.Offset)
}

func (d *Daemon) refuse(eff agent.RefuseOffer) {
	if s, ok := d.conns.get(eff.Conn); ok {
		_ = s.Send(refuseFrame(eff.Refusal, d.report.Load()))
	}
}

func (d *Daemon) answerTombstone(eff agent.AnswerTombstone) {
	if s, ok := d.conns.get(eff.Conn); ok {
		result := &wirepb.TombstoneResult{State: string(eff.State)}
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_TombstoneResult{TombstoneResult: result}})
	}
}

func (d *Daemon) answerAssign(eff agent.AnswerAssign) {
	if s, ok := d.conns.get(eff.Conn); ok {
		result := &wirepb.AssignResult{State: string(eff.State), Generation: uint64(eff.Generation)}
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_AssignResult{AssignResult: result}})
	}
}

// sendOrder gives the engine an order, unless this process was held up for so
// long that a successor may have begun.
func (d *Daemon) sendOrder(eff agent.SendOrder) {
	if d.engine == nil || time.Now().After(eff.NotAfter) {
		d.loop.Post(agent.OrderEnded{Order: eff.Order, Outcome: fleet.OutcomeFailed})
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.orders.add(eff.Order.ID, cancel)
	defer d.orders.take(eff.Order.ID)
	outcome, err := d.engine.Order(ctx, eff.Order)
	if err != nil {
		d.log.Warn().Err(err).Str("order", string(eff.Order.ID)).Msg("order without a clear answer")
	}
	d.loop.Post(agent.OrderEnded{Order: eff.Order, Outcome: outcome})
}

// readEngine asks the engine what it holds. An endpoint without one holds
// nothing.
func (d *Daemon) readEngine() {
	if d.engine == nil {
		d.loop.Post(agent.EngineReported{State: fleet.EngineState{AsOf: time.Now()}})
		return
	}
	st, err := d.engine.State(d.ctx)
	if err != nil {
		d.loop.Post(agent.EngineSilent{})
		return
	}
	if d.opt.Memory > 0 {
		st.Memory = min(st.Memory, d.opt.Memory)
	}
	d.loop.Post(agent.EngineReported{State: st})
}

// run sends a request to the engine or the service and keeps its answer.
func (d *Daemon) run(eff agent.StartStream) {
	offer, ans, ok := d.store.take(eff.ID)
	client := d.client(eff.Target)
	if !ok || client == nil || time.Now().After(eff.NotAfter) {
		d.loop.Post(agent.StreamFailed{ID: eff.ID, Detail: "the request lay too long before it was sent"})
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.runs.add(eff.ID, cancel)
	defer d.runs.take(eff.ID)
	f, err := client.Follow(ctx, requestOf(eff.ID, offer))
	if err == nil {
		err = d.copyAnswer(ctx, eff, f, ans)
		f.Close()
	}
	d.runEnded(eff.ID, ans, err)
}

// runEnded posts how a run ended.
func (d *Daemon) runEnded(id fleet.RequestID, ans *answer, err error) {
	d.store.ended(id)
	if err == nil {
		ans.end()
		d.loop.Post(agent.StreamEnded{ID: id, Chunks: ans.next()})
		return
	}
	notSent := errors.Is(err, engine.ErrUnreachable) || errors.Is(err, errNotLoaded)
	d.loop.Post(agent.StreamFailed{ID: id, Sent: !notSent, Detail: err.Error()})
}

// Errors of engines that answer without running a request.
var (
	errNotLoaded = errors.New("the engine does not hold the model")
	errEngine    = errors.New("the engine answered with an error")
)

// copyAnswer keeps the chunks of an answer until its end.
func (d *Daemon) copyAnswer(ctx context.Context, eff agent.StartStream, f *engine.Follower, ans *answer) error {
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
			d.loop.Post(agent.StreamBegan{ID: eff.ID})
		}
	}
}

// statusError tells a failure of a model engine from an answer. A plain
// service's answers are its own, whatever their status.
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

// client returns the client of the engine or service of a target.
func (d *Daemon) client(t fleet.Target) *engine.Client {
	if t.Service != "" {
		return d.services[t.Service]
	}
	return d.engine
}

func requestOf(id fleet.RequestID, o *wirepb.Offer) engine.Request {
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
		// A service may have died while its connection lay idle.
		NewConn: !o.GetIdempotent() || o.GetService() != "",
	}
}
