package wire

import (
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"chervilreach/core/poison"
	"chervilreach/io/wire/wirepb"
)

// EncodeCrashes returns the message for crashes. Times are encoded relative to now.
func EncodeCrashes(now time.Time, list []poison.Crash) *wirepb.CrashReports {
	return &wirepb.CrashReports{Crashes: lo.Map(list, func(c poison.Crash, _ int) *wirepb.Crash {
		m := &wirepb.Crash{
			Instance: c.Instance, CrashedAgoUs: now.Sub(c.At).Microseconds(),
			Suspects: lo.Map(c.Suspects, func(s poison.Suspect, _ int) *wirepb.CrashSuspect {
				return &wirepb.CrashSuspect{
					Part: uint64(s.Part), SentAgoUs: now.Sub(s.SentAt).Microseconds(), Depth: uint32(s.Depth), Answering: s.Answering, Whole: s.Whole,
				}
			}),
		}
		if !c.AliveAt.IsZero() {
			m.AliveAgoUs = proto.Int64(now.Sub(c.AliveAt).Microseconds())
		}
		return m
	})}
}

// DecodeCrashes returns the crashes in a message. Times are relative to now, the receiver's time.
func DecodeCrashes(now time.Time, m *wirepb.CrashReports) []poison.Crash {
	return lo.Map(m.GetCrashes(), func(c *wirepb.Crash, _ int) poison.Crash {
		crash := poison.Crash{
			Instance: c.GetInstance(), At: now.Add(-micros(c.GetCrashedAgoUs())),
			Suspects: lo.Map(c.GetSuspects(), func(s *wirepb.CrashSuspect, _ int) poison.Suspect {
				return poison.Suspect{
					Part: poison.Part(s.GetPart()), SentAt: now.Add(-micros(s.GetSentAgoUs())), Depth: int(s.GetDepth()), Answering: s.GetAnswering(), Whole: s.GetWhole(),
				}
			}),
		}
		if c.AliveAgoUs != nil {
			crash.AliveAt = now.Add(-micros(c.GetAliveAgoUs()))
		}
		return crash
	})
}

// EncodeAnswered returns the message for prompt parts that have been answered.
func EncodeAnswered(parts []poison.Part) *wirepb.AnsweredParts {
	return &wirepb.AnsweredParts{Parts: encodeParts(parts)}
}

// DecodeAnswered returns the prompt parts in a message.
func DecodeAnswered(m *wirepb.AnsweredParts) []poison.Part { return decodeParts(m.GetParts()) }

// EncodeVerdicts returns the message for verdicts on prompt parts. Times are encoded relative to
// now.
func EncodeVerdicts(now time.Time, list []poison.Verdict) *wirepb.PartVerdicts {
	return &wirepb.PartVerdicts{Verdicts: lo.Map(list, func(v poison.Verdict, _ int) *wirepb.PartVerdict {
		return &wirepb.PartVerdict{
			Part: uint64(v.Part), DecidedAgoUs: now.Sub(v.DecidedAt).Microseconds(), Crashes: uint32(v.CrashCount), Lifted: v.Lifted,
		}
	})}
}

// DecodeVerdicts returns the verdicts in a message. Times are relative to now, the receiver's time.
func DecodeVerdicts(now time.Time, m *wirepb.PartVerdicts) []poison.Verdict {
	return lo.Map(m.GetVerdicts(), func(v *wirepb.PartVerdict, _ int) poison.Verdict {
		return poison.Verdict{
			Part: poison.Part(v.GetPart()), DecidedAt: now.Add(-micros(v.GetDecidedAgoUs())), CrashCount: int(v.GetCrashes()), Lifted: v.GetLifted(),
		}
	})
}

func encodeParts(parts []poison.Part) []uint64 {
	return lo.Map(parts, func(p poison.Part, _ int) uint64 { return uint64(p) })
}

func decodeParts(parts []uint64) []poison.Part {
	if len(parts) == 0 {
		return nil
	}
	return lo.Map(parts, func(p uint64, _ int) poison.Part { return poison.Part(p) })
}
