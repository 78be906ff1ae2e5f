package relay

import (
	"slices"
	"time"
)

// Other writers may replace an endpoint's entry. One that can't be read, or that contradicts what is
// known of the same incarnation, names no endpoint to use: the endpoint gets no new requests until
// there is one that can be believed. What is known of it is kept, its requests go on, and it counts
// neither as leaving nor as crashed.

// ownEntryTimeout is how long requests wait for an endpoint to write its entry again. Endpoints do so
// about every second.
const ownEntryTimeout = 1500 * time.Millisecond

// entryDoubt is the state of an endpoint without an entry that can be believed.
type entryDoubt struct {
	// entry is the entry in the list, since the time of the first list with what it claims.
	entry EndpointEntry
	since time.Time
	// awaitUntil is the time until which requests wait for the endpoint's own entry.
	awaitUntil time.Time
}

// EntryContradicted reports that an entry is not believed, for the log.
type EntryContradicted struct {
	Known, Listed EndpointEntry
}

// Kind implements event.Effect.
func (EntryContradicted) Kind() string { return "relay-entry-contradicted" }

// mustDoubt reports whether the new entry m of the endpoint can't be believed. An instance name stays
// with its service over all incarnations.
func (e *endpoint) mustDoubt(m *EndpointEntry) bool {
	return m.Malformed || m.Service != e.Service || !e.isNewIncarnation(*m) && m.contradicts(&e.EndpointEntry)
}

// doubtLasts reports whether the doubted entry is the endpoint's own, as a list read at readAt has it for longer
// than an endpoint takes to replace one of another writer: what was known before came from another writer.
// Only the service stays in doubt for as long as the endpoint is listed.
func (e *endpoint) doubtLasts(m *EndpointEntry, readAt time.Time) bool {
	d := e.doubt
	return d != nil && m.Service == e.Service && d.entry.claimsAs(m) && readAt.Sub(d.since) >= replacedTimeout
}

// doubtEntry keeps new requests from an endpoint whose new entry m can't be believed.
func (s *State) doubtEntry(e *endpoint, m EndpointEntry, readAt time.Time) {
	if e.doubt == nil {
		e.doubt = &entryDoubt{awaitUntil: s.now.Add(ownEntryTimeout)}
		s.emitWake(e.doubt.awaitUntil)
	}
	if !e.doubt.entry.claimsAs(&m) {
		e.doubt.since = readAt
	}
	e.doubt.entry = m
	if !m.Malformed {
		s.emitCount("entries.contradicting")
		s.emit(EntryContradicted{Known: e.EndpointEntry, Listed: m})
	}
}

// awaitsOwnEntry reports whether an endpoint that could serve the request is likely to write its entry
// again soon.
func (s *State) awaitsOwnEntry(r *request) bool {
	return slices.ContainsFunc(s.candidates(r.Service, r.Item.Model), func(e *endpoint) bool {
		return e.doubt != nil && s.now.Before(e.doubt.awaitUntil) && s.wouldServe(e, r)
	})
}
