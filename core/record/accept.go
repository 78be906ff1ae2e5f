package record

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"chervilreach/core/fleet"
)

// Limits of one batch, which is what one call of Accept accepts. The records
// that are left over are accepted by the next call.
const (
	// maxBatchObjects keeps a batch within one transaction of the key-value
	// service: each object needs two writes there, its value and its status.
	maxBatchObjects = 50
	// maxBatchBytes limits the total size of the values of a batch. The batch
	// ends with the record that reaches the limit.
	maxBatchBytes = 512 << 10
)

// Verdict is the result of validating a raw record.
type Verdict string

// The verdicts.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictRejected Verdict = "rejected"
)

// Status is the result of validating a raw record, as reported to operators.
type Status struct {
	Key
	Verdict Verdict `json:"verdict"`
	// RawRevision is the revision of the raw record that was validated; Schema is the
	// schema version that it is written in.
	RawRevision fleet.Revision `json:"raw-revision"`
	Schema      int            `json:"schema"`
	// AcceptedRevision is the accepted revision since which the record is in effect. If
	// the record was rejected, it is the one since which the older accepted record
	// is in effect, or 0 if there is none.
	AcceptedRevision fleet.Revision `json:"accepted-revision"`
	// ValidatedAgainst is the accepted revision that the record was validated against.
	// The program that stores the status sets it; Accept leaves it 0.
	ValidatedAgainst fleet.Revision `json:"judged-revision,omitempty"`
	Problems         []Problem      `json:"problems,omitempty"`
}

// Replaces reports whether s should overwrite the earlier status before of the
// same record. A status of a newer raw record does, one of an older does not.
// For the same raw record, an accepted verdict overwrites a rejected one. If the
// verdicts are equal, s must differ in its accepted revision or its problems and
// have a later ValidatedAgainst: programs of different versions may word the
// problems of a record differently and would otherwise overwrite each other's
// status endlessly.
func (s Status) Replaces(before Status) bool {
	if s.RawRevision != before.RawRevision {
		return s.RawRevision > before.RawRevision
	}
	if s.Verdict != before.Verdict {
		return s.Verdict == VerdictAccepted
	}
	differs := s.AcceptedRevision != before.AcceptedRevision || !slices.Equal(s.Problems, before.Problems)
	return differs && s.ValidatedAgainst > before.ValidatedAgainst
}

// Accept validates the raw records that are newer than the accepted ones. It
// returns the next state, or prev itself if no record was accepted, and the
// statuses of the records. An invalid record, or one that conflicts with other
// records, is rejected and the older accepted record stays in effect.
//
// Records are tried in the order of their revisions, and the failed ones again
// as long as others were accepted, so the result depends only on prev and the
// set of records, not on their order in raws. Of two conflicting records the one
// with the lower revision is accepted, unless the other one is accepted already.
//
// One call accepts a batch of limited size. It returns statuses of rejected
// records only if the batch was not filled up. Call Accept until it returns prev.
func Accept(prev *State, raws []Raw) (*State, []Status) {
	b := batch{next: prev, conflicts: prev.crossCheck(), revision: prev.Revision() + 1}
	queue := pending(prev, raws)
	for progress := true; progress && !b.full(); {
		before := len(queue)
		queue = slices.DeleteFunc(queue, func(r Raw) bool { return !b.full() && b.tryAccept(r) })
		progress = len(queue) < before
	}
	if !b.full() {
		for _, r := range queue {
			b.reject(r)
		}
	}
	return b.next, b.statuses
}

// AcceptAll calls Accept until no further record is accepted. It returns the
// final state and the statuses of all calls; if a record has several statuses,
// its last one counts. It is meant for tools and tests, which don't have to
// store each batch.
func AcceptAll(prev *State, raws []Raw) (*State, []Status) {
	var all []Status
	for {
		next, statuses := Accept(prev, raws)
		all = append(all, statuses...)
		if next == prev {
			return next, all
		}
		prev = next
	}
}

// pending returns the records that are newer than the accepted ones, ordered by
// revision, then by key. Only the newest record of each key is returned, and
// none for a key whose accepted record has a schema version newer than
// schemaNewest.
func pending(prev *State, raws []Raw) []Raw {
	latest := make(map[Key]Raw, len(raws))
	for _, r := range raws {
		if known, ok := latest[r.Key]; !ok || r.Revision > known.Revision {
			latest[r.Key] = r
		}
	}
	queue := make([]Raw, 0, len(latest))
	for key, r := range latest {
		accepted, ok := prev.Object(key)
		if (!ok || r.Revision > accepted.RawRevision) && !accepted.newerSchema() {
			queue = append(queue, r)
		}
	}
	slices.SortFunc(queue, func(a, b Raw) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), a.Compare(b.Key))
	})
	return queue
}

// batch holds the progress of one call of Accept.
type batch struct {
	// next is the state with all records accepted so far.
	next *State
	// conflicts are the conflicts that exist in next. There may be some although
	// conflicting records are rejected: a newer program may have accepted them.
	conflicts []conflict
	// revision is the accepted revision that next gets if a record is accepted.
	revision fleet.Revision
	// objects and bytes count the accepted records and the size of their values.
	objects  int
	bytes    int
	statuses []Status
}

// full reports whether a limit of the batch is reached, so that the remaining
// records have to wait for the next call of Accept.
func (b *batch) full() bool {
	return b.objects >= maxBatchObjects || b.bytes >= maxBatchBytes
}

// tryAccept accepts a record if it is valid and adds no conflict to the state.
// It reports whether the record was accepted.
func (b *batch) tryAccept(r Raw) bool {
	candidate, conflicts, problems := b.candidate(r)
	if len(problems) > 0 {
		return false
	}
	b.next, b.conflicts = candidate, conflicts
	accepted, _ := candidate.Object(r.Key)
	b.objects++
	b.bytes += len(accepted.Value)
	b.statuses = append(b.statuses, Status{
		Key: r.Key, Verdict: VerdictAccepted, RawRevision: r.Revision, Schema: r.Schema, AcceptedRevision: b.revision,
	})
	return true
}

// reject adds a rejected status with the problems of the record.
func (b *batch) reject(r Raw) {
	_, _, problems := b.candidate(r)
	for i := range problems {
		problems[i] = r.locate(problems[i])
	}
	current, _ := b.next.Object(r.Key)
	b.statuses = append(b.statuses, Status{
		Key: r.Key, Verdict: VerdictRejected, RawRevision: r.Revision, Schema: r.Schema,
		AcceptedRevision: current.AcceptedRevision, Problems: problems,
	})
}

// candidate returns the state that results from accepting the record, all
// conflicts in that state, and the problems that prevent the record from being
// accepted. The state and the conflicts are nil if the record alone is invalid.
func (b *batch) candidate(r Raw) (*State, []conflict, []Problem) {
	before, _ := b.next.Object(r.Key)
	rec, problems := r.normalize(before.normalized)
	if len(problems) > 0 {
		return nil, nil, problems
	}
	o := Object{Key: r.Key, RawRevision: r.Revision, WrittenSchema: r.Schema, AcceptedRevision: b.revision, Deleted: r.Deleted}
	if !r.Deleted {
		value, err := json.Marshal(rec)
		if err != nil {
			return nil, nil, []Problem{{Code: CodeBadValue, Cause: err.Error()}}
		}
		if len(value) > MaxRecordBytes {
			return nil, nil, []Problem{badValue("", fmt.Sprintf("takes %d bytes", len(value)), fmt.Sprintf("at most %d", MaxRecordBytes))}
		}
		o.Value, o.normalized = value, rec
	}
	candidate := b.next.withObjects(b.revision, []Object{o})
	conflicts := candidate.crossCheck()
	return candidate, conflicts, conflictProblems(newConflicts(b.conflicts, conflicts), r)
}

// newConflicts returns the conflicts in after that are not in before.
func newConflicts(before, after []conflict) []conflict {
	return slices.DeleteFunc(slices.Clone(after), func(c conflict) bool { return slices.Contains(before, c) })
}

// conflictProblems converts the conflicts that accepting r would cause to
// problems of r. For a conflict found at another record, which refers to r, the
// problem names that record.
func conflictProblems(conflicts []conflict, r Raw) []Problem {
	var problems []Problem
	for _, c := range conflicts {
		p := c.Problem
		if c.key != r.Key {
			p = Problem{Code: CodeConflict, Cause: "contradicts " + c.key.String() + ", whose " + c.String()}
		}
		problems = append(problems, p)
	}
	return problems
}

// WithNewestRevision returns copies of the records with the highest possible
// revision, so that Accept treats the records of a file as if they were being
// written now, after all stored ones.
func WithNewestRevision(raws []Raw) []Raw {
	out := slices.Clone(raws)
	for i := range out {
		out[i].Revision = math.MaxInt64
	}
	return out
}
