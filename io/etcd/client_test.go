package etcd_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/fakes"
	"chervilreach/io/etcd"
)

var addr = netip.MustParseAddrPort("127.0.0.1:2379")

// start runs a key-value service and returns it with a client. Both are closed when
// the test ends.
func start(t *testing.T, opts fakes.KVOptions) (*fakes.KV, *etcd.Client) {
	t.Helper()
	kv := fakes.NewKV(opts)
	network := &fakes.Net{}
	require.NoError(t, kv.StartIn(network, addr))
	client := etcd.New([]netip.AddrPort{addr}, etcd.Options{Dial: network.Dial})
	t.Cleanup(func() {
		client.Close()
		kv.Close()
		synctest.Wait()
	})
	return kv, client
}

// TestWriteComparesRevisions checks that a transaction is applied only if every key has the
// revision that its put expects.
func TestWriteComparesRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := start(t, fakes.KVOptions{})
		ctx := t.Context()
		rev, err := client.Write(ctx, []etcd.Put{{Key: "/a", Value: []byte("1")}, {Key: "/b", Value: []byte("2")}})
		require.NoError(t, err)
		_, err = client.Write(ctx, []etcd.Put{{Key: "/a", Value: []byte("3"), ExpectRevision: rev}, {Key: "/b", Value: []byte("4")}})
		require.ErrorIs(t, err, etcd.ErrConflict)

		entries, at, err := client.List(ctx, "/")
		require.NoError(t, err)
		require.Equal(t, rev, at)
		require.Equal(t, []etcd.Entry{
			{Key: "/a", Value: []byte("1"), Revision: rev},
			{Key: "/b", Value: []byte("2"), Revision: rev},
		}, entries)

		_, err = client.Write(ctx, []etcd.Put{{Key: "/a", ExpectRevision: rev, Delete: true}})
		require.NoError(t, err)
		_, err = client.Get(ctx, "/a")
		require.ErrorIs(t, err, etcd.ErrNotFound)
	})
}

// TestFaults checks the errors of a read and a write for each fault of the service, and whether
// the write was applied.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		faults    fakes.KVFaults
		readErr   error
		writeErr  error
		wantWrite bool
	}{
		"outage":      {faults: fakes.KVFaults{Outage: true}, readErr: etcd.ErrUnavailable, writeErr: etcd.ErrOutcomeUnknown},
		"refuse":      {faults: fakes.KVFaults{Refuse: true}, readErr: etcd.ErrUnavailable, writeErr: etcd.ErrUnavailable},
		"silent":      {faults: fakes.KVFaults{Silent: true}, readErr: etcd.ErrUnavailable, writeErr: etcd.ErrOutcomeUnknown},
		"slow":        {faults: fakes.KVFaults{Delay: time.Minute}, readErr: etcd.ErrUnavailable, writeErr: etcd.ErrOutcomeUnknown},
		"lost answer": {faults: fakes.KVFaults{LoseWriteAnswers: 1}, writeErr: etcd.ErrOutcomeUnknown, wantWrite: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv, client := start(t, fakes.KVOptions{})
				rev, err := client.Write(t.Context(), []etcd.Put{{Key: "/a", Value: []byte("old")}})
				require.NoError(t, err)

				kv.SetFaults(tc.faults)
				_, err = client.Get(t.Context(), "/a")
				require.ErrorIs(t, err, tc.readErr)
				_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a", Value: []byte("new"), ExpectRevision: rev}})
				require.ErrorIs(t, err, tc.writeErr)

				kv.SetFaults(fakes.KVFaults{})
				entry, err := client.Get(t.Context(), "/a")
				require.NoError(t, err)
				want := "old"
				if tc.wantWrite {
					want = "new"
				}
				require.Equal(t, want, string(entry.Value))
			})
		})
	}
}

// TestStaleReads checks the fault StaleReads of the fake service: a read returns the value that
// the key had when the fault was set.
func TestStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, client := start(t, fakes.KVOptions{})
		rev, err := client.Write(t.Context(), []etcd.Put{{Key: "/a", Value: []byte("old")}})
		require.NoError(t, err)
		kv.SetFaults(fakes.KVFaults{StaleReads: true})
		_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a", Value: []byte("new"), ExpectRevision: rev}})
		require.NoError(t, err)
		entry, err := client.Get(t.Context(), "/a")
		require.NoError(t, err)
		require.Equal(t, "old", string(entry.Value))
	})
}

// TestWatchFromRevision checks that a watch that starts at a past revision delivers all later
// changes.
func TestWatchFromRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := start(t, fakes.KVOptions{})
		rev, err := client.Write(t.Context(), []etcd.Put{{Key: "/a", Value: []byte("1")}})
		require.NoError(t, err)
		next, err := client.Write(t.Context(), []etcd.Put{{Key: "/a", ExpectRevision: rev, Delete: true}})
		require.NoError(t, err)

		ctx, cancel := context.WithCancel(t.Context())
		var got []etcd.Change
		err = client.Watch(ctx, "/", rev, func(changes []etcd.Change) {
			got = append(got, changes...)
			if len(got) == 2 {
				cancel()
			}
		})
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, []etcd.Change{
			{Entry: etcd.Entry{Key: "/a", Value: []byte("1"), Revision: rev}},
			{Entry: etcd.Entry{Key: "/a", Revision: next}, Deleted: true},
		}, got)
		require.EqualValues(t, 1, client.CallCounts().Watch)
	})
}

// TestWatchEnds checks the error with which a watch ends after each fault of the service, and
// the time until then.
func TestWatchEnds(t *testing.T) {
	cases := map[string]struct {
		faults fakes.KVFaults
		want   error
		after  time.Duration
	}{
		"silent watch": {faults: fakes.KVFaults{SilentWatch: true}, want: etcd.ErrIdleTimeout, after: etcd.DefaultWatchIdleTimeout},
		"silent":       {faults: fakes.KVFaults{Silent: true}, want: etcd.ErrIdleTimeout, after: etcd.DefaultWatchIdleTimeout},
		"outage":       {faults: fakes.KVFaults{Outage: true}, want: etcd.ErrUnavailable},
		"refused":      {faults: fakes.KVFaults{Refuse: true}, want: etcd.ErrUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv, client := start(t, fakes.KVOptions{})
				messages := make(chan struct{}, 10)
				result := make(chan error, 1)
				go func() {
					result <- client.Watch(t.Context(), "/", 0, func([]etcd.Change) { messages <- struct{}{} })
				}()
				<-messages
				began := time.Now()
				kv.SetFaults(tc.faults)
				require.ErrorIs(t, <-result, tc.want)
				require.Equal(t, tc.after, time.Since(began))
			})
		})
	}
}

// TestWatchCompacted starts a watch at a revision whose changes the service no longer has.
func TestWatchCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := start(t, fakes.KVOptions{MaxHistory: 1})
		for _, key := range []string{"/a", "/b", "/c"} {
			_, err := client.Write(t.Context(), []etcd.Put{{Key: key}})
			require.NoError(t, err)
		}
		err := client.Watch(t.Context(), "/", 1, func([]etcd.Change) {})
		require.ErrorIs(t, err, etcd.ErrCompacted)
	})
}

// TestLease grants, renews and revokes a lease, which deletes its key.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := start(t, fakes.KVOptions{})
		lease, err := client.Grant(t.Context(), 30*time.Second)
		require.NoError(t, err)
		_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a", Lease: lease}})
		require.NoError(t, err)
		until, err := client.KeepAlive(t.Context(), lease)
		require.NoError(t, err)
		require.Greater(t, time.Until(until), 20*time.Second)
		require.NoError(t, client.Revoke(t.Context(), lease))
		_, err = client.Get(t.Context(), "/a")
		require.ErrorIs(t, err, etcd.ErrNotFound)
		_, err = client.KeepAlive(t.Context(), lease)
		require.ErrorIs(t, err, etcd.ErrLeaseNotFound)
		_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a", Lease: lease}})
		require.ErrorIs(t, err, etcd.ErrLeaseNotFound)
	})
}

// TestLeaseExpires checks that the key of a lease is deleted when the lease is not renewed.
func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := start(t, fakes.KVOptions{})
		lease, err := client.Grant(t.Context(), 1500*time.Millisecond)
		require.NoError(t, err)
		_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a", Lease: lease}})
		require.NoError(t, err)
		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		err = client.Watch(ctx, "/", 0, func(changes []etcd.Change) {
			if len(changes) > 0 && changes[0].Deleted {
				cancel()
			}
		})
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, 2*time.Second, time.Since(began), "the TTL is rounded up to seconds")
	})
}

// TestDelayedWriteIsAppliedAfterTheTimeout checks that a write that the service applies only
// after the timeout of the client fails with ErrOutcomeUnknown.
func TestDelayedWriteIsAppliedAfterTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, client := start(t, fakes.KVOptions{})
		kv.SetFaults(fakes.KVFaults{Delay: 5 * time.Second})
		began := time.Now()
		_, err := client.Write(t.Context(), []etcd.Put{{Key: "/a"}})
		require.ErrorIs(t, err, etcd.ErrOutcomeUnknown)
		require.Equal(t, etcd.DefaultTimeout, time.Since(began))
		kv.SetFaults(fakes.KVFaults{})
		_, err = client.Get(t.Context(), "/a")
		require.ErrorIs(t, err, etcd.ErrNotFound)
		time.Sleep(5 * time.Second)
		_, err = client.Get(t.Context(), "/a")
		require.NoError(t, err)
	})
}

// TestNextAddressAfterAFailure checks that the client stays with the second address after the
// first one has refused a connection.
func TestNextAddressAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, addrs := &fakes.Net{}, []netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"),
		}
		kv := fakes.NewKV(fakes.KVOptions{})
		require.NoError(t, kv.StartIn(network, addrs[1]))
		client := etcd.New(addrs, etcd.Options{Dial: network.Dial})
		defer kv.Close()
		defer client.Close()
		for range 2 {
			_, _, err := client.List(t.Context(), "/")
			require.NoError(t, err)
		}
		require.EqualValues(t, 1, client.CallCounts().Failed, "the refusing address is tried once")
	})
}
