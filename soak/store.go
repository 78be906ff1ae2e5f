package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"chervilreach/platform/mock"
)

const (
	// maxCopyAge is the maximum age of the copy from which the store comes back.
	maxCopyAge = 6 * time.Second
	// entryLease is how long entries of replicas that have ended stay in a store that came back.
	entryLease = 3600 * time.Millisecond
	// ownEntryDelay is how long a replica takes to replace an entry of another writer.
	ownEntryDelay = 1200 * time.Millisecond
)

// returnFromCopies has the store come back from a copy that is some seconds old, again and again. The operator and
// the replicas then write again what they have written since.
func (h *harness) returnFromCopies(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		copied := h.fleet.store.Copy()
		sleep(ctx, time.Duration(rnd.IntN(int(maxCopyAge))))
		h.injectOne(ctx, fault{"store comes back from a copy", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
			h.setStoreDown(true)
			defer h.setStoreDown(false)
			h.fleet.store.SetFault(mock.Unavailable)
			sleep(ctx, faultDuration(rnd)/2)
			h.fleet.store.ComeBack(copied)
			h.rewriteStore()
			h.fleet.store.SetFault(mock.NoFault)
			sleep(ctx, entryLease)
			h.fleet.store.ExpireEntries(h.writeEntries())
			return nil
		}}, rnd)
	}
}

// rewriteStore writes the routes and the entries of all replicas again.
func (h *harness) rewriteStore() {
	h.mu.Lock()
	h.writeRoutes()
	h.mu.Unlock()
	h.writeEntries()
}

// writeEntries writes the entries of all living replicas and returns their keys.
func (h *harness) writeEntries() []string {
	var keys []string
	for _, r := range h.fleet.replicas {
		if key := r.WriteEntry(); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// writeOddEntries has another writer replace the entry of a replica by one that lacks fields and names another
// service, again and again. The replica writes its own soon after.
func (h *harness) writeOddEntries(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Second+faultDuration(rnd))
		h.injectOne(ctx, fault{"entry of another writer", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
			r := pick(rnd, h.fleet.replicas)
			service := pick(rnd, []string{mock.PlainService, mock.ModelService})
			odd := fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready"}`, service, r.Addr())
			h.fleet.store.Put("servers/"+r.Instance(), []byte(odd))
			sleep(ctx, time.Duration(rnd.IntN(int(ownEntryDelay))))
			r.WriteEntry()
			return nil
		}}, rnd)
	}
}

// checkOrders reports a violation for each order with a lower fencing token than one before at its replica.
func (h *harness) checkOrders() {
	for _, name := range h.fleet.runLog.OutdatedOrders() {
		h.addViolation("%s got an order with a lower fencing token than one before", name)
	}
}
