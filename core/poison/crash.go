package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// sameCrash is the largest difference between the times of one crash as seen by several
	// routers.
	sameCrash = 5 * time.Second
	// aliveMargin is how much later than its crash an incarnation may seem to have been alive, as routers do
	// not learn of the crash at once.
	aliveMargin = time.Second
)

// crash is a crash with the suspects that all routers have reported.
type crash struct {
	instance string
	at       time.Time
	// aliveAt is the latest Crash.AliveAt of the reports; zero if all are.
	aliveAt  time.Time
	suspects map[Part]Suspect
	// answering reports whether the endpoint had begun to answer any of the requests. Of the
	// parts of prompts, only those of such requests are suspects then, as a part crashes the
	// endpoint that begins to answer it.
	answering bool
}

// compare orders crashes by time and instance.
func (c *crash) compare(o *crash) int {
	return cmp.Or(c.at.Compare(o.at), cmp.Compare(c.instance, o.instance))
}

// isSame reports whether a router reports the same crash: at about the same time, or of an incarnation that was not
// alive after the earlier of the two times. Routers may send requests to one that has ended until they know of its end.
func (c *crash) isSame(o Crash) bool {
	if c.instance != o.Instance {
		return false
	}
	first, aliveAt := c.at, o.AliveAt
	if o.At.Before(first) {
		first, aliveAt = o.At, c.aliveAt
	}
	return c.at.Sub(o.At).Abs() <= sameCrash || !aliveAt.IsZero() && !aliveAt.After(first.Add(aliveMargin))
}

// isTooLate reports whether the request with the suspect was certainly sent after the endpoint had crashed.
func (c *crash) isTooLate(s Suspect) bool { return s.SentAt.After(c.at.Add(sameCrash)) }

// isSuspect reports whether the part may have caused the crash.
func (c *crash) isSuspect(p Part) bool {
	s, ok := c.suspects[p]
	return ok && (s.Answering || s.Whole || !c.answering)
}

// inSameRequest reports whether both parts may have caused the crash and were in one request. Two
// requests that are sent at the same time are taken for one.
func (c *crash) inSameRequest(p, q Part) bool {
	return c.isSuspect(p) && c.isSuspect(q) && c.suspects[p].SentAt.Equal(c.suspects[q].SentAt)
}

// dropUnanswered drops a suspect whose request the endpoint had not begun to answer. It reports false
// if there is none.
func (c *crash) dropUnanswered() bool {
	for _, p := range slices.Sorted(maps.Keys(c.suspects)) {
		if !c.suspects[p].Answering {
			delete(c.suspects, p)
			return true
		}
	}
	return false
}
