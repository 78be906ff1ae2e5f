package relayd

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/core/relay"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// doPoison executes an effect that concerns prompt parts which crash endpoints.
func (x executor) doPoison(eff event.Effect) {
	switch eff := eff.(type) {
	case relay.ReportCrashes:
		body := wire.EncodeCrashes(time.Now(), eff.Crashes)
		go x.d.agents.tell(eff.Judge, "crashes", &wirepb.Frame{Body: &wirepb.Frame_CrashReports{CrashReports: body}})
	case relay.ReportAnswered:
		body := wire.EncodeAnswered(eff.Parts)
		go x.d.agents.tell(eff.Judge, "answered parts", &wirepb.Frame{Body: &wirepb.Frame_AnsweredParts{AnsweredParts: body}})
	case relay.ReportVerdicts:
		body := wire.EncodeVerdicts(time.Now(), eff.Verdicts)
		go x.d.agents.tell(eff.Agent, "verdicts", &wirepb.Frame{Body: &wirepb.Frame_PartVerdicts{PartVerdicts: body}})
	case relay.CheckPort:
		go x.d.checkPort(x.ctx, eff)
	case relay.EndpointCrashed:
		x.d.logCrash(eff)
	case relay.LossDiscarded:
		x.d.logDiscarded(eff)
	case relay.VerdictChanged:
		x.d.noteVerdict(eff.Verdict)
		x.d.logVerdict(eff)
	case relay.PartRefused:
		x.d.logPartRefused(eff)
	}
}

// noteVerdict updates the copy of the reducer's convictions.
func (d *Daemon) noteVerdict(v poison.Verdict) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.convictions, func(_ poison.Part, old poison.Verdict) bool { return !old.InForce(now) })
	delete(d.convictions, v.Part)
	if v.InForce(now) {
		d.convictions[v.Part] = v
	}
}

// Convictions returns the convictions of prompt parts in force, sorted by part.
func (d *Daemon) Convictions() []poison.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return poison.InForceAt(time.Now(), slices.Collect(maps.Values(d.convictions)))
}

// Acquit lifts the conviction of a prompt part, here at once and at the other processes soon. It
// returns poison.ErrNotConvicted if the router knows of none.
func (d *Daemon) Acquit(part poison.Part) error {
	if !poison.Includes(d.Convictions(), part) {
		return poison.ErrNotConvicted
	}
	d.loop.Post(relay.PartAcquitted{Part: part})
	return nil
}

// tell sends a frame to the agent of an endpoint, which does not answer. what describes the frame
// in the log.
func (a *agentConns) tell(instance, what string, f *wirepb.Frame) {
	s, err := a.send(instance, f)
	if err != nil {
		a.d.log.Info().Err(err).Str("endpoint", instance).Str("report", what).Msg("could not report to agent")
		return
	}
	_ = s.Close()
}

// logCrash logs the crash of an endpoint.
func (d *Daemon) logCrash(eff relay.EndpointCrashed) {
	d.log.Warn().Str("endpoint", eff.Endpoint).Int("lost", eff.Lost).Str("found-by", string(eff.Source)).
		Int64("age-ms", time.Since(eff.LostAt).Milliseconds()).
		Strs("suspects", lo.Map(eff.Suspects, func(s poison.Suspect, _ int) string { return s.Part.String() })).
		Msg("endpoint crashed")
}

// logDiscarded logs that a lost attempt does not count as the crash of its endpoint.
func (d *Daemon) logDiscarded(eff relay.LossDiscarded) {
	d.log.Info().Str("request", eff.AttemptID).Str("endpoint", eff.Endpoint).Str("why", string(eff.Reason)).
		Int64("age-ms", time.Since(eff.LostAt).Milliseconds()).
		Strs("suspects", lo.Map(eff.Suspects, func(s poison.Suspect, _ int) string { return s.Part.String() })).
		Msg("lost attempt not counted as a crash")
}

// logVerdict logs a new verdict on a prompt part.
func (d *Daemon) logVerdict(eff relay.VerdictChanged) {
	v := eff.Verdict
	d.log.Warn().Stringer("part", v.Part).Bool("lifted", v.Lifted).Int("crashes", v.CrashCount).
		Int64("age-ms", time.Since(v.DecidedAt).Milliseconds()).Str("told-by", eff.Source).Msg("verdict on prompt part changed")
}

const (
	// portCheckTimeout bounds an attempt to connect to an endpoint that may have crashed.
	portCheckTimeout = 500 * time.Millisecond
	// portCheckDelays are the times before these attempts. The port of a process that is ending
	// may accept connections for a moment.
	firstPortCheckDelay, secondPortCheckDelay = 5 * time.Millisecond, 100 * time.Millisecond
)

// checkPort reports to the reducer whether a connection to an endpoint can be opened.
func (d *Daemon) checkPort(ctx context.Context, eff relay.CheckPort) {
	var refused, reached bool
	for _, delay := range []time.Duration{firstPortCheckDelay, secondPortCheckDelay} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		err := tryToConnect(ctx, eff.Address)
		reached = reached || err == nil
		if refused = errors.Is(err, syscall.ECONNREFUSED); refused {
			break
		}
	}
	d.loop.Post(relay.PortChecked{Instance: eff.Instance, Refused: refused, Unreachable: !refused && !reached})
}

// tryToConnect opens a connection to the address and closes it.
func tryToConnect(ctx context.Context, addr netip.AddrPort) error {
	dialer := net.Dialer{Timeout: portCheckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return err
	}
	// The connection has served its purpose.
	_ = conn.Close()
	return nil
}

// logPartRefused logs that a request is refused for a conviction of it or of a part of its prompt.
func (d *Daemon) logPartRefused(eff relay.PartRefused) {
	d.mu.Lock()
	x := d.exchanges[eff.ID]
	d.mu.Unlock()
	if x == nil {
		return
	}
	d.log.Info().Str("request", x.request.AttemptID).Str("route", x.route.Name).Str("part-id", eff.PartID).
		Stringer("part", eff.Verdict.Part).Bool("whole", eff.Verdict.Part == x.request.Whole).Int("crashes", eff.Verdict.CrashCount).
		Int64("verdict-age-ms", time.Since(eff.Verdict.DecidedAt).Milliseconds()).Msg("prompt part refused")
}
