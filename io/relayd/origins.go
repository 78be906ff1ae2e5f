package relayd

import (
	"context"
	"time"

	"chervilreach/core/epoch"
	"chervilreach/core/event"
	"chervilreach/core/relay"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// VersionsStore keeps which versions of the endpoints' software have served lately, for routers that
// start. Its methods may be called concurrently.
type VersionsStore interface {
	// ReadVersions returns the records of all services.
	ReadVersions(ctx context.Context) ([]relay.VersionsRecord, error)
	// WriteVersions writes a record if its revision is still the one given, and returns the new revision.
	// With an error, the record may have been written nevertheless.
	WriteVersions(ctx context.Context, rec relay.VersionsRecord) (epoch.Revision, error)
}

// versionsTimeout bounds a call of the store for versions.
const versionsTimeout = time.Second

// doOrigins executes an effect that concerns versions of the endpoints' software. It reports whether
// the effect is one.
func (x executor) doOrigins(eff event.Effect) bool {
	switch eff := eff.(type) {
	case relay.ReportOrigins:
		body := wire.EncodeOrigins(eff.Service, eff.Origins)
		go x.d.agents.tell(eff.Judge, "origins of streams", &wirepb.Frame{Body: &wirepb.Frame_StreamOrigins{StreamOrigins: body}})
	case relay.TellVersions:
		body := wire.EncodeVersions(eff.Service, eff.Versions)
		go x.d.agents.tell(eff.Agent, "versions of software", &wirepb.Frame{Body: &wirepb.Frame_StreamOrigins{StreamOrigins: body}})
	case relay.AskOrigin:
		go x.d.agents.askOrigin(eff)
	case relay.OriginFound:
		x.d.logOrigin(eff)
	case relay.ReadVersions:
		go x.d.readVersions(x.ctx)
	case relay.WriteVersions:
		go x.d.writeVersions(x.ctx, eff.Record)
	default:
		return false
	}
	return true
}

// askOrigin asks an agent which version began a stream, and posts the answer.
func (a *agentConns) askOrigin(eff relay.AskOrigin) {
	answered := relay.OriginAnswered{ID: eff.ID, Judge: eff.Judge}
	m, err := a.exchangeOrigin(eff)
	if err != nil {
		a.d.log.Info().Err(err).Str("endpoint", eff.Judge).Msg("origin of stream not answered")
		answered.Failed = true
	} else {
		answered.Software, answered.Versions = m.GetSoftware(), m.GetVersions()
	}
	a.d.loop.Post(answered)
}

// exchangeOrigin sends an ask for the origin of a stream and returns the answer.
func (a *agentConns) exchangeOrigin(eff relay.AskOrigin) (*wirepb.StreamOriginAnswer, error) {
	ask := &wirepb.StreamOriginAsk{Service: eff.Service, Stream: uint64(eff.Stream)}
	s, err := a.send(eff.Judge, &wirepb.Frame{Body: &wirepb.Frame_StreamOriginAsk{StreamOriginAsk: ask}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	f, err := s.Recv()
	if err != nil {
		return nil, err
	}
	if f.GetStreamOriginAnswer() == nil {
		return nil, wire.ErrUnexpectedFrame
	}
	return f.GetStreamOriginAnswer(), nil
}

// readVersions reads the records of versions and posts them.
func (d *Daemon) readVersions(ctx context.Context) {
	if d.opts.Versions == nil {
		d.loop.Post(relay.VersionsRead{})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	records, err := d.opts.Versions.ReadVersions(ctx)
	if err != nil {
		d.log.Info().Err(err).Msg("could not read the versions of endpoints' software")
	}
	d.loop.Post(relay.VersionsRead{Records: records, Failed: err != nil})
}

// writeVersions writes a record of versions and posts the result.
func (d *Daemon) writeVersions(ctx context.Context, rec relay.VersionsRecord) {
	if d.opts.Versions == nil {
		d.loop.Post(relay.VersionsWritten{Record: rec})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	revision, err := d.opts.Versions.WriteVersions(ctx, rec)
	d.log.Info().Err(err).Str("service", rec.Service).Strs("versions", rec.Versions).Msg("versions of endpoints' software written")
	rec.Revision = revision
	d.loop.Post(relay.VersionsWritten{Record: rec, Failed: err != nil})
}

// logOrigin logs which version of the software a resuming request needs.
func (d *Daemon) logOrigin(eff relay.OriginFound) {
	d.mu.Lock()
	x := d.exchanges[eff.ID]
	d.mu.Unlock()
	if x == nil {
		return
	}
	line := d.log.Info().Str("request", x.request.AttemptID).Str("resumes", x.resumes).Str("software", eff.Software).
		Str("told-by", eff.Source).Int64("took-ms", time.Since(x.arrivedAt).Milliseconds()).Strs("versions", eff.Versions)
	if !eff.ReadAt.IsZero() {
		line = line.Int64("versions-age-ms", time.Since(eff.ReadAt).Milliseconds())
	}
	line.Msg("origin")
}
