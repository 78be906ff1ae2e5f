package agent

import (
	"chervilreach/core/fleet"
)

// memoryKey identifies what occupies accelerator memory: a model or, if adapter is set, an
// adapter of the model.
type memoryKey struct {
	model   fleet.ModelID
	adapter fleet.AdapterID
}

// ledger accounts for the accelerator memory of one endpoint. Memory is charged whenever
// it may be in use: from before a load is ordered, until an unload is confirmed, and while
// the outcome of an order is unknown.
type ledger struct {
	total   fleet.Bytes
	used    fleet.Bytes
	charged map[memoryKey]fleet.Bytes
}

func newLedger() ledger {
	return ledger{charged: make(map[memoryKey]fleet.Bytes)}
}

// freeBytes returns the memory that is not charged; it is negative if more than the total is.
func (l *ledger) freeBytes() fleet.Bytes { return l.total - l.used }

// reserve charges n bytes to the key and reports whether it succeeded; it fails if less is
// free. If the key is charged already, it succeeds without charging more.
func (l *ledger) reserve(key memoryKey, n fleet.Bytes) bool {
	if _, ok := l.charged[key]; ok {
		return true
	}
	if n > l.freeBytes() {
		return false
	}
	l.charged[key] = n
	l.used += n
	return true
}

// charge charges memory that the engine already holds, even if that exceeds the total. If
// the key is charged already, it does nothing.
func (l *ledger) charge(key memoryKey, n fleet.Bytes) {
	if _, ok := l.charged[key]; ok {
		return
	}
	l.charged[key] = n
	l.used += n
}

// release releases the memory charged to the key, if any.
func (l *ledger) release(key memoryKey) {
	l.used -= l.charged[key]
	delete(l.charged, key)
}
