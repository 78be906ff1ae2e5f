package agent

import (
	"chervilreach/core/fleet"
)

// item names what holds accelerator memory: a model, or an adapter of it.
type memoryKey struct {
	model   fleet.ModelID
	adapter fleet.AdapterID
}

// ledger counts the accelerator memory of one endpoint. What may be held is
// counted: loads from before they are ordered, unloads until they are
// confirmed, and orders of unknown outcome.
type ledger struct {
	total   fleet.Bytes
	used    fleet.Bytes
	charged map[memoryKey]fleet.Bytes
}

func newLedger() ledger {
	return ledger{charged: make(map[memoryKey]fleet.Bytes)}
}

// free returns the memory that nothing holds.
func (l *ledger) free() fleet.Bytes { return l.total - l.used }

// reserve charges memory for an item; false when there is not enough. An item
// that is charged already is not charged again.
func (l *ledger) reserve(it memoryKey, n fleet.Bytes) bool {
	if _, ok := l.charged[it]; ok {
		return true
	}
	if n > l.free() {
		return false
	}
	l.charged[it] = n
	l.used += n
	return true
}

// adopt charges what the engine holds in fact, even beyond the total.
func (l *ledger) charge(it memoryKey, n fleet.Bytes) {
	if _, ok := l.charged[it]; ok {
		return
	}
	l.charged[it] = n
	l.used += n
}

// release gives back the memory of an item.
func (l *ledger) release(it memoryKey) {
	l.used -= l.charged[it]
	delete(l.charged, it)
}
