// Package quota divides the rate limit that an endpoint names among the routers that send
// requests to it. One agent, the limit's granter, keeps a Schedule for the endpoint and grants
// each router a permit for one request at a time, so that the number of routers need not be
// known.
package quota

import "time"

const (
	// Lifetime is the time after its start in which a permit may be used. A permit that is not
	// used in time is lost, so that a router that was held up never sends a backlog.
	Lifetime = 300 * time.Millisecond
	// horizon and minAhead are the longest time for which permits are granted in advance: horizon,
	// or the time of minAhead permits if that is longer. They bound what two granters can grant
	// for the same time when one takes over from the other.
	horizon  = time.Second
	minAhead = 2
	// patientPart is the part of that time for requests that are not urgent. The rest is kept for
	// urgent ones while all routers ask for more than the limit.
	patientPart = 0.5
	// maxUrgentInRow is the number of successive permits for urgent requests after which others
	// are treated alike, so that they are not starved.
	maxUrgentInRow = 3
	// burst is the number of permits that start at once after an idle period.
	burst = 2
	// FallbackPart is the part of the limit that is used by routers that do not reach the granter
	// that comes first. Others may reach it and use the whole limit.
	FallbackPart = 1.0 / 3
	// minPerSecond is the lowest rate that is used. An endpoint that gets no requests can't end
	// its limit.
	minPerSecond = 0.1
)

// Schedule assigns start times to the requests that all routers together send to one endpoint.
// The zero value is ready for use. It is not safe for concurrent use.
type Schedule struct {
	// next is the start of the next permit if the endpoint is not idle.
	next time.Time
	// urgentInRow is the number of successive permits for urgent requests.
	urgentInRow int
}

// Ask describes the request that a permit is asked for.
type Ask struct {
	// PerSecond is the endpoint's limit as known to the asker.
	PerSecond float64
	// Urgent reports whether the request has the highest priority.
	Urgent bool
	// Fallback reports whether the asker does not reach the granter that comes first.
	Fallback bool
	// Latest is the latest start that is of use.
	Latest time.Time
	// NotBefore is the latest start of the next permit that the asker has learnt from any
	// granter. It tells a granter that takes over how far its predecessor has granted permits.
	NotBefore time.Time
}

// Reserve grants a permit and returns its start. If the next possible start is too late, it
// grants none and returns that start and false.
func (s *Schedule) Reserve(now time.Time, ask Ask) (time.Time, bool) {
	interval := intervalOf(ask.PerSecond)
	if ask.Fallback {
		interval = time.Duration(float64(interval) / FallbackPart)
	}
	s.next = later(s.next, now.Add(-(burst-1)*interval))
	advance := advanceOf(interval)
	s.next = later(s.next, earlier(ask.NotBefore, now.Add(advance+interval)))
	start := later(s.next, now)
	if !ask.Urgent && s.urgentInRow < maxUrgentInRow {
		advance = time.Duration(patientPart * float64(advance))
	}
	if start.After(ask.Latest) || start.After(now.Add(advance)) {
		return start, false
	}
	s.next = s.next.Add(interval)
	s.urgentInRow++
	if !ask.Urgent {
		s.urgentInRow = 0
	}
	return start, true
}

// Share is one router's part of a limit, for times in which it reaches no granter. The zero value
// is ready for use. It is not safe for concurrent use.
type Share struct {
	// next is the start of the next permit.
	next time.Time
}

// Reserve returns the start of the next permit and whether that is now. interval is the time
// between two permits. phase, from 0 to 1, differs between routers: after an idle period, the
// next permit starts that part of an interval later, so that not all routers send at once.
func (s *Share) Reserve(now time.Time, interval time.Duration, phase float64) (time.Time, bool) {
	if s.next.Add(interval).Before(now) {
		s.next = now.Add(time.Duration(phase * float64(interval)))
	}
	if now.Before(s.next) {
		return s.next, false
	}
	s.next = now.Add(interval)
	return now, true
}

// Next returns the start of the next permit after one that starts at start.
func Next(start time.Time, perSecond float64) time.Time { return start.Add(intervalOf(perSecond)) }

// AskAt returns the time from which a permit with the given start is granted, to requests that are
// not urgent.
func AskAt(start time.Time, perSecond float64) time.Time {
	return start.Add(-time.Duration(patientPart * float64(advanceOf(intervalOf(perSecond)))))
}

// ShareInterval returns the time between two permits of one router's Share of a limit if
// routerCount routers use FallbackPart of the limit together.
func ShareInterval(perSecond float64, routerCount int) time.Duration {
	return time.Duration(float64(intervalOf(perSecond)) * float64(max(routerCount, 1)) / FallbackPart)
}

// intervalOf returns the time between two permits at a rate in requests per second.
func intervalOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minPerSecond))
}

// advanceOf returns the longest time for which permits are granted in advance.
func advanceOf(interval time.Duration) time.Duration { return max(horizon, minAhead*interval) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
