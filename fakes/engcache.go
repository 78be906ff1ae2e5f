package fakes

import (
	"container/list"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
	"chervilreach/io/engine"
)

const (
	// blockTokens is the number of prompt tokens in a block of the prefix cache.
	blockTokens = 16
	// cacheEventBacklog is the number of cache events that are always kept for slow
	// readers. A reader that is further behind may miss events.
	cacheEventBacklog = 1024
	// keepAliveInterval is the interval between keep-alive comments on an event stream.
	keepAliveInterval = 500 * time.Millisecond
)

// cacheBlock is one block of the prefix cache. Its hash covers the model, the adapter and
// the prompt from its start to the end of the block.
type cacheBlock struct {
	model fleet.ModelID
	hash  uint64
}

// timedCacheEvent is a cache event with the time when it occurred.
type timedCacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// prefixCache is an LRU cache of prompt blocks that publishes its changes as events. It is
// guarded by Engine.mu.
type prefixCache struct {
	maxBlocks int
	// blocks indexes the elements of lru by block hash. The front of lru is the most
	// recently used block.
	blocks map[uint64]*list.Element
	lru    *list.List
	// seq is the sequence number of the last event.
	seq    uint64
	events []timedCacheEvent
	// changed is closed and replaced with each event.
	changed chan struct{}
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{
		maxBlocks: maxBlocks,
		blocks:    make(map[uint64]*list.Element),
		lru:       list.New(),
		changed:   make(chan struct{}),
	}
}

// insert adds the blocks of a prompt for a target and returns the number of leading prompt
// tokens that were already cached. A last block that is not full is not cached.
func (c *prefixCache) insert(target fleet.Target, words []string) int {
	cached, hit := 0, true
	hash := xxhash.New()
	_, _ = hash.WriteString(string(target.Model) + ":" + string(target.Adapter))
	for len(words) >= blockTokens {
		_, _ = hash.WriteString(strings.Join(words[:blockTokens], " ") + " ")
		words = words[blockTokens:]
		sum := hash.Sum64()
		el, ok := c.blocks[sum]
		if hit = hit && ok; hit {
			cached += blockTokens
		}
		if ok {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[sum] = c.lru.PushFront(cacheBlock{model: target.Model, hash: sum})
		c.publish(engine.CacheStored, cacheBlock{model: target.Model, hash: sum})
		c.evict()
	}
	return cached
}

// evict removes the least recently used blocks that exceed maxBlocks.
func (c *prefixCache) evict() {
	for c.lru.Len() > c.maxBlocks {
		last, ok := c.lru.Remove(c.lru.Back()).(cacheBlock)
		if !ok {
			return
		}
		delete(c.blocks, last.hash)
		c.publish(engine.CacheEvicted, last)
	}
}

// publish records an event and wakes the event streams.
func (c *prefixCache) publish(kind engine.CacheEventKind, b cacheBlock) {
	c.seq++
	event := engine.CacheEvent{Seq: c.seq, Kind: kind, Model: b.model, Prefix: b.hash}
	c.events = append(c.events, timedCacheEvent{at: time.Now(), event: event})
	if len(c.events) > 2*cacheEventBacklog {
		c.events = slices.Clone(c.events[cacheEventBacklog:])
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// eventsSince returns the kept events after sequence number seq that are at least age old.
// Events that are no longer kept are omitted.
func (c *prefixCache) eventsSince(seq uint64, age time.Duration) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, entry := range c.events[len(c.events)-int(min(uint64(len(c.events)), c.seq-seq)):] {
		if time.Since(entry.at) >= age {
			events = append(events, entry.event)
		}
	}
	return events
}

// serveCacheEvents streams the changes of the prefix cache that occur after the request,
// with the faults CacheEventDelay and CacheEventDropEvery applied.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	out := newEventWriter(w)
	e.mu.Lock()
	inst := e.instance
	seq := inst.cache.seq
	e.mu.Unlock()
	idle := time.NewTicker(keepAliveInterval)
	defer idle.Stop()
	for {
		e.mu.Lock()
		faults, changed, events := e.faults, inst.cache.changed, inst.cache.eventsSince(seq, e.faults.CacheEventDelay)
		e.mu.Unlock()
		for _, ev := range events {
			seq = ev.Seq
			if n := faults.CacheEventDropEvery; n > 0 && ev.Seq%uint64(n) == 0 {
				continue
			}
			out.writeCacheEvent(ev)
		}
		select {
		case <-changed:
		case <-idle.C:
			out.writeKeepAlive()
		case <-r.Context().Done():
			return
		case <-inst.ctx.Done():
			abortHandler()
		}
	}
}

// eventWriter writes server-sent events and flushes after each.
type eventWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

// newEventWriter sends the response header of an event stream.
func newEventWriter(w http.ResponseWriter) *eventWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	out := &eventWriter{w: w, rc: http.NewResponseController(w)}
	w.WriteHeader(http.StatusOK)
	_ = out.rc.Flush()
	return out
}

// write sends an event that is already encoded.
func (out *eventWriter) write(event []byte) {
	_, _ = out.w.Write(event)
	_ = out.rc.Flush()
}

func (out *eventWriter) writeKeepAlive() {
	out.write([]byte(": keep-alive\n\n"))
}

// writeCacheEvent sends ev with its sequence number as event ID.
func (out *eventWriter) writeCacheEvent(ev engine.CacheEvent) {
	raw, err := json.Marshal(ev)
	if err != nil {
		return
	}
	out.write(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", ev.Seq, raw))
}
