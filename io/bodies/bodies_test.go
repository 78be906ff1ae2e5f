package bodies

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const total = 1 << 20

// stalled is a body that stops after some bytes until it is aborted.
type stalled struct {
	io.Reader
	aborted chan struct{}
	once    sync.Once
}

var errAborted = errors.New("aborted")

func newStalled(sent int) *stalled {
	return &stalled{Reader: bytes.NewReader(make([]byte, sent)), aborted: make(chan struct{})}
}

func (s *stalled) Read(p []byte) (int, error) {
	if n, err := s.Reader.Read(p); n > 0 {
		return n, nil
	} else if !errors.Is(err, io.EOF) {
		return n, err
	}
	<-s.aborted
	return 0, errAborted
}

func (s *stalled) abort() { s.once.Do(func() { close(s.aborted) }) }

// holders starts reads of bodies that stop after the given number of bytes, and returns their results. It returns when
// all have what they get.
func holders(t *testing.T, b *Budget, count, sent int, length int64) <-chan error {
	t.Helper()
	results := make(chan error, count)
	var list []*stalled
	for range count {
		s := newStalled(sent)
		list = append(list, s)
		go func() {
			_, err := b.Read(s, length, total, s.abort)
			results <- err
		}()
	}
	t.Cleanup(func() {
		for _, s := range list {
			s.abort()
		}
	})
	waitForReads(b, count, results)
	return results
}

// waitForReads waits until count bodies are being read, or were refused, and hold what they will.
func waitForReads(b *Budget, count int, results <-chan error) {
	for before := int64(-1); ; time.Sleep(20 * time.Millisecond) {
		b.mu.Lock()
		begun, used := len(b.incoming)+len(results), b.used
		b.mu.Unlock()
		if begun >= count && used == before && used > 0 {
			return
		}
		before = used
	}
}

func newBudget() (*Budget, *atomic.Int64) {
	evicted := new(atomic.Int64)
	return New(total, func() { evicted.Add(1) }), evicted
}

func ignoreAbort() {}

func TestRead(t *testing.T) {
	for name, c := range map[string]struct {
		sent   int
		length int64
		limit  int64
		want   error
	}{
		"empty":              {0, -1, 100, nil},
		"short":              {100, 100, 100, nil},
		"short, in chunks":   {100, -1, 100, nil},
		"long":               {300_000, 300_000, 300_000, nil},
		"long, in chunks":    {300_000, -1, 300_000, nil},
		"announced too long": {0, 101, 100, ErrTooLong},
		"too long":           {101, -1, 100, ErrTooLong},
		"more than all":      {total, total, total, ErrNoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			for kind, r := range map[string]io.Reader{
				"at once": bytes.NewReader(make([]byte, c.sent)),
				"pieces":  iotest.HalfReader(bytes.NewReader(make([]byte, c.sent))),
			} {
				b, _ := newBudget()
				body, err := b.Read(r, c.length, c.limit, ignoreAbort)
				require.ErrorIs(t, err, c.want, kind)
				if err == nil {
					assert.Len(t, body.Bytes(), c.sent, kind)
					assert.GreaterOrEqual(t, b.Used(), int64(c.sent), kind)
				}
				body.Release()
				assert.Zero(t, b.Used(), kind)
			}
		})
	}
}

// What bodies announce takes no memory, only what they send.
func TestSilentBodiesTakeLittleMemory(t *testing.T) {
	b, _ := newBudget()
	results := holders(t, b, 100, 1, total)
	assert.Empty(t, results)
	assert.LessOrEqual(t, b.Used(), int64(100*firstBytes))
}

func TestMemoryIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		sent   int
		length int64
	}{
		"short of the end":            {total/4 - 1, total / 4},
		"short of the end, in chunks": {total/4 - 1, -1},
		"short bodies":                {3000, -1},
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := newBudget()
			results := holders(t, b, 1000, c.sent, c.length)
			assert.LessOrEqual(t, b.Used(), int64(total))
			assert.NotEmpty(t, results)
			for range len(results) {
				require.ErrorIs(t, <-results, ErrNoRoom)
			}
		})
	}
}

// Short bodies find room at once, whoever holds the rest.
func TestShortBodiesFindRoom(t *testing.T) {
	for name, sent := range map[string]int{"beside long ones": total/4 - 1, "beside short ones": shortBytes - 1} {
		t.Run(name, func(t *testing.T) {
			b, _ := newBudget()
			holders(t, b, 500, sent, -1)
			for range 200 {
				body, err := b.Read(bytes.NewReader(make([]byte, 3000)), -1, total, ignoreAbort)
				require.NoError(t, err)
				body.Release()
			}
		})
	}
}

// A long body takes the place of the oldest one that has had its time, not of one that came just before.
func TestLongBodyTakesPlaceOfOldest(t *testing.T) {
	b, evicted := newBudget()
	for n := range 3 {
		holders(t, b, 1, total/4-1, total/4)
		require.Equal(t, int64((n+1)*total/4), b.Used())
	}
	long := bytes.NewReader(make([]byte, total/4))
	_, err := b.Read(long, total/4, total, ignoreAbort)
	require.ErrorIs(t, err, ErrNoRoom)
	b.mu.Lock()
	for _, o := range b.incoming {
		o.settledAt = time.Now()
	}
	evicted.Store(0)
	b.mu.Unlock()
	body, err := b.Read(bytes.NewReader(make([]byte, total/4)), total/4, total, ignoreAbort)
	require.NoError(t, err)
	assert.Positive(t, evicted.Load())
	assert.LessOrEqual(t, b.Used(), int64(total))
	body.Release()
}

// Bodies that are read to their end keep their memory until they are released, and make way for none.
func TestWholeBodiesKeepTheirMemory(t *testing.T) {
	b, _ := newBudget()
	var list []*Body
	for {
		body, err := b.Read(bytes.NewReader(make([]byte, total/4)), total/4, total, ignoreAbort)
		if err != nil {
			require.ErrorIs(t, err, ErrNoRoom)
			break
		}
		list = append(list, body)
	}
	require.NotEmpty(t, list)
	short, err := b.Read(bytes.NewReader(make([]byte, 3000)), 3000, total, ignoreAbort)
	require.NoError(t, err, "the last eighth is for the beginnings of bodies")
	for _, body := range append(list, short) {
		body.Release()
		body.Release()
	}
	assert.Zero(t, b.Used())
}

func ExampleBudget_Read() {
	b := New(total, func() {})
	body, err := b.Read(bytes.NewReader([]byte("hi")), 2, 100, ignoreAbort)
	if err != nil {
		return
	}
	defer body.Release()
}
