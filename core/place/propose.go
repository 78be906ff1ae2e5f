package place

import (
	"cmp"
	"slices"
	"strings"

	"chervilreach/core/fleet"
	"chervilreach/core/record"

	"github.com/cespare/xxhash/v2"
)

// fullnessStepPermille is the step to which the committed share of an endpoint's
// memory is rounded down. Endpoints in the same step count as equally full, so
// that one that has the weights cached is preferred to a slightly less full one.
const fullnessStepPermille = 250

// permille converts a fraction of an endpoint's memory to parts per thousand.
const permille = 1000

// Propose returns the next placement of a model and whether it differs from the
// current one. The current placement is the zero value if none has been stored.
// It is returned unchanged if it was computed from a newer configuration.
//
// An entry is added only while the assigned and the releasing entries together are
// fewer than the warm limit. A releasing entry is removed once its unload has been
// confirmed or its host is gone.
func Propose(input Input, current Placement) (Placement, bool) {
	if input.Revision < current.Revision {
		return current, false
	}
	p := proposal{input: input, entries: slices.Clone(current.Entries), generation: current.Generation + 1}
	p.removeEnded()
	p.releaseUnavailable()
	p.trimToLimit()
	p.addEntries()
	p.releaseOneOutOfMemory()
	if slices.Equal(p.entries, current.Entries) {
		return current, false
	}
	return Placement{
		Model:      input.Model.ID,
		Generation: p.generation,
		Revision:   input.Revision,
		WriteID:    input.WriteID,
		Entries:    p.entries,
	}, true
}

// proposal holds the state of one call of Propose.
type proposal struct {
	input      Input
	entries    []Entry
	generation fleet.Generation
}

// removeEnded removes the entries whose unload has been confirmed or whose host
// is gone.
func (p *proposal) removeEnded() {
	p.entries = slices.DeleteFunc(p.entries, func(e Entry) bool {
		if e.State == StateReleasing && slices.Contains(p.input.Released, ConfirmedRelease{Endpoint: e.Endpoint, Fence: e.Fence}) {
			return true
		}
		goneAt, missing := p.input.GoneAt[e.Host]
		return missing && !p.input.HostListReadAt.Before(goneAt)
	})
}

// releaseUnavailable starts the release of the entries whose hosts are leaving or
// not listed.
func (p *proposal) releaseUnavailable() {
	for i, e := range p.entries {
		if !p.onLiveHost(e) {
			p.entries[i].State = StateReleasing
		}
	}
}

// onLiveHost reports whether the entry's endpoint still runs on the host where it
// was assigned, and this host is live.
func (p *proposal) onLiveHost(e Entry) bool {
	ep, ok := findEndpoint(p.input.Endpoints, e.Endpoint)
	return ok && ep.Host == e.Host && ep.State == fleet.HostLive
}

// trimToLimit starts the release of the least preferred entries if the assigned
// ones exceed the warm limit.
func (p *proposal) trimToLimit() {
	excess := len(p.entries) - p.input.Model.WarmLimit
	for _, e := range p.entries {
		if e.State == StateReleasing {
			excess--
		}
	}
	for i := len(p.entries) - 1; i >= 0 && excess > 0; i-- {
		if p.entries[i].State == StateAssigned {
			p.entries[i].State = StateReleasing
			excess--
		}
	}
}

// addEntries assigns the model to further endpoints up to the warm limit.
func (p *proposal) addEntries() {
	for len(p.entries) < p.input.Model.WarmLimit {
		ep, ok := p.bestEndpoint()
		if !ok {
			return
		}
		p.entries = append(p.entries, p.newEntry(ep))
	}
}

// newEntry returns an entry that assigns the model to the endpoint.
func (p *proposal) newEntry(ep Endpoint) Entry {
	return Entry{
		Endpoint:      ep.ID,
		Host:          ep.Host,
		FailureDomain: ep.FailureDomain,
		Fence:         fleet.Fence{Incarnation: ep.Incarnation, Generation: p.generation},
		State:         StateAssigned,
	}
}

// releaseOneOutOfMemory starts the release of one entry whose endpoint lacks the
// memory for the model, if another endpoint is eligible and no other release is in
// progress. The first proposal after the confirmed release assigns the model to
// another endpoint.
func (p *proposal) releaseOneOutOfMemory() {
	if slices.ContainsFunc(p.entries, func(e Entry) bool { return e.State == StateReleasing }) {
		return
	}
	if _, ok := p.bestEndpoint(); !ok {
		return
	}
	for i, e := range p.entries {
		ep, ok := findEndpoint(p.input.Endpoints, e.Endpoint)
		if ok && containsModel(ep.OutOfMemoryFor, p.input.Model.ID) {
			p.entries[i].State = StateReleasing
			return
		}
	}
}

// bestEndpoint returns the eligible endpoint with the best rank, and false if no
// endpoint is eligible. Endpoints that already have an entry are skipped.
func (p *proposal) bestEndpoint() (Endpoint, bool) {
	replicas := make(map[fleet.FailureDomain]int, len(p.entries))
	taken := make(map[fleet.EndpointID]bool, len(p.entries))
	for _, e := range p.entries {
		taken[e.Endpoint] = true
		if e.State == StateAssigned {
			replicas[e.FailureDomain]++
		}
	}
	var bestEndpoint *Endpoint
	var bestRank rank
	for i := range p.input.Endpoints {
		ep := &p.input.Endpoints[i]
		if taken[ep.ID] || !eligible(ep, p.input.Model) {
			continue
		}
		r := p.rank(ep, replicas[ep.FailureDomain])
		if bestEndpoint == nil || r.compare(bestRank) < 0 {
			bestEndpoint, bestRank = ep, r
		}
	}
	if bestEndpoint == nil {
		return Endpoint{}, false
	}
	return *bestEndpoint, true
}

// eligible reports whether a model can be assigned to an endpoint.
func eligible(ep *Endpoint, m record.Model) bool {
	return ep.State == fleet.HostLive && RequiredMemory(m) <= ep.Memory && !containsModel(ep.OutOfMemoryFor, m.ID)
}

// rank is the rank of an endpoint for a model. The fields are compared in order;
// lower values are better.
type rank struct {
	// domainReplicas is the number of assigned entries in the failure domain.
	domainReplicas int
	// fullness is committedPermille in steps of fullnessStepPermille.
	fullness fleet.Bytes
	// uncached is 0 if the model's weights are cached at the endpoint, else 1.
	uncached int
	// committedPermille is the share of memory committed once the model is assigned.
	committedPermille fleet.Bytes
	// hash breaks ties, with a different order of endpoints for each model.
	hash uint64
}

// compare returns a negative number if r is better than other, a positive one if
// it is worse, and 0 if they are equal.
func (r rank) compare(other rank) int {
	return cmp.Or(
		cmp.Compare(r.domainReplicas, other.domainReplicas),
		cmp.Compare(r.fullness, other.fullness),
		cmp.Compare(r.uncached, other.uncached),
		cmp.Compare(r.committedPermille, other.committedPermille),
		cmp.Compare(r.hash, other.hash),
	)
}

// rank returns the rank of an endpoint whose failure domain has domainReplicas
// assigned entries.
func (p *proposal) rank(ep *Endpoint, domainReplicas int) rank {
	r := rank{domainReplicas: domainReplicas, uncached: 1, hash: rendezvousWeight(string(p.input.Model.ID), string(ep.ID))}
	if containsModel(ep.Cached, p.input.Model.ID) || slices.Contains(p.input.Model.CachedOn, ep.Host) {
		r.uncached = 0
	}
	r.committedPermille = (ep.Committed + RequiredMemory(p.input.Model)) * permille / ep.Memory
	r.fullness = r.committedPermille / fullnessStepPermille
	return r
}

// findEndpoint returns the endpoint with the given ID and whether there is one.
// The endpoints must be sorted by ID.
func findEndpoint(endpoints []Endpoint, id fleet.EndpointID) (Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(endpoints, id, func(ep Endpoint, id fleet.EndpointID) int {
		return strings.Compare(string(ep.ID), string(id))
	})
	if !ok {
		return Endpoint{}, false
	}
	return endpoints[i], true
}

func containsModel(sorted []fleet.ModelID, m fleet.ModelID) bool {
	_, ok := slices.BinarySearch(sorted, m)
	return ok
}

// rendezvousWeight returns the weight of a node for a key in rendezvous hashing:
// a hash of both.
func rendezvousWeight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
