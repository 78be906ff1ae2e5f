package mirror

import "time"

// mixedRetention bounds how long an entry is retained if some leases have not expired in the outage. With
// the pause between two watches it is shorter than the time within which requests to a removed endpoint
// must stop.
const mixedRetention = time.Second

// noteCreation notes when the key of an item was created. A store that does not tell has created it
// anew with each write, as far as is known.
func (m *Mirror) noteCreation(it Item) {
	m.creations[it.Key] = it.CreateRevision
	if it.CreateRevision.IsZero() {
		m.creations[it.Key] = it.Revision
	}
}

// remove drops or retains entries that have been removed, and reports whether it has dropped any. An
// entry that is retained already keeps its time.
func (m *Mirror) remove(removed map[string]bool, now time.Time) bool {
	until := m.retainUntil(removed, now)
	changed := false
	for key := range removed {
		if _, ok := m.retained[key]; ok {
			continue
		}
		if !now.Before(until) {
			m.drop(key)
			changed = true
			continue
		}
		m.retained[key] = until
	}
	return changed
}

// retainUntil returns until when entries are retained that are missing now. The time is not after now if
// their writers have removed them.
func (m *Mirror) retainUntil(removed map[string]bool, now time.Time) time.Time {
	if m.lastOutageEnd.IsZero() {
		return time.Time{}
	}
	until := m.lastOutageEnd.Add(restoreWindow)
	survived := m.survivorCount(removed)
	switch limit := now.Add(mixedRetention); {
	case 2*survived >= len(m.beforeOutage) && m.outageExceededLeases():
		return time.Time{}
	case survived > 0 && limit.Before(until):
		return limit
	}
	return until
}

// outageExceededLeases reports whether the last outage was so long that a lease which was not renewed in it has
// expired. In a shorter one, a part of the leases expires. The end of an outage is noticed after a pause.
func (m *Mirror) outageExceededLeases() bool {
	return m.lastOutageEnd.Sub(m.silentSince)-maxBackoff*3/2 > m.opts.Lease
}

// survivorCount returns how many entries from before the last outage are in the store still, without
// removed. Their leases have not expired in it.
func (m *Mirror) survivorCount(removed map[string]bool) int {
	count := 0
	for key, creation := range m.beforeOutage {
		_, missing := m.retained[key]
		if creation.Era() != m.era {
			// A copy from which the store came back tells nothing of the leases.
			continue
		}
		if !missing && !removed[key] && m.creations[key] == creation {
			count++
		}
	}
	return count
}

func (m *Mirror) drop(key string) {
	delete(m.retained, key)
	delete(m.entries, key)
	delete(m.revisions, key)
	delete(m.creations, key)
}
