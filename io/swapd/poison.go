package swapd

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/core/swap"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// poisonEvent returns the event for a router's report on prompt parts that crash endpoints; nil if
// the frame is none.
func poisonEvent(f *wirepb.Frame) event.Event {
	if c := f.GetCrashReports(); c != nil {
		return swap.CrashesReported{Crashes: wire.DecodeCrashes(time.Now(), c)}
	}
	if p := f.GetAnsweredParts(); p != nil {
		return swap.PartsAnswered{Parts: wire.DecodeAnswered(p)}
	}
	if v := f.GetPartVerdicts(); v != nil {
		return swap.VerdictsReported{Verdicts: wire.DecodeVerdicts(time.Now(), v)}
	}
	return nil
}

// Convictions returns the convictions of prompt parts in force as of the last report, sorted by
// part.
func (d *Daemon) Convictions() []poison.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return poison.InForceAt(time.Now(), d.latestReport.Verdicts)
}

// Acquit lifts the conviction of a prompt part, here at once and at the other processes soon. It
// returns poison.ErrNotConvicted if the agent knows of none.
func (d *Daemon) Acquit(part poison.Part) error {
	if !poison.Includes(d.Convictions(), part) {
		return poison.ErrNotConvicted
	}
	d.log.Warn().Stringer("part", part).Msg("prompt part acquitted by operator")
	d.loop.Post(swap.PartAcquitted{Part: part})
	return nil
}
