package accept

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/etcd"
)

// Limits of writes by operators.
const (
	// maxWriteRecords is the largest number of records in one transaction.
	maxWriteRecords = 100
	// maxWriteIDs is the number of write IDs in the RawHead. A writer that got no answer
	// finds its ID there, unless as many other writes were applied since.
	maxWriteIDs = 16
	// maxWriteAttempts limits the attempts of a write whose answers are lost or that
	// conflicts with other writes of the head.
	maxWriteAttempts = 8
)

// ErrChanged means that another operator has changed a record since it was read.
var ErrChanged = errors.New("record changed since it was read")

// RawHead is the JSON value of RawHeadKey. Every write of raw records updates it, so that
// concurrent writes conflict.
type RawHead struct {
	// WriteIDs contains the IDs of the last writes, the newest first.
	WriteIDs []string `json:"write-ids"`
}

// Edit is one record to write.
type Edit struct {
	Key record.Key
	// Before is the stored text that After replaces; it is nil if there is none.
	Before []byte
	// After is the text to store.
	After []byte
	// baseRevision is the revision of the stored text; 0 if there is none.
	baseRevision fleet.Revision
}

// Plan is a validated change of records that is not written yet.
type Plan struct {
	// Edits contains the records whose text differs from the stored text.
	Edits []Edit
	// UnchangedCount is the number of records whose text equals the stored text.
	UnchangedCount int
}

// RecordStore reads and writes records in the key-value service on behalf of operators. It is
// safe for concurrent use if the KV is.
type RecordStore struct {
	kv    KV
	newID func() string
}

// NewRecordStore returns a record store that uses the key-value service.
func NewRecordStore(kv KV) *RecordStore {
	return &RecordStore{kv: kv, newID: rand.Text}
}

// Contents contains all records in the service, with their statuses.
type Contents struct {
	Raws     []record.Raw
	State    *record.State
	Statuses []record.Status
}

// Read reads all records. It makes several calls, so their results may be of different
// revisions. Statuses that can't be decoded are left out.
func (s *RecordStore) Read(ctx context.Context) (Contents, error) {
	var c Contents
	accepted, _, err := s.kv.List(ctx, PrefixAccepted)
	if err != nil {
		return c, err
	}
	if c.State, err = DecodeState(accepted); err != nil {
		return c, err
	}
	raws, _, err := s.kv.List(ctx, PrefixRaw)
	if err != nil {
		return c, err
	}
	for _, e := range raws {
		if key, ok := RecordKey(PrefixRaw, e.Key); ok {
			c.Raws = append(c.Raws, record.ParseStored(key, e.Value, e.Revision))
		}
	}
	statuses, _, err := s.kv.List(ctx, PrefixStatus)
	if err != nil {
		return c, err
	}
	for _, e := range statuses {
		if status, err := DecodeStatus(e.Value); err == nil {
			c.Statuses = append(c.Statuses, status)
		}
	}
	return c, nil
}

// Prepare validates the records against the stored ones and returns the plan to write
// them. The error joins a *record.Error for each problem, including those that
// acceptance would report.
func (s *RecordStore) Prepare(ctx context.Context, written []record.Raw) (Plan, error) {
	c, err := s.Read(ctx)
	if err != nil {
		return Plan{}, err
	}
	stored := make(map[record.Key]record.Raw, len(c.Raws))
	for _, r := range c.Raws {
		stored[r.Key] = r
	}
	var plan Plan
	var errs []error
	for _, w := range written {
		before := stored[w.Key]
		after, problems := record.Merge(w, before, c.State)
		for _, p := range problems {
			errs = append(errs, w.ProblemError(p))
		}
		if bytes.Equal(after, before.Text) {
			plan.UnchangedCount++
			continue
		}
		plan.Edits = append(plan.Edits, Edit{Key: w.Key, Before: before.Text, After: after, baseRevision: before.Revision})
	}
	if len(errs) == 0 {
		errs = dryRun(c, written)
	}
	return plan, errors.Join(errs...)
}

// dryRun returns the problems for which the records would be rejected if they were
// written now.
func dryRun(c Contents, written []record.Raw) []error {
	asWritten := record.WithNewestRevision(written)
	all := slices.Concat(c.Raws, asWritten)
	_, statuses := record.AcceptAll(c.State, all)
	var errs []error
	for _, status := range statuses {
		i := slices.IndexFunc(written, func(r record.Raw) bool { return r.Key == status.Key })
		if i < 0 || status.Verdict != record.VerdictRejected {
			continue
		}
		for _, p := range status.Problems {
			errs = append(errs, written[i].ProblemError(p))
		}
	}
	return errs
}

// Write writes the edits of a plan, in several transactions if there are more than
// maxWriteRecords, and returns the revision of the last one. On an error the earlier
// transactions stay applied. ErrChanged means that another operator has changed a record
// since the plan was made, etcd.ErrOutcomeUnknown that the write may or may not have
// been applied.
func (s *RecordStore) Write(ctx context.Context, plan Plan) (fleet.Revision, error) {
	var at fleet.Revision
	for part := range slices.Chunk(plan.Edits, maxWriteRecords) {
		var err error
		if at, err = s.writePart(ctx, part); err != nil {
			return at, err
		}
	}
	return at, nil
}

// writePart writes the edits in one transaction. It repeats the write until it is
// applied, up to maxWriteAttempts times. All attempts expect the same revisions of the
// records, so at most one of them is applied, even if one takes effect late.
func (s *RecordStore) writePart(ctx context.Context, edits []Edit) (fleet.Revision, error) {
	id := s.newID()
	var last error
	unknown := false
	for range maxWriteAttempts {
		head, err := s.checkUnchanged(ctx, edits, id)
		if errors.Is(err, ErrChanged) {
			return 0, err
		}
		if err == nil && head.hasWriteID {
			return head.revision, nil
		}
		var at fleet.Revision
		if err == nil {
			at, err = s.kv.Write(ctx, buildPuts(edits, head, id))
		}
		if err == nil {
			return at, nil
		}
		last = err
		unknown = unknown || errors.Is(err, etcd.ErrOutcomeUnknown)
		if !sleepBeforeRetry(ctx) {
			break
		}
	}
	if unknown {
		return 0, fmt.Errorf("write records: %w: %w", etcd.ErrOutcomeUnknown, last)
	}
	return 0, fmt.Errorf("write records: %w", last)
}

// buildPuts returns the writes of the transaction for the edits, with the ID added to
// the head.
func buildPuts(edits []Edit, head storedHead, id string) []etcd.Put {
	ids := append([]string{id}, head.WriteIDs...)
	value, err := json.Marshal(RawHead{WriteIDs: ids[:min(len(ids), maxWriteIDs)]})
	if err != nil {
		value = []byte("{}")
	}
	list := []etcd.Put{{Key: RawHeadKey(), Value: value, ExpectRevision: head.revision}}
	for _, e := range edits {
		list = append(list, etcd.Put{Key: RawKey(e.Key), Value: e.After, ExpectRevision: e.baseRevision})
	}
	return list
}

// storedHead is a RawHead and its revision.
type storedHead struct {
	RawHead
	revision fleet.Revision
	// hasWriteID is set if the head contains the write ID that was searched for.
	hasWriteID bool
}

// checkUnchanged reads the head and checks that the records still have the revisions of
// the plan, all in one list. If the write with the ID was applied, it returns the head
// with written set instead. It returns ErrChanged if a record has changed.
func (s *RecordStore) checkUnchanged(ctx context.Context, edits []Edit, id string) (storedHead, error) {
	entries, _, err := s.kv.List(ctx, PrefixRaw)
	if err != nil {
		return storedHead{}, err
	}
	var head storedHead
	revisions := make(map[string]fleet.Revision, len(entries))
	for _, e := range entries {
		revisions[e.Key] = e.Revision
		if e.Key != RawHeadKey() {
			continue
		}
		head.revision = e.Revision
		if json.Unmarshal(e.Value, &head.RawHead) != nil {
			head.RawHead = RawHead{} // an invalid head is replaced
		}
	}
	if slices.Contains(head.WriteIDs, id) {
		head.hasWriteID = true
		return head, nil
	}
	for _, e := range edits {
		if now := revisions[RawKey(e.Key)]; now != e.baseRevision {
			return head, fmt.Errorf("%w: %s is at revision %d, was read at %d", ErrChanged, e.Key, now, e.baseRevision)
		}
	}
	return head, nil
}

// sleepBeforeRetry waits for 100 ms. It returns false if the context ends first.
func sleepBeforeRetry(ctx context.Context) bool {
	const wait = 100 * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// BaseRevision returns the revision of the stored text that the edit replaces; it is 0
// if there is none.
func (e Edit) BaseRevision() fleet.Revision { return e.baseRevision }
