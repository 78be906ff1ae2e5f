package routed

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"chervilreach/io/wire/wirepb"
)

// sink is a front.Sink that records the payload it receives. If release is set, Chunk
// closes blocked and then waits until release is closed.
type sink struct {
	received string
	blocked  chan struct{}
	release  chan struct{}
}

// Begin implements front.Sink.
func (*sink) Begin(int, string) error { return nil }

// Chunk implements front.Sink.
func (s *sink) Chunk(payload []byte) error {
	if s.release != nil {
		close(s.blocked)
		<-s.release
	}
	s.received += string(payload)
	return nil
}

// chunksFrom returns one chunk for each letter, the first of them at the given offset.
func chunksFrom(offset uint64, letters string) []*wirepb.Data {
	var out []*wirepb.Data
	for i, letter := range letters {
		out = append(out, &wirepb.Data{Offset: offset + uint64(i), Payload: []byte(string(letter))})
	}
	return out
}

// TestDeliver delivers chunks to a caller that already has "abc" from an earlier exchange.
func TestDeliver(t *testing.T) {
	tests := map[string]struct {
		exchangeID uint64
		rerun      bool
		chunks     []*wirepb.Data
		want       deliveryResult
		received   string
	}{
		"next chunks":                   {2, false, chunksFrom(3, "de"), delivered, "abcde"},
		"known chunks":                  {2, false, chunksFrom(0, "abc"), skipped, "abc"},
		"known and next chunks":         {2, false, chunksFrom(1, "bcd"), delivered, "abcd"},
		"next chunk missing":            {2, false, chunksFrom(4, "e"), gap, "abc"},
		"gap after the next chunk":      {2, false, append(chunksFrom(3, "d"), chunksFrom(5, "f")...), delivered, "abcd"},
		"superseded exchange":           {1, false, chunksFrom(3, "d"), stale, "abc"},
		"rerun":                         {2, true, chunksFrom(0, "abcd"), delivered, "abcd"},
		"rerun with a different answer": {2, true, chunksFrom(0, "abXd"), diverged, "abc"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			out := &sink{}
			ac := &activeCall{out: out, hash: xxhash.New(), exchangeID: 1}
			require.Equal(t, deliveredFirst, ac.deliver(1, nil, chunksFrom(0, "abc")))
			ac.startOffer(2)
			var check *rerunCheck
			if test.rerun {
				check = &rerunCheck{hash: xxhash.New()}
			}
			require.Equal(t, test.want, ac.deliver(test.exchangeID, check, test.chunks))
			require.Equal(t, test.received, out.received)
		})
	}
}

// TestSlowCaller checks that effects of the reducer don't block while a caller does not
// read, and that its chunks still arrive once and in order when it reads again.
func TestSlowCaller(t *testing.T) {
	out := &sink{blocked: make(chan struct{}), release: make(chan struct{})}
	ac := &activeCall{out: out, hash: xxhash.New(), exchangeID: 1}
	done := make(chan deliveryResult)
	go func() { done <- ac.deliver(1, nil, chunksFrom(0, "a")) }()
	<-out.blocked
	ac.startOffer(2)
	ac.startTombstone(3)
	require.Nil(t, ac.takeStream(3))
	require.False(t, ac.withdraw(2))
	close(out.release)
	require.Equal(t, deliveredFirst, <-done)
	out.release = nil
	require.Equal(t, uint64(1), ac.nextOffset())
	require.Equal(t, skipped, ac.deliver(3, nil, chunksFrom(0, "a")))
	require.Equal(t, delivered, ac.deliver(3, nil, chunksFrom(1, "b")))
	require.Equal(t, "ab", out.received)
}
