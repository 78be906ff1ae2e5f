package swapd

import (
	"time"

	"chervilreach/core/event"
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
