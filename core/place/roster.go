package place

import (
	"time"

	"chervilreach/core/fleet"
)

// Roster tracks the platform's host list. The list lags behind the real hosts, so
// a host counts as gone only after it has been missing for longer than the lag. The
// zero value is ready for use. Roster is not safe for concurrent use.
type Roster struct {
	// asOf is the platform's time of the last list.
	asOf   time.Time
	readAt time.Time
	listed map[fleet.HostID]fleet.Host
	goneAt map[fleet.HostID]time.Time
}

// Update replaces the host list by one that was read at now, and reports whether
// it did. An empty list, or one older than the last, is ignored. lag is the longest
// time by which a list may be out of date. If more than half of the lag has passed
// since the last update, all missing hosts count as missing from now on only, as they may
// have been listed in between.
func (r *Roster) Update(now time.Time, list fleet.HostList, lag time.Duration) bool {
	if len(list.Hosts) == 0 || list.AsOf.Before(r.asOf) {
		return false
	}
	if now.Sub(r.readAt) > lag/2 {
		r.goneAt = nil
	}
	previous := r.listed
	r.asOf, r.readAt = list.AsOf, now
	r.listed = make(map[fleet.HostID]fleet.Host, len(list.Hosts))
	if r.goneAt == nil {
		r.goneAt = make(map[fleet.HostID]time.Time)
	}
	for _, h := range list.Hosts {
		r.listed[h.ID] = h
		delete(r.goneAt, h.ID)
	}
	for id := range previous {
		r.markUnlisted(id, now.Add(lag))
	}
	return true
}

// TrackPlacement starts to track the hosts of a placement that are not listed, so that
// they count as gone after the lag even if no list has ever contained them. It does
// nothing before the first Update.
func (r *Roster) TrackPlacement(now time.Time, p Placement, lag time.Duration) {
	if r.listed == nil {
		return
	}
	for _, e := range p.Entries {
		r.markUnlisted(e.Host, now.Add(lag))
	}
}

// markUnlisted sets the time from which a host counts as gone, unless the host is
// listed or already has such a time.
func (r *Roster) markUnlisted(id fleet.HostID, goneAt time.Time) {
	if _, ok := r.listed[id]; ok {
		return
	}
	if _, ok := r.goneAt[id]; !ok {
		r.goneAt[id] = goneAt
	}
}

// HostListReadAt returns when the last list was read, or the zero time before the first
// Update.
func (r *Roster) HostListReadAt() time.Time {
	return r.readAt
}

// GoneTimes returns the missing hosts with the time from which each counts as gone,
// provided that a list read at or after that time still lacks it. The caller must
// not modify the map.
func (r *Roster) GoneTimes() map[fleet.HostID]time.Time {
	return r.goneAt
}

// Host returns the host with the ID, and whether the last host list has it.
func (r *Roster) Host(id fleet.HostID) (fleet.Host, bool) {
	h, ok := r.listed[id]
	return h, ok
}

// Prune stops tracking the missing hosts that are not in placed, the set of hosts
// that appear in placements. This bounds the memory of the roster.
func (r *Roster) Prune(placed map[fleet.HostID]bool) {
	for id := range r.goneAt {
		if !placed[id] {
			delete(r.goneAt, id)
		}
	}
}
