// Package origin keeps track of which version of the endpoints' software began which stream. Another
// version must not go on with a stream.
package origin

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/poison"
)

const (
	// Lifetime is how long after its beginning a stream can be resumed. Callers wait for a stream, with
	// all their retries, for less.
	Lifetime = 90 * time.Second
	// maxOrigins bounds the number of streams that a Memory knows.
	maxOrigins = 1 << 16
)

// Stream identifies a stream of a caller over all attempts to read it; 0 if unknown. It is a hash.
type Stream uint64

// StreamOf returns the stream that began with an attempt, which has an ID that the caller chose.
// whole stands for the request without that ID, so that another caller, or a request for something
// else, can't refer to the stream. The result is 0 if attemptID is empty.
func StreamOf(service, attemptID string, whole poison.Part) Stream {
	if attemptID == "" {
		return 0
	}
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(service + "\x00" + attemptID + "\x00")
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(whole)))
	return Stream(h.Sum64())
}

// Origin is a stream with the version of the software that began it.
type Origin struct {
	Stream   Stream
	Software string
}

// entry is an origin that a Memory knows.
type entry struct {
	Origin
	service string
	notedAt time.Time
}

// Memory remembers origins for Lifetime. It is not safe for concurrent use.
type Memory struct {
	// entries are in order of time. firstSeq is the sequence number of the first one; they are
	// consecutive from 1.
	entries  []entry
	firstSeq uint64
	// latest is the sequence number of the latest entry of each stream.
	latest map[Stream]uint64
	// versions has the time at which each version was last noted, by service.
	versions map[string]map[string]time.Time
}

// NewMemory returns a memory without origins.
func NewMemory() *Memory {
	return &Memory{firstSeq: 1, latest: make(map[Stream]uint64), versions: make(map[string]map[string]time.Time)}
}

// Note remembers the origin of a stream of a service. The last call for a stream counts.
func (m *Memory) Note(now time.Time, service string, o Origin) {
	if o.Stream == 0 || o.Software == "" {
		return
	}
	m.prune(now)
	m.entries = append(m.entries, entry{o, service, now})
	m.latest[o.Stream] = m.LastSeq()
	m.NoteVersion(now, service, o.Software)
}

// NoteVersion remembers that a version of a service's software can have begun streams.
func (m *Memory) NoteVersion(now time.Time, service, software string) {
	if software == "" {
		return
	}
	if m.versions[service] == nil {
		m.versions[service] = make(map[string]time.Time)
	}
	m.versions[service][software] = now
}

// prune forgets origins that are too old or too many.
func (m *Memory) prune(now time.Time) {
	n := 0
	for n < len(m.entries) && (!now.Before(m.entries[n].notedAt.Add(Lifetime)) || len(m.entries)-n >= maxOrigins) {
		if stream := m.entries[n].Stream; m.latest[stream] == m.firstSeq+uint64(n) {
			delete(m.latest, stream)
		}
		n++
	}
	m.entries, m.firstSeq = m.entries[n:], m.firstSeq+uint64(n)
}

// Software returns the version that began a stream. It returns false if that is not known.
func (m *Memory) Software(now time.Time, s Stream) (string, bool) {
	m.prune(now)
	seq, ok := m.latest[s]
	if !ok {
		return "", false
	}
	return m.entries[seq-m.firstSeq].Software, true
}

// Versions returns the versions of a service that were noted within Lifetime, sorted.
func (m *Memory) Versions(now time.Time, service string) []string {
	maps.DeleteFunc(m.versions[service], func(_ string, at time.Time) bool { return !now.Before(at.Add(Lifetime)) })
	return slices.Sorted(maps.Keys(m.versions[service]))
}

// LastSeq returns the sequence number of the last origin; 0 if there was none.
func (m *Memory) LastSeq() uint64 { return m.firstSeq + uint64(len(m.entries)) - 1 }

// Since returns the origins of a service's streams after a sequence number, oldest first.
func (m *Memory) Since(now time.Time, service string, seq uint64) []Origin {
	m.prune(now)
	var list []Origin
	for _, e := range m.entries[max(seq+1, m.firstSeq)-m.firstSeq:] {
		if e.service == service {
			list = append(list, e.Origin)
		}
	}
	return list
}
