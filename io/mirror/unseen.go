package mirror

import (
	"context"
	"time"

	"chervilreach/core/epoch"
)

// reportUnseen calls OnUnseen if none of the items has one of the revisions since the last call, up
// to the cursor.
func (m *Mirror) reportUnseen(items []Item) {
	unseen := latestUnseen(items, m.seenRevision, m.cursor)
	m.seenRevision = epoch.Latest(m.seenRevision, m.cursor)
	if !unseen.IsZero() && m.opts.OnUnseen != nil {
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
		m.cursor, m.rereadNow = epoch.Revision{}, true
		return
	}
}

// latestUnseen returns the latest revision after from, up to to, that no item has; zero if there is none.
// Of the earlier eras it returns none.
func latestUnseen(items []Item, from, to epoch.Revision) epoch.Revision {
	seen := make(map[epoch.Revision]bool, len(items))
	for _, it := range items {
		seen[it.Revision] = true
	}
	for from = epoch.Latest(from, epoch.At(to.Era(), 0)); to.After(from); to = to.Previous() {
		if !seen[to] {
			return to
		}
	}
	return epoch.Revision{}
}
