package relay

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/route"
)

// Settings are the figures of a deployment that a router goes by.
type Settings struct {
	// Process is the router's name, FailureDomain its own.
	Process, FailureDomain string
	// RetryRatio and RetryExtra bound the repeats of all routers within
	// RetryWindow: the ratio of the requests, and so many more.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
}

// State is a router's reducer.
type State struct {
	cfg       Settings
	table     *route.Table
	endpoints []*endpoint
	index     index
	// dirty are endpoints whose agents are to be told what is asked of them.
	dirty    map[string]bool
	requests map[RequestID]*request
	// waiting are the requests that are not at an endpoint, in the order in which
	// they are served.
	waiting []*request
	wants   map[wantKey]*want
	demand  map[string]*traffic
	prompts *prompts
	budget  budget
	effects []event.Effect
	now     time.Time
	// refreshAt is when all agents are told the demand again.
	refreshAt time.Time
	// copies are the wishes for one more copy, looked at again at spreadAt.
	copies   []copyWant
	spreadAt time.Time
	// followed are the instances whose agents are followed, with the time since when;
	// nil for all.
	followed map[string]time.Time
	// followAt is when they are chosen again, refollow has it done at once.
	followAt time.Time
	refollow bool
	// agents is how many endpoints have agents.
	agents int
	// listBy is until when the rest of the list is waited for; zero if it is whole.
	listBy time.Time
	// sendBy is the last moment to send a waiting request before the process stops,
	// endBy when attempts are broken off; zero if it does not stop.
	sendBy, endBy time.Time
}

// request is one in progress.
type request struct {
	Request
	id RequestID
	// at is the endpoint of the attempt in progress; nil while waiting.
	at *endpoint
	// began says that the attempt in progress has begun to answer.
	began bool
	// sentAt is when the attempt in progress was sent.
	sentAt time.Time
	// tries counts attempts, ran those which may have run.
	tries, ran int
	// avoid are instances that failed the request.
	avoid []string
	// version is that of the weights that made the answer so far.
	version int64
	// answering says that a part of the answer has been passed on.
	answering bool
	// waitsFor is the endpoint whose load it waits for, or waitsForRoom.
	waitsFor string
	// shed says that the last endpoint was full: it has the model and serves it soon.
	shed bool
	// failed says that the endpoint's own failure is at hand.
	failed    bool
	arrivedAt time.Time
	// notBefore holds back a request that all endpoints have turned away.
	notBefore time.Time
}

// New returns the state of a router that has just started.
func New(cfg Settings) *State {
	return &State{
		cfg:      cfg,
		requests: make(map[RequestID]*request),
		wants:    make(map[wantKey]*want),
		demand:   make(map[string]*traffic),
		prompts:  newPrompts(),
		index:    newIndex(),
		dirty:    make(map[string]bool),
		budget:   newBudget(cfg),
	}
}

// Apply implements event.Reducer.
func (s *State) Apply(now time.Time, ev event.Event) []event.Effect {
	s.now, s.effects = now, nil
	switch ev := ev.(type) {
	case Arrive:
		s.arrive(ev)
	case Begun:
		s.begun(ev)
	case Ended:
		s.ended(ev)
	case Gone:
		s.gone(ev)
	case Members:
		s.members(ev)
	case Reported:
		s.reported(ev)
	case Renamed:
		s.renamed(ev)
	case AgentLost:
		s.agentLost(ev)
	case Adopted:
		s.table = ev.Table
	case Leaving:
		s.stopping(ev)
	case Configured:
		s.cfg, s.budget.cfg = ev.Settings, ev.Settings
	case event.Tick:
		s.tick()
	}
	s.spread()
	s.follow()
	s.askAgents()
	return s.effects
}

func (s *State) emit(eff event.Effect) { s.effects = append(s.effects, eff) }

func (s *State) count(name string) { s.emit(event.Count{Name: "relay." + name, N: 1}) }

func (s *State) arrive(ev Arrive) {
	r := &request{Request: ev.Request, id: ev.ID, arrivedAt: s.now}
	s.requests[ev.ID] = r
	s.budget.request(s.now, r.Service)
	if r.Item.Model != "" {
		s.countTraffic(r)
	}
	s.place(r)
}

// place sends a request, has it wait, or answers it.
func (s *State) place(r *request) {
	if !s.now.Before(r.Deadline) {
		s.expire(r)
		return
	}
	if s.timeIsOver() || s.beginsTooLate(r) {
		s.refuse(r, Stopping, s.now)
		return
	}
	if r.Item.Model != "" && s.unknownModel(r) {
		s.refuse(r, NoModel, s.now.Add(retryUnknown))
		return
	}
	if !s.now.Before(r.notBefore) {
		if e, basis := s.choose(r); e != nil {
			s.send(r, e, basis)
			return
		}
		if r.Item.Model == "" || r.shed {
			s.forgive(r)
		}
	}
	s.wait(r)
}

// forgive lets a request try endpoints again that turned it away, after a pause.
func (s *State) forgive(r *request) {
	if len(r.avoid) == 0 {
		return
	}
	r.avoid = nil
	r.notBefore = s.now.Add(retryPause)
	s.emitWake(r.notBefore)
}

// unknownModel says whether the service's engine can't load what the request
// asks for.
func (s *State) unknownModel(r *request) bool {
	engine := s.table.Engine(r.Service)
	if engine == nil {
		return false
	}
	_, ok := engine.Models[r.Item.Model]
	return !ok
}

func (s *State) send(r *request, e *endpoint, basis Basis) {
	s.unwait(r)
	r.at, r.began, r.sentAt = e, false, s.now
	r.tries++
	e.add(r)
	if r.tries > 1 {
		s.budget.repeat(s.now, r.Service)
	}
	s.prompts.sent(r, e.Instance)
	firstBy, maxGap := s.patience(r, basis)
	s.emit(Send{
		FirstBy: firstBy, MaxGap: maxGap, Once: !r.Route.Idempotent(),
		ID: r.id, Try: r.tries, Instance: e.Instance, Address: e.Address, Deadline: r.Deadline,
		LastEvent: r.LastEvent, Version: r.version, Urgency: r.Route.Priority, Basis: basis,
	})
}

// patience returns when an attempt is given up that has not begun to answer, and
// the longest silence within its answer. Only what may run again and has somewhere
// else to go is given up.
func (s *State) patience(r *request, basis Basis) (time.Time, time.Duration) {
	if !r.Route.Idempotent() || r.ran+1 >= r.Route.MaxAttempts || !s.budget.allows(s.now, r.Service) {
		return time.Time{}, 0
	}
	var firstBy time.Time
	if basis.Candidates > 1 {
		firstBy = s.now.Add(max(firstObjectives*r.Route.Objective, firstLeast))
	}
	var gap time.Duration
	if r.Route.Kind == route.Stream {
		gap = max(silentGaps*r.Route.MaxGap, silentLeast)
	}
	return firstBy, gap
}

func (s *State) begun(ev Begun) {
	r := s.requests[ev.ID]
	if r == nil || r.at == nil || r.began {
		return
	}
	r.began = true
	r.at.begun(r, s.now)
	s.serveWaiting()
}

func (s *State) gone(ev Gone) {
	r := s.requests[ev.ID]
	if r == nil {
		return
	}
	s.leave(r)
	s.drop(r)
}

// leave takes a request off the endpoint of its last attempt.
func (s *State) leave(r *request) {
	if r.at != nil {
		r.at.remove(r)
		r.at = nil
	}
}

// drop forgets a request.
func (s *State) drop(r *request) {
	s.unwait(r)
	delete(s.requests, r.id)
}

func (s *State) refuse(r *request, reason Reason, at time.Time) {
	if r.ran > 0 || r.answering {
		s.fail(r, reason)
		return
	}
	s.drop(r)
	s.emit(Refuse{ID: r.id, Reason: reason, RetryAt: at})
}

func (s *State) fail(r *request, reason Reason) {
	s.drop(r)
	if r.failed && !r.answering {
		s.emit(Deliver{ID: r.id})
		return
	}
	s.emit(Fail{ID: r.id, Reason: reason})
}

// expire answers a request whose deadline has passed.
func (s *State) expire(r *request) {
	if r.ran > 0 {
		s.fail(r, OutOfTime)
		return
	}
	s.refuse(r, OutOfTime, s.now)
}

func (s *State) tick() {
	for _, w := range s.wants {
		s.dropWant(w)
	}
	s.serveWaiting()
}
