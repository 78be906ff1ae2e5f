package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/aging"
)

const (
	// minCrashes is the number of crashes, one after the other, for which a part is convicted.
	// A request that was at two endpoints when they crashed by themselves is not rare on days
	// with many crashes.
	minCrashes = 3
	// crashMemory is how long a crash counts as evidence.
	crashMemory = 2 * time.Minute
	// relapseMemory is how long after the end of a conviction one crash is enough for the next.
	relapseMemory = 24 * time.Hour
	// objectionTime is how long a part is announced as a suspect before it is convicted, so
	// that routers which know an answer to it can object.
	objectionTime = 400 * time.Millisecond
	// reportTime is how long after the last crash that it takes a part is convicted at the earliest, so
	// that the reports of all routers count. One alone may lack the request that caused the crash.
	reportTime = 200 * time.Millisecond
	// herdSpread is the largest difference between the times at which endpoints go down together.
	herdSpread = 150 * time.Millisecond
	// recheckInterval is the longest time between two decisions.
	recheckInterval = time.Second
	// maxCrashes, maxSuspects and maxVerdicts bound the memory of a judge: the number of
	// crashes, of the suspects of one crash, and of verdicts. The oldest ones are dropped.
	maxCrashes  = 64
	maxSuspects = 256
	maxVerdicts = 256
	// maxAnnounced bounds the number of suspects that are announced.
	maxAnnounced = 256
)

// Judge convicts the parts that crash endpoints. It is not safe for concurrent use.
type Judge struct {
	// crashes are the crashes within crashMemory, sorted by time and instance.
	crashes []*crash
	// answeredAt has the time of the last known answer by part. Crashes from before it are no
	// evidence against the part.
	answeredAt *aging.Map[Part, time.Time]
	// announcedAt has the time since which each suspect is announced.
	announcedAt map[Part]time.Time
	verdicts    map[Part]Verdict
	// changed reports whether there is new evidence or a new verdict since the last decision. Without one, the
	// next decision is due at nextAt or, as evidence and verdicts expire, at recheckAt.
	changed           bool
	nextAt, recheckAt time.Time
}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge {
	return &Judge{
		answeredAt: aging.New[Part, time.Time](maxAnswered), announcedAt: make(map[Part]time.Time), verdicts: make(map[Part]Verdict),
	}
}

// AddCrash adds a router's report of a crash to the evidence.
func (j *Judge) AddCrash(c Crash) {
	j.changed = true
	known := j.crashOf(c)
	for _, s := range c.Suspects {
		if known.isTooLate(s) {
			continue
		}
		old, ok := known.suspects[s.Part]
		if !ok && len(known.suspects) >= maxSuspects && (!s.Answering || !known.dropUnanswered()) {
			continue
		}
		s.Answering, s.Whole, s.Depth = s.Answering || old.Answering, s.Whole || old.Whole, max(s.Depth, old.Depth)
		if old.SentAt.After(s.SentAt) {
			s.SentAt = old.SentAt
		}
		known.suspects[s.Part] = s
		known.answering = known.answering || s.Answering
	}
}

// crashOf returns the crash that a router has reported, adding it if it is new.
func (j *Judge) crashOf(c Crash) *crash {
	for _, known := range j.crashes {
		if !known.isSame(c) {
			continue
		}
		if c.AliveAt.After(known.aliveAt) {
			known.aliveAt = c.AliveAt
		}
		if c.At.Before(known.at) {
			known.at = c.At
			maps.DeleteFunc(known.suspects, func(_ Part, s Suspect) bool { return known.isTooLate(s) })
			slices.SortFunc(j.crashes, (*crash).compare)
		}
		return known
	}
	if len(j.crashes) >= maxCrashes {
		j.crashes = slices.Delete(j.crashes, 0, 1)
	}
	added := &crash{instance: c.Instance, at: c.At, aliveAt: c.AliveAt, suspects: make(map[Part]Suspect)}
	i, _ := slices.BinarySearchFunc(j.crashes, added, (*crash).compare)
	j.crashes = slices.Insert(j.crashes, i, added)
	return added
}

// Clear drops the evidence against parts whose requests an endpoint has answered, and lifts
// their convictions.
func (j *Judge) Clear(now time.Time, parts []Part) {
	j.changed = true
	for _, p := range parts {
		j.answeredAt.Put(p, now)
		delete(j.announcedAt, p)
		if v, ok := j.verdicts[p]; ok && !v.Lifted {
			j.verdicts[p] = Verdict{Part: p, DecidedAt: now, Lifted: true}
		}
	}
}

// AddVerdict adopts a verdict of another judge.
func (j *Judge) AddVerdict(v Verdict) {
	if old, ok := j.verdicts[v.Part]; !ok || v.Supersedes(old) {
		j.setVerdict(v)
	}
}

// setVerdict sets a verdict. If there are too many, the oldest one is dropped.
func (j *Judge) setVerdict(v Verdict) {
	j.changed = true
	j.verdicts[v.Part] = v
	if len(j.verdicts) > maxVerdicts {
		oldest := slices.MinFunc(slices.Collect(maps.Values(j.verdicts)), func(a, b Verdict) int {
			return cmp.Or(a.DecidedAt.Compare(b.DecidedAt), cmp.Compare(a.Part, b.Part))
		})
		delete(j.verdicts, oldest.Part)
	}
}

// Decide forgets old evidence, announces the suspects and convicts those to which no router
// has objected. It returns the new convictions, and the time at which it must be called again;
// zero if there is none.
func (j *Judge) Decide(now time.Time) (convicted []Verdict, next time.Time) {
	if !j.changed && now.Before(j.recheckAt) && (j.nextAt.IsZero() || now.Before(j.nextAt)) {
		return nil, j.nextAt
	}
	j.forget(now)
	counts := j.crashCounts(now)
	j.announce(now, counts)
	for {
		p, at := j.nextConviction(now, counts)
		if at.IsZero() || now.Before(at) {
			j.changed, j.nextAt, j.recheckAt = len(convicted) > 0, at, now.Add(recheckInterval)
			return convicted, at
		}
		v := Verdict{Part: p, DecidedAt: j.decisionTime(now, p), CrashCount: counts[p].all}
		j.liftExplainedBy(now, p)
		j.setVerdict(v)
		convicted = append(convicted, v)
		counts = j.crashCounts(now)
	}
}

// forget drops evidence and verdicts that no longer count.
func (j *Judge) forget(now time.Time) {
	j.crashes = slices.DeleteFunc(j.crashes, func(c *crash) bool { return now.After(c.at.Add(crashMemory)) })
	maps.DeleteFunc(j.verdicts, func(_ Part, v Verdict) bool {
		if v.Lifted {
			return now.After(v.ExpiresAt())
		}
		return now.After(v.ExpiresAt().Add(relapseMemory))
	})
}

// decisionTime returns the time of a conviction that is decided now: later if the part was acquitted
// so lately that processes would not take the conviction for the newer verdict.
func (j *Judge) decisionTime(now time.Time, p Part) time.Time {
	v, ok := j.verdicts[p]
	if earliest := v.DecidedAt.Add(sameDecision + time.Millisecond); ok && v.Lifted && now.Before(earliest) {
		return earliest
	}
	return now
}

// nextConviction returns the part that is to be convicted next, and the earliest time of that;
// zero if there is none.
func (j *Judge) nextConviction(now time.Time, counts map[Part]crashCount) (Part, time.Time) {
	var candidates []Part
	for p := range j.announcedAt {
		if n := counts[p]; n.all > 0 && !j.verdicts[p].InForce(now) && j.crashesMissing(p, n) <= 0 {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return 0, time.Time{}
	}
	p := slices.MinFunc(candidates, byCrashes(counts))
	at, settled := j.announcedAt[p].Add(objectionTime), counts[p].enoughAt.Add(reportTime)
	if settled.After(at) {
		at = settled
	}
	return p, at
}

// liftExplainedBy lifts the convictions of parts that were in at most one crash without a part, in the
// same request, that is now to be convicted.
func (j *Judge) liftExplainedBy(now time.Time, p Part) {
	for q, v := range j.verdicts {
		if !v.InForce(now) {
			continue
		}
		crashes := lo.Filter(j.crashes, func(c *crash, _ int) bool { return c.isSuspect(q) })
		unexplained := lo.CountBy(crashes, func(c *crash) bool { return !c.inSameRequest(p, q) || j.isUsedUp(p, c.at) })
		if len(crashes) >= minCrashes && unexplained <= 1 {
			j.verdicts[q] = Verdict{Part: q, DecidedAt: now, Lifted: true}
		}
	}
}

// crashCount is the number of a suspect's crashes one after the other.
type crashCount struct {
	// all is the number of all crashes, unexplained of those in which no convicted part was.
	all, unexplained int
	// lastAt is the time of the last one, enoughAt that of the one with which there were enough to convict
	// the part; zero if there are fewer.
	lastAt, enoughAt time.Time
	// depth is the greatest depth of the part in its prompts.
	depth int
}

// crashesMissing returns the number of further crashes after which a part is convicted. Crashes
// of a convicted part count little for others, but if crashes go on without that part, the one
// that all of them have in common is likely to be the cause.
func (j *Judge) crashesMissing(p Part, n crashCount) int {
	if v, ok := j.verdicts[p]; ok && !v.Lifted {
		return 1 - n.unexplained
	}
	if n.all > n.unexplained {
		return max(minCrashes-1-n.unexplained, minCrashes+1-n.all)
	}
	return minCrashes - n.unexplained
}

// crashCounts returns for each suspect the number of its crashes one after the other: a crash
// counts only if a request with the part was sent after the one before, and herdSpread after it.
// Endpoints that go down together count as one crash (inHerd). That a whole request is sent again to an endpoint
// that is about to go down with the others is rare, while one that crashes endpoints is repeated within
// milliseconds: for it, herdSpread does not apply.
func (j *Judge) crashCounts(now time.Time) map[Part]crashCount {
	counts := make(map[Part]crashCount)
	for _, c := range j.crashes {
		explained := j.isExplained(c, now)
		for p, s := range c.suspects {
			n := counts[p]
			isNext := n.all == 0 || s.SentAt.After(n.lastAt) && (s.Whole || !j.inHerd(p, n.lastAt, c))
			if !isNext || !c.isSuspect(p) || j.isUsedUp(p, c.at) {
				continue
			}
			n.all++
			if !explained {
				n.unexplained++
			}
			n.lastAt, n.depth = c.at, max(n.depth, s.Depth)
			if n.enoughAt.IsZero() && j.crashesMissing(p, n) <= 0 {
				n.enoughAt = c.at
			}
			counts[p] = n
		}
	}
	return counts
}

// inHerd reports whether a crash may be one of endpoints that went down together with the one at lastAt, so that the part
// p need not have caused both: they are at most herdSpread apart, and the endpoint had not begun to answer a
// request with p, or one that had none went down beside them.
func (j *Judge) inHerd(p Part, lastAt time.Time, c *crash) bool {
	if c.at.After(lastAt.Add(herdSpread)) {
		return false
	}
	return !c.suspects[p].Answering || slices.ContainsFunc(j.crashes, func(o *crash) bool {
		beside := !o.at.Before(lastAt.Add(-herdSpread)) && !o.at.After(c.at.Add(herdSpread))
		return beside && !o.suspects[p].Answering
	})
}

// isExplained reports whether a convicted part was in the crash.
func (j *Judge) isExplained(c *crash, now time.Time) bool {
	for p := range c.suspects {
		if j.verdicts[p].InForce(now) && c.isSuspect(p) {
			return true
		}
	}
	return false
}

// isUsedUp reports whether a crash at the given time is no evidence against the part any more,
// because the part has been answered or there has been a verdict on it since.
func (j *Judge) isUsedUp(p Part, at time.Time) bool {
	if answeredAt, ok := j.answeredAt.Get(p); ok && !answeredAt.Before(at) {
		return true
	}
	v, ok := j.verdicts[p]
	return ok && v.DecidedAt.After(at)
}

// announce updates the announced suspects: those that one more crash would convict, or that are
// to be convicted. If there are too many, those are announced that come first in this.
func (j *Judge) announce(now time.Time, counts map[Part]crashCount) {
	var parts []Part
	for p, n := range counts {
		if n.unexplained > 0 && j.crashesMissing(p, n) <= 1 {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, byCrashes(counts))
	before := j.announcedAt
	j.announcedAt = make(map[Part]time.Time)
	for _, p := range parts[:min(len(parts), maxAnnounced)] {
		at, ok := before[p]
		if !ok {
			at = now
		}
		j.announcedAt[p] = at
	}
}

// byCrashes returns the order in which suspects are convicted. If several parts were in the same
// crashes, the one that is deepest in its prompts comes first: it has fewer prompts than the parts
// before it, and if one of these is the cause, crashes go on without the convicted part.
func byCrashes(counts map[Part]crashCount) func(a, b Part) int {
	return func(a, b Part) int {
		m, n := counts[a], counts[b]
		return cmp.Or(cmp.Compare(n.all, m.all), cmp.Compare(n.depth, m.depth), cmp.Compare(a, b))
	}
}

// Suspects returns the announced suspects without those that are convicted, sorted.
func (j *Judge) Suspects(now time.Time) []Part {
	var list []Part
	for p := range j.announcedAt {
		if !j.verdicts[p].InForce(now) {
			list = append(list, p)
		}
	}
	slices.Sort(list)
	return list
}

// Verdicts returns the verdicts that have not expired, sorted by part.
func (j *Judge) Verdicts(now time.Time) []Verdict {
	var list []Verdict
	for _, v := range j.verdicts {
		if now.Before(v.ExpiresAt()) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return cmp.Compare(a.Part, b.Part) })
	return list
}
