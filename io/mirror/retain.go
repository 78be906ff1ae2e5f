package mirror

import "time"

// noteCreation notes when the key of an item was created. A store that does not tell has created it
// anew with each write, as far as is known.
func (m *Mirror) noteCreation(it Item) {
	m.creations[it.Key] = it.CreateRevision
	if it.CreateRevision == 0 {
		m.creations[it.Key] = it.Revision
	}
}

// remove drops or retains entries that have been removed, and reports whether it has dropped any. An
// entry that is retained already keeps its time.
func (m *Mirror) remove(removed map[string]bool, now time.Time) bool {
	until := m.retainUntil()
	if !now.Before(until) || m.mostSurvived(removed) {
		until = time.Time{}
	}
	changed := false
	for key := range removed {
		if _, ok := m.retained[key]; ok {
			continue
		}
		if until.IsZero() {
			m.drop(key)
			changed = true
			continue
		}
		m.retained[key] = until
	}
	return changed
}

// mostSurvived reports whether at least half of the entries from before the last outage are in the
// store still, without removed. Then leases have not expired in it.
func (m *Mirror) mostSurvived(removed map[string]bool) bool {
	survived := 0
	for key, creation := range m.beforeOutage {
		_, missing := m.retained[key]
		if !missing && !removed[key] && m.creations[key] == creation {
			survived++
		}
	}
	return 2*survived >= len(m.beforeOutage)
}

func (m *Mirror) drop(key string) {
	delete(m.retained, key)
	delete(m.entries, key)
	delete(m.revisions, key)
	delete(m.creations, key)
}

// retainUntil returns until when entries that are missing now are retained for their writers. The time
// is zero if there was no outage, and not after now if restoreWindow has passed since the last one.
func (m *Mirror) retainUntil() time.Time {
	if m.lastOutageEnd.IsZero() {
		return time.Time{}
	}
	return m.lastOutageEnd.Add(restoreWindow)
}
