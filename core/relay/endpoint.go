package relay

import (
	"slices"
	"time"

	"chervilreach/core/poison"
	"chervilreach/core/quota"
	"chervilreach/core/stock"
)

const (
	// latestAttemptWeight is the weight of the latest attempt in the moving average of an
	// endpoint's failure rate.
	latestAttemptWeight = 0.2
	// ejectFailureRate is the failure rate above which an endpoint gets no requests for
	// ejectDuration, unless no other endpoint can serve them.
	ejectFailureRate = 0.5
	ejectDuration    = 2 * time.Second
	// unreachableDuration is the time for which an endpoint that could not be reached gets
	// no requests, unless no other endpoint can serve them.
	unreachableDuration = 700 * time.Millisecond
	// firstReportTimeout is the time that the agent of a newly listed endpoint has to send its
	// first report. After that, the endpoint is used without a report.
	firstReportTimeout = 1500 * time.Millisecond
	// latestSpeedWeight is the weight of the latest prompt in the moving average of the prefill
	// speed.
	latestSpeedWeight = 0.1
	// initialTokensPerMS is the assumed prefill speed until a prompt has been processed. It
	// is lower than that of current accelerators, so that the first requests are spread
	// over endpoints.
	initialTokensPerMS = 10.0
)

// endpoint is the router's view of one endpoint. Reports of its agent replace the field Stock
// of the embedded list entry.
type endpoint struct {
	EndpointEntry
	// hasAgent reports whether the agent is connected and has reported.
	hasAgent bool
	// agentLostAt is the time at which the connection to the agent was last lost; zero if it never
	// was.
	agentLostAt time.Time
	// listedAt is the time at which the endpoint first appeared in the list.
	listedAt time.Time
	// reportedAt is the time of the agent's last report; zero if there was none.
	reportedAt time.Time
	// reportInterval is a moving average of the time between two reports.
	reportInterval time.Duration
	// runningAttemptCount is the number of this router's attempts in progress at the endpoint,
	// prefillTokens the total prompt length of the attempts whose answer has not begun.
	runningAttemptCount, prefillTokens int
	// modelAttemptCounts and adapterAttemptCounts are the numbers of this router's attempts in
	// progress at the endpoint, by model and by adapter.
	modelAttemptCounts   map[string]int
	adapterAttemptCounts map[stock.Item]int
	// attemptCountSinceReport is the number of attempts sent since the agent's last report,
	// attemptCountBeforeReport the number of attempts sent between its last two reports. The
	// last report may lack any of them.
	attemptCountSinceReport, attemptCountBeforeReport int
	// hasSparseReports reports whether the agent has been asked to report seldom, as the
	// router follows only part of the agents. otherRouterRequestCount is the number of requests
	// of other routers at the endpoint at the time of the last report.
	hasSparseReports        bool
	otherRouterRequestCount int
	// answeredAt is the time at which the endpoint last began or ended an answer; zero if it never did.
	answeredAt time.Time
	// shed has the models for which the endpoint has rejected requests since it last had room.
	shed map[string]shedPause
	// failureRate is a moving average, from 0 to 1.
	failureRate float64
	// ejectedUntil is the time until which the endpoint is used only if there is no other;
	// zero if it was never ejected.
	ejectedUntil time.Time
	// tieBreak is a pseudo-random number from 0 to 1 that breaks ties between endpoints. It
	// differs between routers, so that they choose different endpoints.
	tieBreak float64
	// tokensPerMS is the prefill speed, a moving average.
	tokensPerMS float64
	// listedStock is the state of the endpoint's models according to the endpoint list.
	listedStock stock.Report
	// leaving is what each source says of the endpoint's leaving. Leaving, of the embedded entry, is
	// derived from it.
	leaving leavingWords
	// former is the incarnation before if it may come back; nil if not.
	former *formerIncarnation
	// doubt is set while the list has no entry of the endpoint that can be believed.
	doubt *entryDoubt
	// lastDemand is the demand last sent to the agent; zero if the agent is not connected.
	lastDemand stock.Demand
	// demandedAt is the time at which it was sent.
	demandedAt time.Time
	// limit is the latest known rate limit of the endpoint. limitedUntil is the time until which
	// it is of no use to ask for a permit, nextPermitAt the start of the next permit.
	limit                      stock.EndpointLimit
	limitedUntil, nextPermitAt time.Time
	// ended reports whether the incarnation of the entry has ended. Another one may serve under the same
	// instance name before the list has it, with other software.
	ended bool
	// self is the self-reported status.
	self selfStatus
	// pendingAskCount is the number of unanswered asks for permits for the endpoint.
	pendingAskCount int
	// ownShare is the router's own share of the limit, for times without a granter.
	ownShare quota.Share
	// askAgainAt is the time until which the endpoint's agent is not asked for permits, as it
	// did not answer.
	askAgainAt time.Time
	// lostAttempts are the attempts that the endpoint's crash may have ended, end is what is known of its end.
	lostAttempts []lostAttempt
	end          incarnationEnd
	// aliveAt is the time of the last sign of life of the incarnation: an answer, or a report of its agent. endedAt is
	// that of the first word since that it has ended, also from before it was listed again. Both are zero if there was
	// none.
	aliveAt, endedAt time.Time
	// checkingPort reports whether the answer to CheckPort is awaited.
	checkingPort bool
	// toldCrashCount is the number of the router's crashes (poisonState.crashCount) when the agent
	// was last told the recent ones.
	toldCrashCount int
	// toldOrigins is the sequence number of the last origin of a stream that the agent was told; 0 if
	// it was told none.
	toldOrigins uint64
	// toldVersions are the versions of each service's software that the agent was last told.
	toldVersions map[string][]string
	// objectedTo are the answered prompt parts that the agent was last told, objectedAt the time of it.
	objectedTo []poison.Part
	objectedAt time.Time
	// toldVerdicts are the verdicts on prompt parts that the agent was last told, toldVerdictsAt the
	// time of it.
	toldVerdicts   []poison.Verdict
	toldVerdictsAt time.Time
}

func newEndpoint(m EndpointEntry, now time.Time) *endpoint {
	return &endpoint{EndpointEntry: m, leaving: leavingWords{listed: m.Leaving}, listedStock: m.Stock, listedAt: now, modelAttemptCounts: make(map[string]int), adapterAttemptCounts: make(map[stock.Item]int), tokensPerMS: initialTokensPerMS}
}

// isNewIncarnation reports whether the entry m is for another incarnation of the same
// instance, which has none of the previous one's models and requests.
func (e *endpoint) isNewIncarnation(m EndpointEntry) bool {
	return m.Born != 0 && e.Born != 0 && m.Born != e.Born
}

// sameEntry reports whether m is equal to the list entry that the endpoint has now.
func (e *endpoint) sameEntry(m EndpointEntry) bool {
	if e.doubt != nil {
		return e.doubt.entry.equal(&m)
	}
	if m.Malformed {
		return false
	}
	return e.Service == m.Service && e.Address == m.Address && e.FailureDomain == m.FailureDomain &&
		e.Slots == m.Slots && e.leaving.listed == m.Leaving && e.HasModels == m.HasModels && e.Born == m.Born && e.Software == m.Software &&
		slices.EqualFunc(e.listedStock.Models, m.Stock.Models, stock.LoadedModel.Equal) && e.listedStock.Copies.Equal(m.Stock.Copies)
}

// update applies a changed list entry. The models of an agent's report are kept, as the
// report is newer than the entry.
func (e *endpoint) update(m EndpointEntry) {
	known := e.Stock
	if e.ended {
		m.Software = ""
	}
	e.EndpointEntry, e.listedStock = m, m.Stock
	e.leaving.listed = m.Leaving
	e.deriveLeaving()
	if e.hasAgent {
		e.Stock = known
		return
	}
	if m.Stock.Copies.IsEmpty() {
		e.Stock.Copies = known.Copies
	}
}

// applyReport replaces the known stock by an agent's report. A report without
// cached weights leaves the known ones unchanged.
func (e *endpoint) applyReport(r stock.Report, now time.Time) {
	if !e.reportedAt.IsZero() {
		e.reportInterval += time.Duration(latestIntervalWeight * float64(now.Sub(e.reportedAt)-e.reportInterval))
	}
	e.reportedAt = now
	if r.Copies.IsEmpty() {
		r.Copies = e.Stock.Copies
	}
	e.Stock = r
	e.hasAgent = true
	if r.Running+r.Waiting < e.Slots {
		clear(e.shed)
	}
	e.attemptCountSinceReport, e.attemptCountBeforeReport = 0, e.attemptCountSinceReport
	e.otherRouterRequestCount = max(r.Running+r.Waiting-e.runningAttemptCount, 0)
	e.leaving.agent = r.Leaving
	e.deriveLeaving()
}

// addAttempt counts an attempt that is being sent to the endpoint.
func (e *endpoint) addAttempt(r *request) {
	e.runningAttemptCount++
	e.attemptCountSinceReport++
	e.prefillTokens += r.TokensIn
	e.modelAttemptCounts[r.Item.Model]++
	if r.Item.Adapter != "" {
		e.adapterAttemptCounts[r.Item]++
	}
}

// removeAttempt removes an attempt that has ended from the counts.
func (e *endpoint) removeAttempt(r *request) {
	e.runningAttemptCount--
	if !r.answerBegan {
		e.prefillTokens -= r.TokensIn
	}
	if e.modelAttemptCounts[r.Item.Model]--; e.modelAttemptCounts[r.Item.Model] <= 0 {
		delete(e.modelAttemptCounts, r.Item.Model)
	}
	if r.Item.Adapter == "" {
		return
	}
	if e.adapterAttemptCounts[r.Item]--; e.adapterAttemptCounts[r.Item] <= 0 {
		delete(e.adapterAttemptCounts, r.Item)
	}
}

// recordAnswerStart records that the prompt of r has been processed, and updates the prefill
// speed.
func (e *endpoint) recordAnswerStart(r *request, now time.Time) {
	e.answeredAt, e.aliveAt = now, now
	e.end = incarnationEnd{}
	delete(e.shed, r.Item.Model)
	e.prefillTokens -= r.TokensIn
	took := float64(now.Sub(r.sentAt)) / float64(time.Millisecond)
	if r.TokensIn > 0 && took > 0 {
		e.tokensPerMS += latestSpeedWeight * (float64(r.TokensIn)/took - e.tokensPerMS)
	}
}

// recordOutcome updates the failure rate with the outcome of an attempt, and ejects the
// endpoint for a while if the rate is too high.
func (e *endpoint) recordOutcome(failed bool, now time.Time) {
	e.failureRate *= 1 - latestAttemptWeight
	if !failed {
		return
	}
	e.failureRate += latestAttemptWeight
	if e.failureRate > ejectFailureRate {
		e.ejectedUntil = now.Add(ejectDuration)
	}
}

// assumedAlive reports whether the endpoint can be assumed to be alive, so that requests may
// be sent to it. It is true if the endpoint has no engine that loads models, if its agent has
// reported, or if firstReportTimeout has passed since it was listed. Until then, a listed
// endpoint may have ended already, as list entries outlive their endpoints by some seconds.
func (e *endpoint) assumedAlive(now time.Time) bool {
	return !e.HasModels || !e.reportedAt.IsZero() || !now.Before(e.listedAt.Add(firstReportTimeout))
}

// requestCount returns an estimate of the number of requests at the endpoint, from all routers.
func (e *endpoint) requestCount() int {
	if !e.hasAgent {
		return e.runningAttemptCount
	}
	if e.hasSparseReports {
		return e.otherRouterRequestCount + e.runningAttemptCount
	}
	return max(e.Stock.Running+e.Stock.Waiting+e.attemptCountSinceReport+e.attemptCountBeforeReport, e.runningAttemptCount)
}
