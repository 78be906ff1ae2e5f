package relay

import "time"

// An entry of another incarnation replaces an endpoint at once for new requests. If it may come from another
// writer, as it names another address or an earlier start, the attempts in progress go on, and the former
// incarnation comes back with its own entry. Writers replace such an entry within about a second.

// formerIncarnation is the incarnation that an endpoint replaced by an entry that may be of another writer.
type formerIncarnation struct {
	endpoint *endpoint
	// listedUntil is the time of the list that replaced it.
	listedUntil time.Time
}

// mayBeForeign reports whether the entry m of another incarnation may come from another writer.
func (e *endpoint) mayBeForeign(m EndpointEntry) bool {
	return m.Address != e.Address || m.Born < e.Born
}

// returns reports whether the entry m is that of the former incarnation.
func (f *formerIncarnation) returns(m EndpointEntry) bool {
	return f != nil && m.Born == f.endpoint.Born && m.Address == f.endpoint.Address && m.Service == f.endpoint.Service
}

// restoreFormer returns the former incarnation of an endpoint to the list, as its own entry is back.
func (s *State) restoreFormer(e *endpoint) *endpoint {
	former := e.former.endpoint
	s.index.drop(e)
	s.dropLimit(e)
	former.hasAgent = former.hasAgent && !e.agentLostAt.After(former.agentLostAt) || e.hasAgent
	former.agentLostAt = e.agentLostAt
	s.index.add(former)
	s.emitCount("entries.taken-back")
	return former
}

// endFormer ends the former incarnation of an endpoint if a list read at readAt has its successor still, after
// the lifetime of a lease.
func (s *State) endFormer(e *endpoint, readAt time.Time) {
	if f := e.former; f != nil && readAt.Sub(f.listedUntil) >= replacedTimeout {
		e.former = nil
		s.endIncarnation(f.endpoint, foundByIncarnation)
		s.abortAttempts(f.endpoint)
	}
}
