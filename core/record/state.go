package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
)

// Errors of State.Apply.
var (
	// ErrDeltaGap means that a delta starts at a revision later than that of the state,
	// so that the changes in between are missing.
	ErrDeltaGap = errors.New("delta starts after the state")
	// ErrDigestMismatch means that the objects of the resulting state don't have the
	// digest that the delta gives for them.
	ErrDigestMismatch = errors.New("objects differ from their digest")
)

// Object is an accepted record in the newest schema version, with its origin. A
// deleted record is kept as an Object with Deleted set, so that deltas carry the
// deletion to peers.
type Object struct {
	Key
	// RawRevision is the revision of the raw record that was accepted.
	RawRevision fleet.Revision `json:"raw-revision"`
	// WrittenSchema is the schema version that the raw record is written in.
	WrittenSchema int `json:"written-schema"`
	// AcceptedRevision is the accepted revision that added or last changed the object.
	AcceptedRevision fleet.Revision `json:"accepted-revision"`
	Deleted          bool           `json:"deleted,omitempty"`
	// Value is the record as JSON; it is empty if Deleted is set.
	Value json.RawMessage `json:"value,omitempty"`

	// normalized is the decoded Value; it is nil if Deleted is set.
	normalized normalized
}

// decode returns the object with Value decoded into normalized. Unknown fields,
// which a newer program may have accepted, are ignored: an accepted record takes
// effect in every process, as far as its program understands the record.
func (o Object) decode() (Object, error) {
	if o.Deleted {
		return o, nil
	}
	rec := newNormalized(o.Type)
	if rec == nil {
		return o, fmt.Errorf("%w: accepted %s", ErrInvalid, o.Key)
	}
	if err := json.Unmarshal(o.Value, rec); err != nil {
		return o, fmt.Errorf("read accepted %s: %w", o.Key, err)
	}
	o.normalized = rec
	return o, nil
}

// newerSchema reports whether the accepted record has a schema version newer
// than schemaNewest. This program must then not accept or reject changes of it.
func (o Object) newerSchema() bool {
	return o.normalized != nil && o.normalized.recordHeader().Schema > schemaNewest
}

// hash returns the hash of the object, which State.Digest combines.
func (o Object) hash() uint64 {
	text, err := json.Marshal(o)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(text)
}

// State is an accepted configuration with the origin of each record. It is
// immutable, so it is safe for concurrent use. A nil *State is an empty
// configuration of revision 0.
type State struct {
	revision fleet.Revision
	// digest is the XOR of the hashes of all objects, so that a change of one
	// object updates it without reading the others.
	digest  uint64
	objects map[Key]Object
}

// Revision returns the accepted revision, which increases by 1 with each accepted
// batch of records.
func (s *State) Revision() fleet.Revision {
	if s == nil {
		return 0
	}
	return s.revision
}

// Digest returns a 64-bit digest of all objects as 16 hexadecimal digits. States
// with equal digests are taken to have equal objects.
func (s *State) Digest() string {
	if s == nil {
		return formatDigest(0)
	}
	return formatDigest(s.digest)
}

func formatDigest(d uint64) string { return fmt.Sprintf("%016x", d) }

// Object returns the accepted object with the given key, which may be a deleted
// one, and reports whether there is one.
func (s *State) Object(key Key) (Object, bool) {
	if s == nil {
		return Object{}, false
	}
	o, ok := s.objects[key]
	return o, ok
}

// Objects returns all accepted objects, deleted ones included, ordered by key.
func (s *State) Objects() []Object {
	if s == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(s.objects), func(a, b Object) int { return a.Compare(b.Key) })
}

// withObjects returns a new state of the given revision in which the changed
// objects are added or replaced.
func (s *State) withObjects(revision fleet.Revision, changed []Object) *State {
	next := &State{revision: revision, objects: map[Key]Object{}}
	if s != nil {
		next.digest = s.digest
		next.objects = maps.Clone(s.objects)
	}
	for _, o := range changed {
		if before, ok := next.objects[o.Key]; ok {
			next.digest ^= before.hash()
		}
		next.digest ^= o.hash()
		next.objects[o.Key] = o
	}
	return next
}

// Delta holds the objects that changed after the accepted revision From, up to
// and including Revision. A Delta with From 0 holds the whole state.
type Delta struct {
	From     fleet.Revision `json:"from"`
	Revision fleet.Revision `json:"revision"`
	// Digest is the digest of the state of revision Revision.
	Digest  string   `json:"digest"`
	Objects []Object `json:"objects,omitempty"`
}

// DeltaSince returns the delta from an accepted revision to the state. It contains
// only the objects that changed since, each in its current version.
func (s *State) DeltaSince(from fleet.Revision) Delta {
	d := Delta{From: from, Revision: s.Revision(), Digest: s.Digest()}
	for _, o := range s.Objects() {
		if o.AcceptedRevision > from {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

// Apply returns the state that results from applying a delta. If the delta is
// not newer than s, it returns s itself. On an error it also returns s. Errors:
// ErrDeltaGap, ErrDigestMismatch, ErrInvalid for an object of an unknown type or with a
// revision later than that of the delta, and the JSON error for a value that
// can't be decoded.
func (s *State) Apply(d Delta) (*State, error) {
	if d.Revision <= s.Revision() {
		return s, nil
	}
	if d.From > s.Revision() {
		return s, fmt.Errorf("%w: delta from revision %d, state at revision %d", ErrDeltaGap, d.From, s.Revision())
	}
	changed := make([]Object, 0, len(d.Objects))
	for _, o := range d.Objects {
		if o.AcceptedRevision > d.Revision {
			return s, fmt.Errorf("%w: accepted %s at %d, after %d", ErrInvalid, o.Key, o.AcceptedRevision, d.Revision)
		}
		o, err := o.decode()
		if err != nil {
			return s, err
		}
		changed = append(changed, o)
	}
	next := s.withObjects(d.Revision, changed)
	if next.Digest() != d.Digest {
		return s, fmt.Errorf("%w: that of revision %d is %s", ErrDigestMismatch, d.Revision, next.Digest())
	}
	return next, nil
}

// Encode returns the delta as JSON, which DecodeDelta reads.
func (d Delta) Encode() ([]byte, error) {
	return json.Marshal(d)
}

// DecodeDelta decodes a delta from JSON. It does not check the objects; Apply
// does.
func DecodeDelta(text []byte) (Delta, error) {
	var d Delta
	if err := json.Unmarshal(text, &d); err != nil {
		return Delta{}, fmt.Errorf("decode delta: %w", err)
	}
	return d, nil
}
