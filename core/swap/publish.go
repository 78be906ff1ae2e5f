package swap

import (
	"maps"
	"math"
	"slices"
	"time"

	"chervilreach/core/poison"
	"chervilreach/core/stock"
)

const (
	// loadReportInterval is the minimum time between two reports to all routers that differ only
	// in the numbers of running and waiting requests.
	loadReportInterval = 150 * time.Millisecond
	// reportIntervalPerRouter, multiplied by the number of routers, is another lower bound of that
	// time. It keeps the number of messages that an agent sends per second about constant,
	// however many routers there are.
	reportIntervalPerRouter = 30 * time.Millisecond
	// stockIntervalPerRouter, multiplied by the number of routers, is the minimum time between two
	// reports to all routers if loaded models or loads have changed. Routers that are concerned are
	// told at once.
	stockIntervalPerRouter = 10 * time.Millisecond
	// goneIntervalPerRouter is the same if a model or adapter is gone: a router that does not know
	// that sends requests in vain.
	goneIntervalPerRouter = 2 * time.Millisecond
	// routersReportInterval is the minimum time between two reports to all routers that differ
	// only in the number of routers. It is short because a router that knows of too few others
	// takes too large a share of the retry budget.
	routersReportInterval = 250 * time.Millisecond
	// maxReportInterval is the time after which a report is sent even if nothing has changed. A
	// longer interval that follows from reportIntervalPerRouter or from the demands
	// (stock.Demand.ReportGap) takes precedence.
	maxReportInterval = time.Second
)

// publishIfDue emits a Publish if a report is due. What concerns all routers is sent to all at
// once, changes of the loaded models and of the loads to the routers that they concern; the rest
// goes to all routers at a limited rate. It emits none while the instance is unknown or no router
// is connected.
func (s *State) publishIfDue() {
	if s.snapshot.Report.Instance == "" || len(s.routers) == 0 {
		return
	}
	r := s.currentReport()
	if s.publishedReport == nil || concernsAll(r, s.publishedReport) || s.broadcastDue(r) {
		s.publishToAll(r)
		return
	}
	if s.interimReport != nil && sameStock(r, s.interimReport) && !s.newRouter && !s.newDemand {
		return
	}
	s.publishToConcerned(r)
}

// currentReport returns the report on the endpoint as of now.
func (s *State) currentReport() *stock.Report {
	r := s.snapshot.Report
	r.Routers = len(s.routers)
	r.Loads = s.expectedLoads()
	r.Models = s.servableModels()
	r.Limits = s.reportedLimits()
	if r.Down = s.endpointDown; r.Down {
		// A process that has ended holds nothing.
		r.Models, r.Loads, r.Running, r.Waiting, r.KVUsed = nil, nil, 0, 0, 0
	}
	r.Suspects, r.Verdicts = s.judge.Suspects(s.now), s.judge.Verdicts(s.now)
	return &r
}

// concernsAll reports whether r differs from the report old in what every router must know at
// once.
func concernsAll(r, old *stock.Report) bool {
	return r.Instance != old.Instance || r.Leaving != old.Leaving || r.Down != old.Down ||
		!slices.EqualFunc(r.Limits, old.Limits, stock.EndpointLimit.Equal) ||
		!slices.Equal(r.Suspects, old.Suspects) || !slices.EqualFunc(r.Verdicts, old.Verdicts, poison.Verdict.Equal)
}

// sameStock reports whether a and b have the same loaded models and loads, regardless of when
// these are done.
func sameStock(a, b *stock.Report) bool {
	return slices.EqualFunc(a.Models, b.Models, stock.LoadedModel.Equal) && slices.EqualFunc(a.Loads, b.Loads, sameItem)
}

// somethingGone reports whether a model or adapter is loaded according to the report old and not
// according to r.
func somethingGone(r, old *stock.Report) bool {
	for _, m := range old.Models {
		if !r.Holds(stock.Item{Model: m.Model}) {
			return true
		}
		for _, a := range m.Adapters {
			if !r.Holds(stock.Item{Model: m.Model, Adapter: a}) {
				return true
			}
		}
	}
	return false
}

// sameItem reports whether a and b load the same item, regardless of their ReadyAt.
func sameItem(a, b stock.ScheduledLoad) bool { return a.Item == b.Item }

// broadcastDue reports whether r must be sent to all routers now because of what has changed
// since the last report to all, or because that was long ago.
func (s *State) broadcastDue(r *stock.Report) bool {
	old, sinceLast := s.publishedReport, s.now.Sub(s.publishedAt)
	stockInterval := time.Duration(len(s.routers)) * stockIntervalPerRouter
	if somethingGone(r, old) {
		stockInterval = time.Duration(len(s.routers)) * goneIntervalPerRouter
	}
	loadInterval := max(time.Duration(len(s.routers))*reportIntervalPerRouter, s.reportGap())
	switch {
	case r.Routers != old.Routers && sinceLast >= routersReportInterval:
		return true
	case !sameStock(r, old) && sinceLast >= stockInterval:
		return true
	case (r.Running != old.Running || r.Waiting != old.Waiting) && sinceLast >= max(loadReportInterval, loadInterval):
		return true
	default:
		return sinceLast >= max(maxReportInterval, loadInterval)
	}
}

// reportGap returns the smallest ReportGap of all routers.
func (s *State) reportGap() time.Duration {
	gap := time.Duration(math.MaxInt64)
	for _, r := range s.routers {
		gap = min(gap, r.ReportGap)
	}
	return gap
}

// publishToAll emits a report to all routers.
func (s *State) publishToAll(r *stock.Report) {
	s.publishedReport, s.publishedAt, s.interimReport = r, s.now, r
	for id, router := range s.routers {
		router.told = r
		s.routers[id] = router
	}
	s.emit(Publish{Report: *r})
}

// publishToConcerned emits a report to the routers that have not been sent one yet, and to those
// that the changes since their last one concern.
func (s *State) publishToConcerned(r *stock.Report) {
	s.interimReport = r
	var ids []uint64
	for _, id := range slices.Sorted(maps.Keys(s.routers)) {
		router := s.routers[id]
		if router.told != nil && (sameStock(r, router.told) || !concerns(&router.Demand, r, router.told)) {
			continue
		}
		router.told = r
		s.routers[id] = router
		ids = append(ids, id)
	}
	if len(ids) > 0 {
		s.emit(Publish{Report: *r, Routers: ids})
	}
}

// concerns reports whether a router with the demand d must know at once what has changed from old
// to r: the state of a load that it has requested, or that an item for which it has traffic is
// gone.
func concerns(d *stock.Demand, r, old *stock.Report) bool {
	for _, w := range d.Wants {
		if loadState(r, w.Item) != loadState(old, w.Item) {
			return true
		}
	}
	return slices.ContainsFunc(d.Uses, func(u stock.ModelUsage) bool {
		item := stock.Item{Model: u.Model, Adapter: u.Adapter}
		return (u.Rate > 0 || u.Running > 0) && old.Holds(item) && !r.Holds(item)
	})
}

// itemState is the state of an item at an endpoint.
type itemState int

const (
	itemAbsent itemState = iota
	itemScheduled
	itemLoaded
)

// loadState returns the state of an item according to a report.
func loadState(r *stock.Report, item stock.Item) itemState {
	if r.Holds(item) {
		return itemLoaded
	}
	if _, ok := r.LoadReadyAt(item); ok {
		return itemScheduled
	}
	return itemAbsent
}
