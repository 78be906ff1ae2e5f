// Package poison finds the prompt parts that crash the endpoints which process them, and keeps
// the verdicts on them.
//
// Routers report the crashes of endpoints with the parts of the requests that were there and
// had no answer. A Judge, which runs in an agent, combines these reports: it convicts a part
// that was there in several crashes one after the other and was never answered anywhere.
// Routers refuse requests with a convicted part.
//
// Terms of this package:
//   - A part is a section of a prompt that the prompts of other requests may contain too,
//     identified by the hash of its ID. A whole request counts as a part too, the one that only
//     its repeats contain.
//   - A suspect is a part that was in an unanswered request at an endpoint when it crashed.
//   - A verdict convicts a part, or lifts an earlier conviction.
package poison

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// verdictDuration is how long a part stays convicted. Requests that are sent after that
	// show whether it still crashes endpoints.
	verdictDuration = time.Hour
	// liftedDuration is how long a lifted verdict is remembered, so that processes which still
	// have the conviction don't bring it back.
	liftedDuration = 10 * time.Minute
)

// ErrBadPart means that a text does not identify a part.
var ErrBadPart = errors.New("part is not 16 hexadecimal digits")

// ErrNotConvicted means that a part is not convicted, as far as the process knows.
var ErrNotConvicted = errors.New("part is not convicted")

// Part identifies a part of a prompt, or a whole request.
type Part uint64

// PartOf returns the part with the given ID in the prompts of a service. IDs are chosen by callers,
// so that they may be long.
func PartOf(service, id string) Part { return Part(xxhash.Sum64String(service + "\x00" + id)) }

// String returns the part as 16 hexadecimal digits.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// partDigits is the number of digits of a part as text.
const partDigits = 16

// ParsePart returns the part whose String is text. Otherwise it returns an error that wraps
// ErrBadPart.
func ParsePart(text string) (Part, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != partDigits {
		return 0, fmt.Errorf("%w: %q", ErrBadPart, text)
	}
	return Part(n), nil
}

// Suspect is a part in an unanswered request at an endpoint that crashed.
type Suspect struct {
	Part Part
	// SentAt is the time at which the request was sent to the endpoint. If several requests had
	// the part, it is that of the last one.
	SentAt time.Time
	// Depth is the number of parts before it in the prompt.
	Depth int
	// Answering reports whether the endpoint had begun to answer the request.
	Answering bool
	// Whole reports whether the part is a whole request. It may crash endpoints before they begin
	// to answer.
	Whole bool
}

// Crash is the crash of an endpoint as one router knows it.
type Crash struct {
	// Instance is the endpoint's instance, which ended with the crash.
	Instance string
	At       time.Time
	// AliveAt is the last time at which the router knew the incarnation alive. Two crashes of an instance that was not
	// alive in between are one. It is zero if that is not known, or if the next incarnation may have the same name.
	AliveAt  time.Time
	Suspects []Suspect
}

// Verdict convicts a part or lifts its conviction.
type Verdict struct {
	Part Part
	// DecidedAt is the time of the decision. The latest verdict on a part counts.
	DecidedAt time.Time
	// CrashCount is the number of crashes on which a conviction is based.
	CrashCount int
	// Lifted reports whether the part is acquitted.
	Lifted bool
}

// ExpiresAt returns the end of a conviction, or the time until which a lifted verdict is
// remembered.
func (v Verdict) ExpiresAt() time.Time {
	if v.Lifted {
		return v.DecidedAt.Add(liftedDuration)
	}
	return v.DecidedAt.Add(verdictDuration)
}

// InForce reports whether requests with the part must be refused.
func (v Verdict) InForce(now time.Time) bool {
	return !v.DecidedAt.IsZero() && !v.Lifted && now.Before(v.ExpiresAt())
}

// InForceAt returns the convictions among the verdicts that are in force at the time now, sorted by
// part.
func InForceAt(now time.Time, verdicts []Verdict) []Verdict {
	var list []Verdict
	for _, v := range verdicts {
		if v.InForce(now) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

// Includes reports whether one of the verdicts is on the part.
func Includes(verdicts []Verdict, p Part) bool {
	return slices.ContainsFunc(verdicts, func(v Verdict) bool { return v.Part == p })
}

// sameDecision is the largest difference between the times of one decision as known to several
// processes, which learn it as an age.
const sameDecision = 5 * time.Second

// Supersedes reports whether v replaces old as the verdict on the same part: the later one does, and
// a lifted one if the other is about as late.
func (v Verdict) Supersedes(old Verdict) bool {
	if v.Lifted && !old.Lifted {
		return v.DecidedAt.After(old.DecidedAt.Add(-sameDecision))
	}
	return v.DecidedAt.After(old.DecidedAt.Add(sameDecision))
}

// Equal reports whether v and o are the same decision.
func (v Verdict) Equal(o Verdict) bool {
	return v.Part == o.Part && v.Lifted == o.Lifted && v.DecidedAt.Sub(o.DecidedAt).Abs() <= sameDecision
}
