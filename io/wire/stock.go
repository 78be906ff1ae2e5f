package wire

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/poison"
	"chervilreach/core/quota"
	"chervilreach/core/stock"
	"chervilreach/io/wire/wirepb"
)

// EncodeDemand returns the message for a demand. Deadlines are encoded as the time remaining
// from now, because the clocks of sender and receiver may differ.
func EncodeDemand(now time.Time, d stock.Demand) *wirepb.Demand {
	return &wirepb.Demand{
		Wants: lo.Map(d.Wants, func(r stock.LoadRequest, _ int) *wirepb.Want {
			return &wirepb.Want{
				Model: r.Item.Model, Adapter: r.Item.Adapter, Priority: int32(r.Priority),
				RemainingUs: r.Deadline.Sub(now).Microseconds(), Waiting: uint32(r.Waiting),
				RateMilli: uint32(r.Rate * 1000), TargetUs: targetMicros(now, r.Target),
			}
		}),
		Uses: lo.Map(d.Uses, func(u stock.ModelUsage, _ int) *wirepb.Use {
			return &wirepb.Use{
				Model: u.Model, Adapter: u.Adapter, Running: uint32(u.Running), RateMilli: uint32(u.Rate * 1000), Holders: uint32(u.Holders),
			}
		}),
		ReportGapMs: uint32(d.ReportGap.Milliseconds()),
	}
}

// DecodeDemand returns the demand in a message. Deadlines are relative to now, the receiver's
// time.
func DecodeDemand(now time.Time, d *wirepb.Demand) stock.Demand {
	return stock.Demand{
		Wants: lo.Map(d.GetWants(), func(w *wirepb.Want, _ int) stock.LoadRequest {
			return stock.LoadRequest{
				Item: stock.Item{Model: w.GetModel(), Adapter: w.GetAdapter()}, Priority: int(w.GetPriority()),
				Deadline: now.Add(micros(w.GetRemainingUs())), Waiting: int(w.GetWaiting()),
				Rate: float64(w.GetRateMilli()) / 1000, Target: targetTime(now, w.GetTargetUs()),
			}
		}),
		Uses: lo.Map(d.GetUses(), func(u *wirepb.Use, _ int) stock.ModelUsage {
			return stock.ModelUsage{
				Model: u.GetModel(), Adapter: u.GetAdapter(), Running: int(u.GetRunning()), Rate: float64(u.GetRateMilli()) / 1000,
				Holders: int(u.GetHolders()),
			}
		}),
		ReportGap: time.Duration(d.GetReportGapMs()) * time.Millisecond,
	}
}

// targetMicros returns the time remaining until target in microseconds, as sent: never 0, which stands for an
// unknown target.
func targetMicros(now, target time.Time) int64 {
	if target.IsZero() {
		return 0
	}
	return cmp.Or(target.Sub(now).Microseconds(), -1)
}

// targetTime returns the target that is sent as the time remaining until it.
func targetTime(now time.Time, us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return now.Add(micros(us))
}

// EncodeStock returns the message for a report. It omits the cached weights and the verdicts if
// they are the same as in last, the report sent before on the same stream, or the zero Report for the first
// one. Times are encoded relative to now.
func EncodeStock(now time.Time, r, last stock.Report) *wirepb.Stock {
	s := &wirepb.Stock{
		Instance: r.Instance, Address: r.Address.String(), Leaving: r.Leaving,
		Running: uint32(r.Running), Waiting: uint32(r.Waiting),
		KvUsed: uint32(r.KVUsed), KvTotal: uint32(r.KVTotal), Routers: uint32(r.Routers),
		Models: lo.Map(r.Models, func(m stock.LoadedModel, _ int) *wirepb.Loaded {
			return &wirepb.Loaded{Model: m.Model, Version: m.Version, Adapters: m.Adapters}
		}),
		Loads: lo.Map(r.Loads, func(l stock.ScheduledLoad, _ int) *wirepb.Loading {
			return &wirepb.Loading{
				Model: l.Item.Model, Adapter: l.Item.Adapter, RemainingUs: l.ReadyAt.Sub(now).Microseconds(),
			}
		}),
		Limits:   lo.Map(r.Limits, func(l stock.EndpointLimit, _ int) *wirepb.EndpointLimit { return EncodeLimit(now, l) }),
		Down:     r.Down,
		Suspects: encodeParts(r.Suspects),
	}
	if !slices.EqualFunc(r.Verdicts, last.Verdicts, poison.Verdict.Equal) {
		s.Verdicts = EncodeVerdicts(now, r.Verdicts)
	}
	if !r.Copies.Equal(last.Copies) || r.Instance != last.Instance {
		s.Copied = &wirepb.Copied{Memory: r.Copies.Memory, Disk: r.Copies.Disk}
	}
	return s
}

// EncodeBriefStock is like EncodeStock, but if instance, address, KV-cache capacity, models and
// cached weights are all the same as in last, it omits all of them.
func EncodeBriefStock(now time.Time, r, last stock.Report) *wirepb.Stock {
	s := EncodeStock(now, r, last)
	unchanged := r.Instance == last.Instance && r.Address == last.Address && r.KVTotal == last.KVTotal &&
		slices.EqualFunc(r.Models, last.Models, stock.LoadedModel.Equal) && s.Copied == nil
	if unchanged {
		s.AsBefore, s.Instance, s.Address, s.KvTotal, s.Models = true, "", "", 0, nil
	}
	return s
}

// DecodeStock returns the report in a message. Omitted fields are taken from last, the report
// received before on the same stream. Times are relative to now, the receiver's time. An invalid
// address is decoded as the zero netip.AddrPort.
func DecodeStock(now time.Time, s *wirepb.Stock, last stock.Report) stock.Report {
	addr, err := netip.ParseAddrPort(s.GetAddress())
	if err != nil {
		addr = netip.AddrPort{}
	}
	r := stock.Report{
		Instance: s.GetInstance(), Address: addr, Leaving: s.GetLeaving(),
		Running: int(s.GetRunning()), Waiting: int(s.GetWaiting()),
		KVUsed: int(s.GetKvUsed()), KVTotal: int(s.GetKvTotal()), Routers: int(s.GetRouters()),
		Models: lo.Map(s.GetModels(), func(m *wirepb.Loaded, _ int) stock.LoadedModel {
			return stock.LoadedModel{Model: m.GetModel(), Version: m.GetVersion(), Adapters: m.GetAdapters()}
		}),
		Loads: lo.Map(s.GetLoads(), func(l *wirepb.Loading, _ int) stock.ScheduledLoad {
			item := stock.Item{Model: l.GetModel(), Adapter: l.GetAdapter()}
			return stock.ScheduledLoad{Item: item, ReadyAt: now.Add(micros(l.GetRemainingUs()))}
		}),
		Copies:   last.Copies,
		Down:     s.GetDown(),
		Suspects: decodeParts(s.GetSuspects()),
		Verdicts: last.Verdicts,
	}
	if v := s.GetVerdicts(); v != nil {
		r.Verdicts = DecodeVerdicts(now, v)
	}
	for _, l := range s.GetLimits() {
		r.Limits = append(r.Limits, DecodeLimit(now, l))
	}
	if c := s.GetCopied(); c != nil {
		r.Copies = stock.CachedWeights{Memory: c.GetMemory(), Disk: c.GetDisk()}
	}
	if s.GetAsBefore() {
		r.Instance, r.Address, r.KVTotal, r.Models = last.Instance, last.Address, last.KVTotal, last.Models
	}
	return r
}

// EncodeLimit returns the message for a limit. Times are encoded relative to now.
func EncodeLimit(now time.Time, l stock.EndpointLimit) *wirepb.EndpointLimit {
	return &wirepb.EndpointLimit{
		Instance: l.Instance, PerSecond: l.PerSecond, Ended: l.Ended,
		SentAgoUs: now.Sub(l.SentAt).Microseconds(), SeenAgoUs: now.Sub(l.SeenAt).Microseconds(),
	}
}

// DecodeLimit returns the limit in a message. Times are relative to now, the receiver's time.
// A rate that is not a number is decoded as 0.
func DecodeLimit(now time.Time, l *wirepb.EndpointLimit) stock.EndpointLimit {
	rate := l.GetPerSecond()
	if !(rate >= 0) {
		rate = 0
	}
	return stock.EndpointLimit{
		Instance: l.GetInstance(), PerSecond: rate, Ended: l.GetEnded(),
		SentAt: now.Add(-micros(l.GetSentAgoUs())), SeenAt: now.Add(-micros(l.GetSeenAgoUs())),
	}
}

// EncodePermitAsk returns the message that asks for a permit to send a request to the endpoint
// with the limit l.
func EncodePermitAsk(now time.Time, l stock.EndpointLimit, ask quota.Ask) *wirepb.SendPermitAsk {
	return &wirepb.SendPermitAsk{
		Limit: EncodeLimit(now, l), Urgent: ask.Urgent, PatienceUs: ask.Latest.Sub(now).Microseconds(),
		NotBeforeUs: max(ask.NotBefore.Sub(now).Microseconds(), 0), Fallback: ask.Fallback,
	}
}

// DecodePermitAsk returns the limit and the ask in a message. Times are relative to now.
func DecodePermitAsk(now time.Time, m *wirepb.SendPermitAsk) (stock.EndpointLimit, quota.Ask) {
	l := DecodeLimit(now, m.GetLimit())
	return l, quota.Ask{
		PerSecond: l.PerSecond, Urgent: m.GetUrgent(), Latest: now.Add(micros(m.GetPatienceUs())),
		NotBefore: now.Add(micros(m.GetNotBeforeUs())), Fallback: m.GetFallback(),
	}
}

// micros returns a duration of n microseconds.
func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
