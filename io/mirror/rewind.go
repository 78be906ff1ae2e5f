package mirror

import (
	"bytes"
	"errors"
	"maps"
	"time"

	"chervilreach/core/epoch"
)

const (
	// pastWindow is how long a mirror remembers writes that it has seen replaced or removed. It is longer
	// than the age of a copy from which the store comes back.
	pastWindow = time.Minute
	// maxPastWrites bounds the remembered writes of a key.
	maxPastWrites = 8
	// hiddenWindow is how long an entry stays hidden that was removed and is back from a copy. It is longer
	// than the leases of entries, so that one that is still there then has a living writer.
	hiddenWindow = 10 * time.Second
)

// errEarlierEra means that an answer is from an earlier era of the store than one before.
var errEarlierEra = errors.New("answer of an earlier era of the store")

// pastWrite is a write of a key that has been seen replaced or removed, and when.
type pastWrite struct {
	revision epoch.Revision
	value    []byte
	endedAt  time.Time
}

// rewinds has what a mirror must know when the store comes back from an older copy of itself. What the
// mirror has seen happen survives that: a write that it has seen replaced or removed does not take effect
// again because the copy has it. What only the store has said does not survive: the copy counts.
type rewinds struct {
	// past has the past writes by key, oldest first.
	past map[string][]pastWrite
	// outdated has the items of the copy that do not count, by key.
	outdated map[string]Item
	// hidden has those of them whose key has been removed, with the time until which they do not count.
	hidden map[string]hiddenItem
	// prunedAt is the time of the last prune.
	prunedAt time.Time
}

type hiddenItem struct {
	Item
	until time.Time
}

func newRewinds() rewinds {
	return rewinds{
		past: make(map[string][]pastWrite), outdated: make(map[string]Item), hidden: make(map[string]hiddenItem),
	}
}

// isOutdated reports whether an item is one of the copy that does not count. Any other item of the
// key ends that.
func (r *rewinds) isOutdated(now time.Time, it Item) bool {
	old, ok := r.outdated[it.Key]
	if !ok {
		return false
	}
	if it.Value != nil && it.Revision == old.Revision {
		return true
	}
	delete(r.outdated, it.Key)
	delete(r.hidden, it.Key)
	r.noteWrite(now, old.Revision, old.Value, it)
	return false
}

// noteWrite notes that an item takes the place of a write of its key. value is nil if there is none.
func (r *rewinds) noteWrite(now time.Time, revision epoch.Revision, value []byte, it Item) {
	if value == nil || revision == it.Revision {
		return
	}
	r.prune(now)
	list := r.past[it.Key]
	if len(list) > 0 && list[len(list)-1].revision == revision {
		return
	}
	if len(list) >= maxPastWrites {
		list = list[1:]
	}
	r.past[it.Key] = append(list, pastWrite{revision, value, now})
}

// prune forgets past writes that ended before pastWindow, once in a pastWindow.
func (r *rewinds) prune(now time.Time) {
	if now.Sub(r.prunedAt) < pastWindow {
		return
	}
	r.prunedAt = now
	for key, list := range r.past {
		for len(list) > 0 && now.Sub(list[0].endedAt) > pastWindow {
			list = list[1:]
		}
		if r.past[key] = list; len(list) == 0 {
			delete(r.past, key)
		}
	}
}

// keepFound forgets the items of the copy whose keys a full read has not found.
func (r *rewinds) keepFound(found map[string]bool) {
	for key := range r.hidden {
		if !found[key] {
			delete(r.hidden, key)
			delete(r.outdated, key)
		}
	}
}

// isPast reports whether an item of a copy is a past write.
func (r *rewinds) isPast(it Item) bool {
	if old, ok := r.outdated[it.Key]; ok && sameWrite(old.Revision, old.Value, it) {
		return true
	}
	for _, w := range r.past[it.Key] {
		if sameWrite(w.revision, w.value, it) {
			return true
		}
	}
	return false
}

// sameWrite reports whether an item of a copy is a write that has been seen in an earlier era.
func sameWrite(revision epoch.Revision, value []byte, it Item) bool {
	return revision.InEra(it.Revision.Era()) == it.Revision && bytes.Equal(value, it.Value)
}

// enterEra compares the items of a full read with what the mirror has seen, if the store has come back from
// a copy since the last one.
func (m *Mirror) enterEra(items []Item) {
	now := time.Now()
	from := m.era
	m.era = m.cursor.Era()
	if !m.fullReadDone || m.era == from {
		return
	}
	// Living writers need time to write again what the copy lacks.
	m.lastOutageEnd, m.beforeOutage = now, maps.Clone(m.creations)
	outdated, hidden := make(map[string]Item), make(map[string]hiddenItem)
	for _, it := range items {
		value, held := m.entries[it.Key]
		if held && sameWrite(m.revisions[it.Key], value, it) || !m.rewinds.isPast(it) {
			continue
		}
		outdated[it.Key] = it
		if !held {
			hidden[it.Key] = hiddenItem{it, now.Add(hiddenWindow)}
		}
	}
	m.rewinds.outdated, m.rewinds.hidden = outdated, hidden
	m.opts.Log.Warn().Str("prefix", m.opts.Prefix).Int64("from", from).Int64("era", m.era).Stringer("revision", m.cursor).
		Int("items", len(items)).Int("outdated", len(outdated)).Msg("store came back from an older copy")
}

// reveal returns the hidden items that count again, as their writers live.
func (m *Mirror) reveal(now time.Time) []Item {
	var items []Item
	for key, h := range m.rewinds.hidden {
		if !now.Before(h.until) {
			delete(m.rewinds.hidden, key)
			delete(m.rewinds.outdated, key)
			items = append(items, h.Item)
		}
	}
	return items
}
