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
	// blockTokens is the size of a block of the prefix cache, in tokens.
	blockTokens = 16
	// keptCacheEvents bounds the events that a slow reader can fall behind.
	cacheEventBacklog = 1024
	// keepAliveEvery is the time between comments on idle event streams.
	keepAliveInterval = 500 * time.Millisecond
)

// block is one cached block; its hash covers the prompt up to its end.
type cacheBlock struct {
	model fleet.ModelID
	hash  uint64
}

// cacheEntry is one event with the time at which it happened.
type timedCacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// prefixCache keeps the blocks of prompts that were used last. It is guarded
// by Engine.mu.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	lru       *list.List
	seq       uint64
	events    []timedCacheEvent
	changed   chan struct{}
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{
		maxBlocks: maxBlocks,
		blocks:    make(map[uint64]*list.Element),
		lru:       list.New(),
		changed:   make(chan struct{}),
	}
}

// use takes in a prompt and returns how many of its first tokens were cached.
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

// evict drops the blocks beyond the limit that were not used for longest.
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

// since returns the events after a sequence number that are old enough; what
// is no longer kept is lost.
func (c *prefixCache) eventsSince(seq uint64, age time.Duration) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, entry := range c.events[len(c.events)-int(min(uint64(len(c.events)), c.seq-seq)):] {
		if time.Since(entry.at) >= age {
			events = append(events, entry.event)
		}
	}
	return events
}

// serveCacheEvents streams the changes of the prefix cache from now on.
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
		faults, changed, events := e.faults, inst.cache.changed, inst.cache.eventsSince(seq, e.faults.CacheDelay)
		e.mu.Unlock()
		for _, ev := range events {
			seq = ev.Seq
			if n := faults.CacheDropEvery; n > 0 && ev.Seq%uint64(n) == 0 {
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

// eventWriter writes server-sent events.
type eventWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	out := &eventWriter{w: w, rc: http.NewResponseController(w)}
	w.WriteHeader(http.StatusOK)
	_ = out.rc.Flush()
	return out
}

func (out *eventWriter) write(event []byte) {
	_, _ = out.w.Write(event)
	_ = out.rc.Flush()
}

func (out *eventWriter) writeKeepAlive() {
	out.write([]byte(": keep-alive\n\n"))
}

func (out *eventWriter) writeCacheEvent(ev engine.CacheEvent) {
	raw, err := json.Marshal(ev)
	if err != nil {
		return
	}
	out.write(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", ev.Seq, raw))
}
