package line

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
)

// Subscription delivers the entries that are recorded after it was created. The recorder
// does not wait for its reader: if the buffer is full, it closes the subscription.
type Subscription struct {
	recorder *Recorder
	entries  chan Entry
	overrun  bool
	once     sync.Once
}

// Subscribe returns a subscription with a buffer of n entries. If the header is recorded
// already, it is the first entry. n must be greater than 0. The caller must call Close
// or Copy.
func (r *Recorder) Subscribe(n int) *Subscription {
	s := &Subscription{recorder: r, entries: make(chan Entry, n)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, s)
	if r.headerEntry.Value != nil {
		s.entries <- r.headerEntry
	}
	return s
}

// publish delivers an entry to all subscriptions and closes those whose buffer is full.
// The caller holds r.mu.
func (r *Recorder) publish(entry Entry) {
	if len(r.subscribers) == 0 {
		return
	}
	r.subscribers = slices.DeleteFunc(r.subscribers, func(s *Subscription) bool {
		select {
		case s.entries <- entry:
			return false
		default:
		}
		s.overrun = true
		close(s.entries)
		r.counter(counterOverrun).Inc(1)
		return true
	})
}

// Close ends the subscription. Entries that were recorded before can still be read.
// Close may be called several times.
func (s *Subscription) Close() {
	s.once.Do(func() {
		s.recorder.mu.Lock()
		defer s.recorder.mu.Unlock()
		if s.overrun {
			return
		}
		s.recorder.subscribers = slices.DeleteFunc(s.recorder.subscribers, func(other *Subscription) bool { return other == s })
		close(s.entries)
	})
}

// Copy writes the entries to w as lines of JSON until the context ends or the
// subscription is closed, including all entries recorded by then. It then closes the
// subscription. It returns ErrOverrun if w was too slow.
func (s *Subscription) Copy(ctx context.Context, w io.Writer) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	defer s.Close()
	enc := json.NewEncoder(w)
	for entry := range s.entries {
		line, err := s.recorder.Line(entry)
		if err != nil {
			return err
		}
		if err := enc.Encode(line); err != nil {
			return fmt.Errorf("write time line: %w", err)
		}
	}
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	if s.overrun {
		return ErrOverrun
	}
	return nil
}
