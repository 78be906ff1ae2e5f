// Package bodies reads the bodies of requests into an amount of memory that all of them share.
//
// Clients decide how much they send and when, so that memory is reserved before bytes are kept, as a body grows. If
// there is no room, a body that has been read for long makes way, and the last eighth of the memory is for the
// beginnings of bodies, so that short ones find room whoever holds the rest.
package bodies

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Errors that callers test with errors.Is.
var (
	// ErrNoRoom means that the memory for bodies is used up, or that the body had to make way for others. The request
	// may be repeated.
	ErrNoRoom = errors.New("no memory for the body")
	// ErrTooLong means that the body exceeds its limit.
	ErrTooLong = errors.New("body too long")
)

const (
	// minReadTime is how long a body is read before it makes way for a longer one.
	minReadTime = time.Second
	// firstBytes is the memory that is reserved for the beginning of a body.
	firstBytes = 4 << 10
	// shortBytes is the largest part of a body that may use the memory reserved for beginnings, which is a
	// beginningsShare-th of all.
	shortBytes      = 16 << 10
	beginningsShare = 8
)

// Budget is the memory for the bodies of all requests of a process. Its methods may be called concurrently.
type Budget struct {
	onEvict func()

	mu          sync.Mutex
	total, used int64
	// incoming are the bodies that are being read, oldest first.
	incoming []*Body
}

// New returns a budget of total bytes. onEvict is called for each body that makes way for others.
func New(total int64, onEvict func()) *Budget { return &Budget{total: total, onEvict: onEvict} }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Body is the body of one request. Its memory is reserved until Release.
type Body struct {
	budget *Budget
	data   []byte
	// reserved is the memory reserved in the budget. The fields below are guarded by the budget, too.
	reserved int64
	// settledAt is the time from which the body may make way for longer ones.
	settledAt time.Time
	// abort ends the read in progress.
	abort   func()
	evicted bool
}

// Bytes returns the bytes that were read.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Release gives the memory of a body back. It does nothing if b is nil.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.forget(b)
}

// Read reads a body to its end. length is its length, negative if unknown, and limit the largest allowed. abort, which may
// be called from any goroutine and more than once, must end a read of r in progress. Read returns the errors of r, or
// errors that wrap ErrNoRoom or ErrTooLong, without a body.
func (b *Budget) Read(r io.Reader, length, limit int64, abort func()) (*Body, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLong, length, limit)
	}
	most := limit + 1
	if length >= 0 {
		most = length
	}
	body := &Body{budget: b, settledAt: time.Now().Add(minReadTime), abort: abort}
	b.mu.Lock()
	b.incoming = append(b.incoming, body)
	b.mu.Unlock()
	err := body.read(r, most)
	if err == nil && int64(len(body.data)) > limit {
		err = fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
	}
	if !b.end(body) {
		return nil, fmt.Errorf("%w: it made way for others", ErrNoRoom)
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// read reads at most the given number of bytes.
func (b *Body) read(r io.Reader, most int64) error {
	for int64(len(b.data)) < most {
		if len(b.data) == cap(b.data) {
			if err := b.grow(min(max(2*int64(cap(b.data)), firstBytes), most)); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow reserves and allocates memory for size bytes.
func (b *Body) grow(size int64) error {
	before := int64(cap(b.data))
	if err := b.budget.reserve(b, size); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	b.budget.unreserve(b, before)
	return nil
}

// reserve reserves n more bytes for a body that is being read.
func (b *Budget) reserve(body *Body, n int64) error {
	b.mu.Lock()
	var aborts []func()
	defer func() {
		b.mu.Unlock()
		for _, abort := range aborts {
			b.onEvict()
			abort()
		}
	}()
	if body.evicted {
		return ErrNoRoom
	}
	short := n <= shortBytes
	room := b.total
	if !short {
		room -= b.total / beginningsShare
	}
	for b.used+n > room {
		victim := b.victim(short)
		if victim == nil || victim == body {
			return ErrNoRoom
		}
		b.forget(victim)
		victim.evicted = true
		aborts = append(aborts, victim.abort)
	}
	b.used += n
	body.reserved += n
	return nil
}

// victim returns the body that makes way: the one that holds most for the beginning of a body, otherwise the oldest that
// has had its time to be read; nil if there is none.
func (b *Budget) victim(short bool) *Body {
	if len(b.incoming) == 0 {
		return nil
	}
	if short {
		return slices.MaxFunc(b.incoming, func(x, y *Body) int { return int(x.reserved - y.reserved) })
	}
	if oldest := b.incoming[0]; !time.Now().Before(oldest.settledAt) {
		return oldest
	}
	return nil
}

func (b *Budget) unreserve(body *Body, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.evicted {
		return
	}
	b.used -= n
	body.reserved -= n
}

// end ends the read of a body. It reports whether the body still has its memory.
func (b *Budget) end(body *Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incoming = slices.DeleteFunc(b.incoming, func(o *Body) bool { return o == body })
	return !body.evicted
}

// forget gives back what is reserved for a body. The caller holds b.mu.
func (b *Budget) forget(body *Body) {
	b.used -= body.reserved
	body.reserved = 0
	b.incoming = slices.DeleteFunc(b.incoming, func(o *Body) bool { return o == body })
}
