package relayd

import (
	"errors"
	"fmt"
	"time"

	"chervilreach/core/quota"
	"chervilreach/core/relay"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// permitTimeout bounds an ask for a permit, and the report of a limit to an agent.
const permitTimeout = 300 * time.Millisecond

// errNotConnected means that the agent is not connected.
var errNotConnected = errors.New("agent not connected")

// askPermit asks an agent for a permit and posts the answer.
func (a *agentConns) askPermit(eff relay.AskPermit) {
	askedAt := time.Now()
	answered := relay.PermitAnswered{ID: eff.ID, Number: eff.Number, Result: relay.PermitUnanswered}
	m, err := a.exchangePermit(eff)
	if err != nil {
		a.d.log.Info().Err(err).Str("endpoint", eff.Limit.Instance).Str("granter", eff.Granter).Msg("permit not answered")
		a.d.loop.Post(answered)
		return
	}
	start := time.Duration(m.GetStartUs()) * time.Microsecond
	answered.Result, answered.StartAt = relay.PermitDenied, time.Now().Add(start)
	if m.GetGranted() {
		// Counted from the ask, which was before the grant.
		answered.Result, answered.ExpiresAt = relay.PermitGranted, askedAt.Add(start+quota.Lifetime)
	}
	a.d.loop.Post(answered)
}

// exchangePermit sends an ask for a permit and returns the answer.
func (a *agentConns) exchangePermit(eff relay.AskPermit) (*wirepb.SendPermit, error) {
	now := time.Now()
	body := wire.EncodePermitAsk(now, eff.Limit, eff.Ask)
	s, err := a.send(eff.Granter, &wirepb.Frame{Body: &wirepb.Frame_SendPermitAsk{SendPermitAsk: body}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	f, err := s.Recv()
	if err != nil {
		return nil, err
	}
	if f.GetSendPermit() == nil {
		return nil, wire.ErrUnexpectedFrame
	}
	return f.GetSendPermit(), nil
}

// reportLimit tells an agent the limit of an endpoint.
func (a *agentConns) reportLimit(eff relay.ReportLimit) {
	body := wire.EncodeLimit(time.Now(), eff.Limit)
	s, err := a.send(eff.Granter, &wirepb.Frame{Body: &wirepb.Frame_EndpointLimit{EndpointLimit: body}})
	if err != nil {
		a.d.log.Info().Err(err).Str("endpoint", eff.Limit.Instance).Str("granter", eff.Granter).Msg("could not report limit to agent")
		return
	}
	_ = s.Close()
}

// send opens a stream to the agent of an endpoint, with permitTimeout for all that follows, and
// sends a frame. The caller must close the stream.
func (a *agentConns) send(instance string, f *wirepb.Frame) (*wire.Stream, error) {
	a.mu.Lock()
	agent := a.byInstance[instance]
	a.mu.Unlock()
	if agent == nil {
		return nil, fmt.Errorf("%s: %w", instance, errNotConnected)
	}
	conn := agent.conn.Load()
	if conn == nil {
		return nil, fmt.Errorf("%s: %w", instance, errNotConnected)
	}
	s, err := conn.Open()
	if err != nil {
		return nil, err
	}
	err = s.SetDeadline(time.Now().Add(permitTimeout))
	if err == nil {
		err = s.Send(f)
	}
	if err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}
