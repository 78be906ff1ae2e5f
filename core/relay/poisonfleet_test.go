package relay

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/core/route"
	"chervilreach/core/stock"
	"chervilreach/core/swap"
)

// poisonFleet simulates the routers of a fleet and the endpoints of a service, each with its agent,
// with a common clock. An endpoint that begins to answer a request with a deadly part crashes
// and returns after returnTime under another instance name. Requests have the prompt parts of a
// class, a caller and a session, and one of their own.
type poisonFleet struct {
	fleetClock
	t       *testing.T
	routers []*poisonRouter
	hosts   []*poisonHost
	// entries is the current endpoint list, which routers read after a while, listCount the number of
	// its changes.
	entries   []EndpointEntry
	listCount int
	// deadly are the deadly parts, with the share of the requests that have them.
	deadly map[string]float64
	// deadlyFrom is the time from which requests have them.
	deadlyFrom time.Time
	// cutOff reports whether a router does not reach the agent of a host.
	cutOff func(router, host int) bool
	// crashedAt has the times of the crashes by deadly part, reachedAt those at which requests with the
	// part reached endpoints. onCrash is called after each crash.
	crashedAt, reachedAt map[string][]time.Time
	crashCount           int
	onCrash              func(count int)
	// sound are the sound requests.
	sound  []*poisonRequest
	counts poisonCounts
}

// poisonCounts counts messages to agents, and how often a report had something to say on parts.
type poisonCounts struct {
	crashReports, answeredReports, verdictReports, verdicts int
}

type poisonRouter struct {
	state       *State
	index       int
	frozenUntil time.Time
	wakeAt      time.Time
	lastID      RequestID
	requests    map[RequestID]*poisonRequest
	// follows has the followed instances by host, mismatchSince the time at which the agent first
	// reported another one.
	follows       map[int]string
	mismatchSince map[int]time.Time
	// inbox holds what reached the router while it was frozen.
	inbox []func()
}

type poisonHost struct {
	index, incarnation int
	up                 bool
	// plain reports whether the host runs an endpoint of the plain service, without an agent.
	plain          bool
	agent          *swap.State
	agentDownUntil time.Time
	wakeAt         time.Time
	attempts       []*poisonAttempt
	lastReport     stock.Report
}

type poisonAttempt struct {
	router  *poisonRouter
	request *poisonRequest
	id      RequestID
	try     int
	begun   bool
}

type poisonRequest struct {
	// path is the path of a request of the plain service, of a route of the given kind; empty for
	// others.
	path  string
	kind  route.Kind
	parts []string
	// deadly is the deadly part; empty if there is none.
	deadly    string
	arrivedAt time.Time
	retried   bool
	// begunAtFirstTry reports whether the answer to the first attempt has begun.
	begunAtFirstTry bool
	refused         bool
}

const (
	returnTime = 3 * time.Second
	// listedFor is how long the list entry of an endpoint that has crashed remains.
	listedFor = time.Second
	// renameDelay is how long an agent must report another instance until the router adopts it, as in
	// package relayd.
	renameDelay = 700 * time.Millisecond
	// reachedGrace is the time after the fifth crash after which at most maxReached requests may reach endpoints.
	reachedGrace = 3 * time.Second
	maxReached   = 3
)

func newPoisonFleet(t *testing.T, seed uint64, routerCount, hostCount int) *poisonFleet {
	t.Helper()
	f := &poisonFleet{
		t: t, fleetClock: newFleetClock(seed), deadly: make(map[string]float64),
		crashedAt: make(map[string][]time.Time), reachedAt: make(map[string][]time.Time),
	}
	for n := range hostCount {
		h := &poisonHost{index: n, up: true}
		f.hosts = append(f.hosts, h)
		f.entries = append(f.entries, f.entryOf(h))
		f.startAgent(h)
	}
	for n := range routerCount {
		f.addRouter(n)
	}
	f.run(2*time.Second, 0)
	return f
}

func (h *poisonHost) instance() string { return fmt.Sprintf("e%03d-%d", h.index, h.incarnation) }

func hostAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index / 250), byte(index%250 + 1)}), 80)
}

func (f *poisonFleet) entryOf(h *poisonHost) EndpointEntry {
	service := llm
	if h.plain {
		service = plain
	}
	e := testEntry(h.instance(), service)
	e.Address, e.Born = hostAddress(h.index), int64(h.incarnation+1)
	if h.plain {
		return e
	}
	e.Stock = stock.Report{Instance: h.instance(), KVTotal: 130_000, Models: []stock.LoadedModel{{Model: "a"}}}
	return e
}

// startAgent starts the agent of a host, or starts it again. The routers that follow it are connected.
func (f *poisonFleet) startAgent(h *poisonHost) {
	h.agent, h.wakeAt = swap.New(), f.now
	followers := max(1, len(f.routers))
	if len(f.hosts) > followAllLimit {
		followers = max(1, len(f.routers)*maxFollowed/len(f.hosts))
	}
	for n := range followers {
		f.applyAgent(h, swap.RouterConnected{Router: uint64(n)})
	}
}

// addRouter starts router n, or starts it again.
func (f *poisonFleet) addRouter(n int) *poisonRouter {
	r := &poisonRouter{
		index: n, requests: make(map[RequestID]*poisonRequest), follows: make(map[int]string), mismatchSince: make(map[int]time.Time),
		state: New(Settings{Process: fmt.Sprint("router-", n), FailureDomain: "here", RetryRatio: 0.2, RetryExtra: 56, RetryWindow: 10 * time.Second}),
	}
	if n < len(f.routers) {
		f.routers[n] = r
	} else {
		f.routers = append(f.routers, r)
	}
	f.apply(r, RoutesAdopted{Table: testTable()})
	f.apply(r, EndpointsListed{List: slices.Clone(f.entries)})
	return r
}

// toRouter calls deliver at the router after a message's delay, or when it goes on if it is frozen.
// Messages from one host keep their order.
func (f *poisonFleet) toRouter(r *poisonRouter, host int, deliver func()) {
	delay := netDelay + time.Duration((host*31+r.index*17)%int(netJitter/time.Millisecond))*time.Millisecond
	f.at(f.now.Add(delay), func() {
		switch {
		case f.routers[r.index] != r:
		case f.now.Before(r.frozenUntil):
			r.inbox = append(r.inbox, deliver)
		default:
			deliver()
		}
	})
}

// apply applies an event to a router.
func (f *poisonFleet) apply(r *poisonRouter, ev event.Event) {
	for _, eff := range r.state.Apply(f.now, ev) {
		switch eff := eff.(type) {
		case event.Wake:
			if eff.At.Before(r.wakeAt) {
				r.wakeAt = eff.At
			}
		case Send:
			f.send(r, eff)
		case CheckPort:
			f.checkPort(r, eff)
		case AbortAttempt:
			f.abort(r, eff)
		case FollowAgents:
			f.follow(r, eff.List)
		case ReportCrashes:
			f.counts.crashReports++
			f.toAgent(r, eff.Judge, func(age time.Duration) event.Event {
				return swap.CrashesReported{Crashes: lo.Map(eff.Crashes, func(c poison.Crash, _ int) poison.Crash { return laterCrash(c, age) })}
			})
		case ReportAnswered:
			f.counts.answeredReports++
			f.toAgent(r, eff.Judge, func(time.Duration) event.Event { return swap.PartsAnswered{Parts: eff.Parts} })
		case ReportVerdicts:
			f.counts.verdictReports++
			f.counts.verdicts += len(eff.Verdicts)
			f.toAgent(r, eff.Agent, func(age time.Duration) event.Event {
				return swap.VerdictsReported{Verdicts: laterVerdicts(eff.Verdicts, age)}
			})
		case Refuse:
			f.callerRefused(r, eff.ID, eff.Reason)
		case Fail:
			f.callerRefused(r, eff.ID, eff.Reason)
		}
	}
}

// checkPort tells a router whether an endpoint's host refuses connections.
func (f *poisonFleet) checkPort(r *poisonRouter, eff CheckPort) {
	h := f.hostOf(eff.Address)
	f.after(0, func() {
		refused := !h.up
		f.toRouter(r, h.index, func() { f.apply(r, PortChecked{Instance: eff.Instance, Refused: refused}) })
	})
}

// hostOf returns the host with the address.
func (f *poisonFleet) hostOf(addr netip.AddrPort) *poisonHost {
	ip := addr.Addr().As4()
	return f.hosts[int(ip[2])*250+int(ip[3])-1]
}

// laterCrash returns the crash as its receiver knows it, as times are sent as ages.
func laterCrash(c poison.Crash, delay time.Duration) poison.Crash {
	c.At = c.At.Add(delay)
	c.Suspects = lo.Map(c.Suspects, func(s poison.Suspect, _ int) poison.Suspect {
		s.SentAt = s.SentAt.Add(delay)
		return s
	})
	return c
}

func laterVerdicts(list []poison.Verdict, delay time.Duration) []poison.Verdict {
	return lo.Map(list, func(v poison.Verdict, _ int) poison.Verdict {
		v.DecidedAt = v.DecidedAt.Add(delay)
		return v
	})
}

// toAgent delivers an event to the agent of an instance that the router follows.
func (f *poisonFleet) toAgent(r *poisonRouter, instance string, ev func(age time.Duration) event.Event) {
	sentAt := f.now
	for host, followed := range r.follows {
		if followed == instance && !f.isCutOff(r.index, host) {
			h := f.hosts[host]
			f.after(0, func() {
				if !f.now.Before(h.agentDownUntil) {
					f.applyAgent(h, ev(f.now.Sub(sentAt)))
				}
			})
		}
	}
}

func (f *poisonFleet) isCutOff(router, host int) bool {
	return f.cutOff != nil && f.cutOff(router, host)
}

// follow connects a router to the agents of the listed endpoints, which report at once.
func (f *poisonFleet) follow(r *poisonRouter, list []EndpointEntry) {
	follows := make(map[int]string, len(list))
	for _, e := range list {
		ip := e.Address.Addr().As4()
		host := int(ip[2])*250 + int(ip[3]) - 1
		if f.hosts[host].plain {
			continue
		}
		follows[host] = e.Instance
		if r.follows[host] != e.Instance && f.hosts[host].lastReport.Instance != "" {
			f.report(f.hosts[host], r)
		}
	}
	r.follows = follows
}

// applyAgent applies an event to the agent of a host.
func (f *poisonFleet) applyAgent(h *poisonHost, ev event.Event) {
	for _, eff := range h.agent.Apply(f.now, ev) {
		switch eff := eff.(type) {
		case event.Wake:
			if eff.At.Before(h.wakeAt) {
				h.wakeAt = eff.At
			}
		case swap.Poll:
			f.poll(h)
		case swap.Publish:
			h.lastReport = eff.Report
			for _, r := range f.routers {
				if _, ok := r.follows[h.index]; ok && (eff.Routers == nil || slices.Contains(eff.Routers, uint64(r.index))) {
					f.report(h, r)
				}
			}
		}
	}
}

func (f *poisonFleet) poll(h *poisonHost) {
	agent, askedAt := h.agent, f.now
	f.at(f.now.Add(time.Millisecond), func() {
		if h.agent != agent {
			return
		}
		if !h.up {
			f.applyAgent(h, swap.ObserveFailed{Reason: "connection refused", Refused: true})
			return
		}
		r := stock.Report{
			Instance: h.instance(), Address: hostAddress(h.index), KVTotal: 130_000, Running: len(h.attempts),
			Models: []stock.LoadedModel{{Model: "a"}},
		}
		r.Copies.Disk = []string{"a"}
		f.applyAgent(h, swap.Observed{AskedAt: askedAt, Engine: swap.Snapshot{Born: int64(h.incarnation + 1), Report: r}})
	})
}

// report delivers the last report of a host's agent to a router.
func (f *poisonFleet) report(h *poisonHost, r *poisonRouter) {
	if f.isCutOff(r.index, h.index) || f.now.Before(h.agentDownUntil) {
		return
	}
	report, sentAt := h.lastReport, f.now
	f.toRouter(r, h.index, func() {
		followed, ok := r.follows[h.index]
		if !ok {
			return
		}
		report.Verdicts = laterVerdicts(report.Verdicts, f.now.Sub(sentAt))
		if report.Instance == followed {
			delete(r.mismatchSince, h.index)
			f.apply(r, AgentReported{Report: report})
			return
		}
		since, ok := r.mismatchSince[h.index]
		if !ok {
			r.mismatchSince[h.index] = f.now
			return
		}
		if f.now.Before(since.Add(renameDelay)) {
			return
		}
		delete(r.mismatchSince, h.index)
		r.follows[h.index] = report.Instance
		f.apply(r, InstanceChanged{From: followed, Report: report})
	})
}

// send delivers a request to its endpoint.
func (f *poisonFleet) send(r *poisonRouter, eff Send) {
	req := r.requests[eff.ID]
	h := f.hostOf(eff.Address)
	f.after(0, func() {
		if f.routers[r.index] != r {
			return
		}
		ended := AttemptEnded{ID: eff.ID, LastEvent: NoEvent}
		if !h.up || h.instance() != eff.Instance {
			ended.Result, ended.Refused = Unsent, !h.up
			if h.up {
				ended.Result = Replaced
			}
			f.toRouter(r, h.index, func() { f.endAttempt(r, eff.Try, ended) })
			return
		}
		if req.deadly != "" {
			f.reachedAt[req.deadly] = append(f.reachedAt[req.deadly], f.now)
		}
		a := &poisonAttempt{router: r, request: req, id: eff.ID, try: eff.Try}
		h.attempts = append(h.attempts, a)
		f.after(time.Duration(20+f.rnd.IntN(130))*time.Millisecond, func() { f.begin(h, a) })
	})
}

// begin begins the answer to an attempt, unless it has ended.
func (f *poisonFleet) begin(h *poisonHost, a *poisonAttempt) {
	if !slices.Contains(h.attempts, a) {
		return
	}
	a.begun = true
	if part := a.request.deadly; part != "" {
		f.crash(h)
		f.crashedAt[part] = append(f.crashedAt[part], f.now)
		f.crashCount++
		if f.onCrash != nil {
			f.onCrash(f.crashCount)
		}
		return
	}
	f.toRouter(a.router, h.index, func() {
		a.request.begunAtFirstTry = a.request.begunAtFirstTry || a.try == 1
		f.apply(a.router, AnswerStarted{ID: a.id})
	})
	f.after(time.Duration(200+f.rnd.IntN(1500))*time.Millisecond, func() {
		if i := slices.Index(h.attempts, a); i >= 0 {
			h.attempts = slices.Delete(h.attempts, i, i+1)
			f.toRouter(a.router, h.index, func() {
				f.endAttempt(a.router, a.try, AttemptEnded{ID: a.id, Result: Done, LastEvent: 1, Answering: true, HeadReceived: true, PromptServed: true})
			})
		}
	})
}

// endAttempt reports the end of an attempt to its router.
func (f *poisonFleet) endAttempt(r *poisonRouter, try int, ended AttemptEnded) {
	if req := r.state.requests[ended.ID]; req == nil || req.target == nil || req.attemptCount != try {
		return
	}
	f.apply(r, ended)
	if ended.Result == Done {
		delete(r.requests, ended.ID)
	}
}

// abort closes the connection of an attempt.
func (f *poisonFleet) abort(r *poisonRouter, eff AbortAttempt) {
	for _, h := range f.hosts {
		h.attempts = slices.DeleteFunc(h.attempts, func(a *poisonAttempt) bool { return a.router == r && a.id == eff.ID && a.try == eff.Try })
	}
	f.toRouter(r, 0, func() { f.endAttempt(r, eff.Try, AttemptEnded{ID: eff.ID, Result: Broken, LastEvent: NoEvent}) })
}

// crash ends an endpoint. Its list entry remains for a while, and another instance starts later.
func (f *poisonFleet) crash(h *poisonHost) {
	if !h.up {
		return
	}
	h.up = false
	for _, a := range h.attempts {
		ended := AttemptEnded{ID: a.id, Result: Broken, LastEvent: NoEvent, Cut: true, HeadReceived: a.begun && !h.plain && f.rnd.IntN(10) > 0}
		if ended.HeadReceived && a.request.deadly == "" {
			ended.Answering, ended.LastEvent = true, 0
		}
		f.toRouter(a.router, h.index, func() { f.endAttempt(a.router, a.try, ended) })
	}
	h.attempts = nil
	gone := h.instance()
	f.at(f.now.Add(listedFor), func() {
		f.listEndpoints(slices.DeleteFunc(slices.Clone(f.entries), func(e EndpointEntry) bool { return e.Instance == gone }))
	})
	f.at(f.now.Add(returnTime), func() {
		h.incarnation++
		h.up = true
		f.listEndpoints(append(slices.Clone(f.entries), f.entryOf(h)))
	})
}

// callerRefused lets the caller repeat a request once, unless it was told that this is of no use.
func (f *poisonFleet) callerRefused(r *poisonRouter, id RequestID, reason Reason) {
	req := r.requests[id]
	delete(r.requests, id)
	if req == nil {
		return
	}
	req.refused = reason == PromptCrashes || reason == RequestCrashes
	if req.retried || req.refused {
		return
	}
	req.retried = true
	f.at(f.now.Add(time.Duration(50+f.rnd.IntN(500))*time.Millisecond), func() { f.arrive(f.anyRouter(), req) })
}

func (f *poisonFleet) anyRouter() *poisonRouter { return f.routers[f.rnd.IntN(len(f.routers))] }

// arrive delivers a request to a router that is not frozen.
func (f *poisonFleet) arrive(r *poisonRouter, req *poisonRequest) {
	for f.now.Before(r.frozenUntil) {
		r = f.anyRouter()
	}
	r.lastID++
	r.requests[r.lastID] = req
	if req.path != "" {
		rt := plainRoute(req.kind)
		f.apply(r, RequestArrived{ID: r.lastID, Request: Request{
			AttemptID: "x", Route: rt, Service: plain, Deadline: f.now.Add(rt.Timeout), LastEvent: NoEvent,
			Whole: poison.RequestPart(plain, []string{req.path}, nil),
		}})
		return
	}
	rt := streamRoute()
	f.apply(r, RequestArrived{ID: r.lastID, Request: Request{
		AttemptID: "x", Route: rt, Service: llm, Item: modelA, TokensIn: 300, TokensOut: 100,
		Prefix: promptOf(req.parts...), Deadline: f.now.Add(rt.Timeout), LastEvent: NoEvent,
	}})
}

// newRequest returns a request. Deadly parts replace the class or the caller, or come after them, by
// their names.
func (f *poisonFleet) newRequest() *poisonRequest {
	caller := fmt.Sprint("caller-", int(30*f.rnd.ExpFloat64()))
	req := &poisonRequest{arrivedAt: f.now, parts: []string{fmt.Sprint("class-", f.rnd.IntN(3)), caller}}
	if f.rnd.IntN(2) == 0 {
		req.parts = append(req.parts, fmt.Sprintf("session-%s-%d", caller, f.rnd.IntN(3)))
	}
	if draw := f.rnd.Float64(); !f.deadlyFrom.IsZero() && !f.now.Before(f.deadlyFrom) {
		for _, name := range slices.Sorted(maps.Keys(f.deadly)) {
			if draw -= f.deadly[name]; draw < 0 {
				req.deadly, req.parts = name, withDeadly(req.parts, name)
				break
			}
		}
	}
	req.parts = append(req.parts, fmt.Sprint("own-", f.rnd.Uint64()))
	if req.deadly == "" {
		f.sound = append(f.sound, req)
	}
	return req
}

func withDeadly(parts []string, name string) []string {
	switch name {
	case deadlyClass:
		return append([]string{name}, parts[1:]...)
	case deadlyCaller:
		return append([]string{parts[0], name}, parts[2:]...)
	}
	return []string{"class-0", "caller-7", name}
}

// Names of deadly parts, by the place that they take in prompts.
const (
	deadlyClass   = "deadly-class"
	deadlyCaller  = "deadly-caller"
	deadlySession = "deadly-session"
)

// run advances the clock by d. The routers get requests at the given total rate.
func (f *poisonFleet) run(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		for _, h := range f.hosts {
			if !h.plain && !f.now.Before(h.wakeAt) && !f.now.Before(h.agentDownUntil) {
				h.wakeAt = f.now.Add(tickPeriod)
				f.applyAgent(h, event.Tick{})
			}
		}
		for _, r := range f.routers {
			if f.now.Before(r.frozenUntil) {
				continue
			}
			for len(r.inbox) > 0 {
				deliver := r.inbox[0]
				r.inbox = r.inbox[1:]
				deliver()
			}
			if !f.now.Before(r.wakeAt) {
				r.wakeAt = f.now.Add(tickPeriod)
				f.apply(r, event.Tick{})
			}
		}
		for n := f.rnd.Float64() + perSecond*fleetStep.Seconds(); n >= 1; n-- {
			f.arrive(f.anyRouter(), f.newRequest())
		}
	}
}

// listEndpoints changes the endpoint list, which each router reads some time later.
func (f *poisonFleet) listEndpoints(list []EndpointEntry) {
	f.entries = list
	f.listCount++
	count := f.listCount
	for _, r := range f.routers {
		f.at(f.now.Add(time.Duration(10+f.rnd.IntN(300))*time.Millisecond), func() {
			if f.listCount == count {
				f.toRouter(r, 0, func() { f.apply(r, EndpointsListed{List: list}) })
			}
		})
	}
}

// judgeHosts returns the hosts whose agents judge.
func (f *poisonFleet) judgeHosts() []*poisonHost {
	return lo.Map(f.routers[0].state.judges(llm), func(e *endpoint, _ int) *poisonHost {
		return f.hostOf(e.Address)
	})
}

// reachedLate returns the number of requests with a deadly part that reached endpoints after
// reachedGrace.
func (f *poisonFleet) reachedLate(part string) int {
	if len(f.crashedAt[part]) < 5 {
		return 0
	}
	bound := f.crashedAt[part][4].Add(reachedGrace)
	return lo.CountBy(f.reachedAt[part], func(at time.Time) bool { return at.After(bound) })
}

// begunShare returns the share of the sound requests of class-0 that arrived within a time whose
// answer began at the first attempt.
func (f *poisonFleet) begunShare(from, until time.Time) float64 {
	var all, begun int
	for _, req := range f.sound {
		if req.parts[0] == "class-0" && !req.arrivedAt.Before(from) && req.arrivedAt.Before(until) {
			all++
			if req.begunAtFirstTry {
				begun++
			}
		}
	}
	return float64(begun) / float64(max(all, 1))
}

// convictedSound returns the sound parts that a router holds for convicted.
func (f *poisonFleet) convictedSound() []poison.Part {
	sound := make(map[poison.Part]bool)
	for _, req := range f.sound {
		for _, id := range req.parts {
			sound[poison.PartOf(llm, id)] = true
		}
	}
	convicted := make(map[poison.Part]bool)
	for _, r := range f.routers {
		for p, v := range r.state.poison.verdicts {
			if v.InForce(f.now) && sound[p] {
				convicted[p] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(convicted))
}

// poisonSeeds returns the seeds of the simulated fleets: one by default, POISON_SEEDS if that is set.
func poisonSeeds(t *testing.T) []uint64 {
	t.Helper()
	count := 1
	if s := os.Getenv("POISON_SEEDS"); s != "" {
		var err error
		count, err = strconv.Atoi(s)
		require.NoError(t, err)
	}
	return lo.Map(lo.Range(count), func(n, _ int) uint64 { return uint64(n + 1) })
}

type fleetSize struct {
	routers, hosts int
	perSecond      float64
}

var fleetSizes = []fleetSize{{5, 9, 40}, {27, 27, 100}, {107, 60, 200}, {330, 280, 400}}

// Guards against a prompt part that crashes endpoint after endpoint, as the routers of a fleet repeat
// the requests elsewhere and do not know of each other's crashes.
func TestFleetStopsDeadlyPart(t *testing.T) {
	for _, size := range fleetSizes {
		for name, c := range map[string]struct {
			deadly  map[string]float64
			prepare func(f *poisonFleet)
			onCrash func(f *poisonFleet, count int)
			// large reports whether the case is simulated in large fleets even without POISON_SEEDS.
			large bool
		}{
			"session's part":        {deadly: map[string]float64{deadlySession: 0.05}, large: true},
			"caller's part":         {deadly: map[string]float64{deadlyCaller: 0.05}},
			"first part":            {deadly: map[string]float64{deadlyClass: 0.05}},
			"first part, seldom":    {deadly: map[string]float64{deadlyClass: 0.01}},
			"two parts":             {deadly: map[string]float64{deadlyCaller: 0.03, deadlySession: 0.03}},
			"routers frozen":        {deadly: map[string]float64{deadlySession: 0.05}, onCrash: (*poisonFleet).freezeThird, large: true},
			"agents restarted":      {deadly: map[string]float64{deadlySession: 0.05}, onCrash: (*poisonFleet).restartJudges},
			"endpoints of judges":   {deadly: map[string]float64{deadlySession: 0.05}, onCrash: (*poisonFleet).crashJudges},
			"a third killed":        {deadly: map[string]float64{deadlySession: 0.05}, onCrash: (*poisonFleet).killThird, large: true},
			"routers started later": {deadly: map[string]float64{deadlySession: 0.05}, onCrash: (*poisonFleet).restartRouters},
			"routers cut off": {deadly: map[string]float64{deadlySession: 0.05}, prepare: func(f *poisonFleet) {
				judges := lo.Map(f.judgeHosts(), func(h *poisonHost, _ int) int { return h.index })
				f.cutOff = func(router, host int) bool { return router%3 == 0 && slices.Contains(judges, host) }
			}},
		} {
			if size.routers > 27 && !c.large && os.Getenv("POISON_SEEDS") == "" {
				continue
			}
			for _, seed := range poisonSeeds(t) {
				t.Run(fmt.Sprintf("%d routers, %s, seed %d", size.routers, name, seed), func(t *testing.T) {
					t.Parallel()
					f := newPoisonFleet(t, seed, size.routers, size.hosts)
					f.deadly = c.deadly
					if c.prepare != nil {
						c.prepare(f)
					}
					if c.onCrash != nil {
						f.onCrash = func(count int) { c.onCrash(f, count) }
					}
					f.run(4*time.Second, size.perSecond)
					before := f.begunShare(f.now.Add(-4*time.Second), f.now.Add(-500*time.Millisecond))
					require.Greater(t, before, 0.9)
					f.deadlyFrom = f.now
					f.run(14*time.Second, size.perSecond)
					for part := range f.deadly {
						if at := f.crashedAt[part]; len(at) >= 5 {
							f.run(at[4].Add(10*time.Second).Sub(f.now), size.perSecond)
						}
					}
					for part := range f.deadly {
						f.checkStopped(part, before)
					}
					assert.Empty(t, f.convictedSound())
				})
			}
		}
	}
}

// checkStopped checks that requests with a deadly part no longer reach endpoints, and that the share of
// the sound requests whose first attempt begins is at least half of what it was before.
func (f *poisonFleet) checkStopped(part string, shareBefore float64) {
	f.t.Helper()
	crashedAt := f.crashedAt[part]
	require.GreaterOrEqual(f.t, len(crashedAt), 3)
	f.t.Logf("%s: %d crashes within %s, %d requests late; %+v", part, len(crashedAt),
		crashedAt[len(crashedAt)-1].Sub(crashedAt[0]).Round(time.Millisecond), f.reachedLate(part), f.counts)
	assert.LessOrEqual(f.t, f.reachedLate(part), maxReached)
	if len(crashedAt) >= 5 {
		share := f.begunShare(crashedAt[4].Add(2*reachedGrace), f.now.Add(-500*time.Millisecond))
		assert.GreaterOrEqual(f.t, share, shareBefore/2)
	}
}

// freezeThird freezes a third of the routers for 2 s at the third crash.
func (f *poisonFleet) freezeThird(count int) {
	if count != 3 {
		return
	}
	for n := 0; n < len(f.routers); n += 3 {
		f.routers[n].frozenUntil = f.now.Add(2 * time.Second)
	}
}

// restartJudges restarts the agents that judge at the second and the fourth crash.
func (f *poisonFleet) restartJudges(count int) {
	if count != 2 && count != 4 {
		return
	}
	for _, h := range f.judgeHosts() {
		h.agentDownUntil = f.now.Add(300 * time.Millisecond)
		for _, r := range f.routers {
			if instance, ok := r.follows[h.index]; ok {
				f.toRouter(r, h.index, func() { f.apply(r, AgentLost{Instance: instance}) })
			}
		}
		f.at(h.agentDownUntil, func() { f.startAgent(h) })
	}
}

// crashJudges crashes the endpoints whose agents judge at the second crash.
func (f *poisonFleet) crashJudges(count int) {
	if count != 2 {
		return
	}
	for _, h := range f.judgeHosts() {
		f.crash(h)
	}
}

// killThird kills a third of the endpoints at the second crash.
func (f *poisonFleet) killThird(count int) {
	if count != 2 {
		return
	}
	for n := 0; n < len(f.hosts); n += 3 {
		f.at(f.now.Add(time.Duration(f.rnd.IntN(100))*time.Millisecond), func() { f.crash(f.hosts[n]) })
	}
}

// restartRouters restarts a fifth of the routers a second after the fifth crash.
func (f *poisonFleet) restartRouters(count int) {
	if count != 5 {
		return
	}
	f.at(f.now.Add(time.Second), func() {
		for n := range max(1, len(f.routers)/5) {
			f.addRouter(n)
		}
	})
}

// Guards against verdicts on a day on which endpoints crash for other reasons.
func TestFleetConvictsNoSoundPart(t *testing.T) {
	for _, size := range fleetSizes[:3] {
		for _, seed := range poisonSeeds(t) {
			t.Run(fmt.Sprintf("%d routers, seed %d", size.routers, seed), func(t *testing.T) {
				t.Parallel()
				f := newPoisonFleet(t, seed, size.routers, size.hosts)
				f.run(4*time.Second, size.perSecond)
				for range 12 {
					f.run(time.Duration(500+f.rnd.IntN(1500))*time.Millisecond, size.perSecond)
					f.crash(f.hosts[f.rnd.IntN(len(f.hosts))])
				}
				f.killThird(2)
				f.run(4*time.Second, size.perSecond)
				assert.Empty(t, f.convictedSound())
				assert.Zero(t, lo.CountBy(f.sound, func(req *poisonRequest) bool { return req.refused }))
			})
		}
	}
}
