package mirror

import (
	"context"
	"time"
)

// reportUnseen calls OnUnseen if none of the items has one of the revisions since the last call, up
// to the cursor.
func (m *Mirror) reportUnseen(items []Item) {
	unseen := latestUnseen(items, m.seenRevision, m.cursor)
	m.seenRevision = max(m.seenRevision, m.cursor)
	if unseen > 0 && m.opts.OnUnseen != nil {
		m.opts.OnUnseen(unseen)
	}
}

// awaitRefresh waits until Refresh is called or the mirror watches again, and makes a full read due
// then. The history since the last read may be long.
func (m *Mirror) awaitRefresh(ctx context.Context) {
	ticker := time.NewTicker(watchingCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.refresh:
		case <-ticker.C:
			if !m.opts.Watching() {
				continue
			}
		}
		m.cursor, m.rereadNow = 0, true
		return
	}
}

// latestUnseen returns the latest revision after from, up to to, that no item has; 0 if there is none.
func latestUnseen(items []Item, from, to int64) int64 {
	seen := make(map[int64]bool, len(items))
	for _, it := range items {
		seen[it.Revision] = true
	}
	for ; to > from; to-- {
		if !seen[to] {
			return to
		}
	}
	return 0
}
