// Package feed keeps a router's routes up to date. Agents send what has changed since the version
// that the router has; the whole document is read from the platform's key-value store, called the
// store here, only if no agent does so in time.
//
// The router watches the store for endpoints only, so that they wait for no document. A revision of
// the store that this watch does not deliver may be a new version of the routes.
package feed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilreach/core/delta"
	"chervilreach/core/epoch"
	"chervilreach/core/route"
)

const (
	// agentLead is how long agents may take to send a new version before they are asked for it, and a
	// small document is read from the store. It covers the pause between two watches of an agent.
	agentLead = 300 * time.Millisecond
	// askInterval is the interval at which agents are asked, and largeLead how long before a large
	// document is read. Agents that watch the store can tell within that time that there is nothing new.
	askInterval = 300 * time.Millisecond
	largeLead   = 1500 * time.Millisecond
	// largeDocument is the size in bytes from which a document is large: reading it takes 50 ms of a
	// link of 10 Mbit/s.
	largeDocument = 64 << 10
	// minReadInterval and maxReadInterval bound the interval between two reads of the store that
	// found nothing new. It doubles up to the maximum, so that a store whose revision rises for
	// other reasons causes little load.
	minReadInterval = 300 * time.Millisecond
	maxReadInterval = 8 * time.Second
	// watchDelay is how much longer than its pause and its wait a watch of the endpoints may take.
	watchDelay = 500 * time.Millisecond
	// checkInterval is how often Run checks whether the store must be read.
	checkInterval = 50 * time.Millisecond
)

// ErrNoDocument means that deltas have come for a router without a document.
var ErrNoDocument = errors.New("no document to apply deltas to")

// Options configure a Feed. All fields are required.
type Options struct {
	// Decode decodes the document of the routes. The document is not changed afterwards. Decode is
	// not called concurrently.
	Decode func(document []byte) (*route.Table, error)
	// Adopt puts routes in force unless newer ones are.
	Adopt func(t *route.Table, source string, readAt time.Time)
	// AgentsConnected reports whether an agent may send routes.
	AgentsConnected func() bool
	// AskAgents asks agents for a newer version, or up to which revision there is none. It does not
	// block.
	AskAgents func()
	// ReadStore starts a read of the document from the store. StoreRead is called when it has
	// succeeded, after Offer if the document has changed.
	ReadStore func()
	// OnSkipped is called if the store's revision has risen for another reason than a new version of
	// the routes. The watch of the endpoints may have skipped a change. It must not block.
	OnSkipped func()
	// WatchCycle is the time that a watch of the endpoints and the pause before it take: a version
	// may have come from an agent as long before its revision is known to be unseen.
	WatchCycle time.Duration
	Log        zerolog.Logger
}

// Feed has the current document of the routes. Its methods may be called concurrently.
type Feed struct {
	opts Options

	mu       sync.Mutex
	document []byte
	version  int64
	// knownRevision is a revision of the store at which the document was the newest.
	knownRevision epoch.Revision
	// unseenRevision is a revision at which there may be a newer one, unseenAt the time since which
	// that is known. wantedVersion is a version that an agent has.
	unseenRevision epoch.Revision
	unseenAt       time.Time
	wantedVersion  int64
	// adoptedAt is the time of the last adoption.
	adoptedAt time.Time
	// askedAt is the time at which agents were last asked.
	askedAt time.Time
	// reading reports whether a read of the store is in progress, readVersion the version before it.
	reading     bool
	readVersion int64
	// nextReadAt is the earliest time of the next read, readInterval the last interval between two
	// reads that found nothing new.
	nextReadAt   time.Time
	readInterval time.Duration
	// skipDue reports whether OnSkipped must be called, nextSkipAt the earliest time of that. The
	// interval between two calls doubles as readInterval does.
	skipDue      bool
	nextSkipAt   time.Time
	skipInterval time.Duration
}

// New returns a feed without a document. The first read of the store must have been started.
func New(opts Options) *Feed { return &Feed{opts: opts, reading: true} }

// Version returns the version of the document; 0 if there is none.
func (f *Feed) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Offer adopts a document unless it is as old as the current one. revision is a revision of the store
// at which it was the newest; zero if unknown. The document must not be changed afterwards.
func (f *Feed) Offer(document []byte, source string, revision epoch.Revision, readAt time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offer(document, source, revision, readAt)
}

func (f *Feed) offer(document []byte, source string, revision epoch.Revision, readAt time.Time) error {
	table, err := f.opts.Decode(document)
	if err != nil {
		return fmt.Errorf("routes from %s: %w", source, err)
	}
	if table.Version < f.version {
		return nil
	}
	if table.Version == f.version {
		f.settle(revision)
		return nil
	}
	f.document, f.version, f.adoptedAt = document, table.Version, time.Now()
	f.settle(revision)
	f.opts.Adopt(table, source, readAt)
	return nil
}

// OfferDeltas adopts the version to which deltas lead from the current one. Deltas from or to older
// versions are ignored. Errors wrap ErrNoDocument or delta.ErrMismatch, or are those of Decode.
func (f *Feed) OfferDeltas(list []delta.Delta, source string, revision epoch.Revision, readAt time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version == 0 {
		return ErrNoDocument
	}
	document, version := f.document, f.version
	for _, d := range list {
		if d.From != version {
			continue
		}
		var err error
		if document, err = d.Apply(document); err != nil {
			return fmt.Errorf("routes from %s: %w", source, err)
		}
		version = d.To
	}
	if version == f.version {
		return nil
	}
	return f.offer(document, source, revision, readAt)
}

// Confirm notes that a version was the newest one at a revision of the store.
func (f *Feed) Confirm(version int64, revision epoch.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version == f.version {
		f.settle(revision)
	}
}

// settle notes that the document is the newest at a revision of the store. If that is why there is no
// unseen revision any more, and no version has been adopted around the time at which it became known,
// it was one of something else.
func (f *Feed) settle(revision epoch.Revision) {
	wasUnseen := f.unseenRevision.After(f.knownRevision)
	f.knownRevision = epoch.Latest(f.knownRevision, revision)
	if wasUnseen && !f.unseenRevision.After(f.knownRevision) && f.adoptedAt.Before(f.unseenAt.Add(-f.opts.WatchCycle-watchDelay)) {
		f.skipDue = true
	}
}

// UnseenRevision returns a revision of the store at which there may be a newer version; zero if there is
// none.
func (f *Feed) UnseenRevision() epoch.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.unseenRevision.After(f.knownRevision) {
		return epoch.Revision{}
	}
	return f.unseenRevision
}

// Unseen notes a revision of the store at which there may be a newer version.
func (f *Feed) Unseen(revision epoch.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !revision.After(f.unseenRevision) {
		return
	}
	if !f.unseenRevision.After(f.knownRevision) {
		f.unseenAt = time.Now()
	}
	f.unseenRevision = revision
}

// Want notes a version that an agent has and has not sent in time.
func (f *Feed) Want(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wantedVersion = max(f.wantedVersion, version)
}

// StoreRead notes that a read of the store has ended. Unless it called Offer, the document has not
// changed up to the revision.
func (f *Feed) StoreRead(revision epoch.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = false
	f.settle(revision)
	if f.version > f.readVersion {
		f.readInterval, f.nextReadAt = 0, time.Time{}
		return
	}
	f.nextReadAt, f.readInterval = backOff(time.Now(), f.nextReadAt, f.readInterval)
}

// backOff returns the time until which something that has been done in vain is not done again, and the
// interval, which is twice the last one unless that is over for long.
func backOff(now, lastUntil time.Time, interval time.Duration) (time.Time, time.Duration) {
	if now.Sub(lastUntil) > maxReadInterval {
		interval = 0
	}
	interval = min(max(2*interval, minReadInterval), maxReadInterval)
	return now.Add(interval), interval
}

// Run reads the store when it must be read, until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.readIfDue(now)
		}
	}
}

// readIfDue asks the agents or reads the store if a newer version is wanted or may be there.
func (f *Feed) readIfDue(now time.Time) {
	ask, read := f.due(now)
	if ask {
		f.opts.AskAgents()
	}
	if f.takeSkip(now) {
		f.opts.OnSkipped()
	}
	if read {
		f.opts.ReadStore()
	}
}

// due reports whether the agents must be asked and the store must be read.
func (f *Feed) due(now time.Time) (ask, read bool) {
	agents := f.opts.AgentsConnected()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading {
		return false, false
	}
	unseen := f.unseenRevision.After(f.knownRevision)
	if unseen && agents {
		ask = !now.Before(f.unseenAt.Add(agentLead)) && !now.Before(f.askedAt.Add(askInterval))
		unseen = !now.Before(f.unseenAt.Add(f.lead()))
	}
	if ask {
		f.askedAt = now
	}
	if now.Before(f.nextReadAt) || !unseen && f.wantedVersion <= f.version {
		return ask, false
	}
	f.opts.Log.Info().Int64("version", f.version).Int64("wanted", f.wantedVersion).Stringer("revision", f.knownRevision).
		Stringer("unseen", f.unseenRevision).Msg("reading routes from the store")
	f.reading, f.readVersion = true, f.version
	return ask, true
}

// takeSkip reports whether OnSkipped must be called now, and notes that it is.
func (f *Feed) takeSkip(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.skipDue || now.Before(f.nextSkipAt) {
		return false
	}
	f.skipDue = false
	f.nextSkipAt, f.skipInterval = backOff(now, f.nextSkipAt, f.skipInterval)
	return true
}

// lead returns how long agents may take to send a new version before the store is read.
func (f *Feed) lead() time.Duration {
	if len(f.document) > largeDocument {
		return largeLead
	}
	return agentLead
}
