package accept_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/fakes"
	"chervilreach/io/accept"
	"chervilreach/io/etcd"
)

// faults makes the calls of all clients unreliable while it is enabled.
type faults struct {
	mu         sync.Mutex
	rnd        *rand.Rand
	enabled    bool
	pastLists  map[string][]listResult
	lateWrites sync.WaitGroup
}

// listResult is a result of List, which may be returned again later as a stale one.
type listResult struct {
	entries []etcd.Entry
	at      fleet.Revision
}

// randIntN returns a random number in [0, n), or n while the faults are disabled.
func (f *faults) randIntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.enabled {
		return n
	}
	return f.rnd.IntN(n)
}

func (f *faults) setEnabled(enabled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enabled = enabled
}

// faultyKV is a client that loses, delays and fails calls and returns stale lists.
type faultyKV struct {
	accept.KV
	f *faults
}

func (k faultyKV) Write(ctx context.Context, puts []etcd.Put) (fleet.Revision, error) {
	switch k.f.randIntN(10) {
	case 0, 1: // applied, but the answer is lost
		_, _ = k.KV.Write(ctx, puts)
		return 0, etcd.ErrOutcomeUnknown
	case 2: // may be applied later
		k.f.lateWrites.Go(func() {
			time.Sleep(time.Duration(k.f.randIntN(2000)) * time.Millisecond)
			_, _ = k.KV.Write(context.Background(), puts)
		})
		return 0, etcd.ErrOutcomeUnknown
	case 3:
		return 0, etcd.ErrUnavailable
	}
	return k.KV.Write(ctx, puts)
}

func (k faultyKV) List(ctx context.Context, prefix string) ([]etcd.Entry, fleet.Revision, error) {
	entries, at, err := k.KV.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	n := k.f.randIntN(10)
	k.f.mu.Lock()
	defer k.f.mu.Unlock()
	k.f.pastLists[prefix] = append(k.f.pastLists[prefix], listResult{entries, at})
	if n < 3 { // stale
		old := k.f.pastLists[prefix][k.f.rnd.IntN(len(k.f.pastLists[prefix]))]
		return old.entries, old.at, nil
	}
	return entries, at, nil
}

func (k faultyKV) Get(ctx context.Context, key string) (etcd.Entry, error) {
	if k.f.randIntN(10) == 0 {
		return etcd.Entry{}, etcd.ErrUnavailable
	}
	return k.KV.Get(ctx, key)
}

func (k faultyKV) Watch(ctx context.Context, prefix string, from fleet.Revision, fn func([]etcd.Change)) error {
	if k.f.randIntN(4) == 0 {
		return etcd.ErrUnavailable
	}
	return k.KV.Watch(ctx, prefix, from, fn)
}

// headChecker checks that the heads in the service form a single sequence of accepted
// revisions and that no record is replaced by an older one.
type headChecker struct {
	t            *testing.T
	head         accept.Head
	rawRevisions map[record.Key]fleet.Revision
}

func (o *headChecker) checkChanges(changes []etcd.Change) {
	for _, c := range changes {
		if c.Key == accept.AcceptedHeadKey() {
			var next accept.Head
			require.NoError(o.t, json.Unmarshal(c.Value, &next))
			require.Equal(o.t, o.head.Revision+1, next.Revision)
			require.Equal(o.t, o.head.Revision, next.Previous)
			o.head = next
			continue
		}
		var obj record.Object
		require.NoError(o.t, json.Unmarshal(c.Value, &obj))
		require.Greater(o.t, obj.RawRevision, o.rawRevisions[obj.Key], "%s was replaced by an older raw record", obj.Key)
		o.rawRevisions[obj.Key] = obj.RawRevision
	}
}

// writeRecords writes n records like an operator, each one until the write succeeds;
// text returns the text of the i-th one.
func (c *cluster) writeRecords(kv accept.KV, n int, text func(i int) string) {
	for i := range n {
		raws, err := record.Parse("f", []byte(text(i)))
		require.NoError(c.t, err)
		for {
			store := accept.NewRecordStore(kv)
			plan, err := store.Prepare(c.t.Context(), raws)
			if err == nil {
				_, err = store.Write(c.t.Context(), plan)
			}
			if err == nil {
				break
			}
			require.NotErrorIs(c.t, err, context.Canceled)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(600 * time.Millisecond) // so that most writes get a revision of their own
	}
}

// digestChecker checks that all processes have the same configuration at a revision.
type digestChecker struct {
	mu      sync.Mutex
	digests map[fleet.Revision]string
}

func (d *digestChecker) check(t *testing.T, s *record.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before, ok := d.digests[s.Revision()]; ok {
		require.Equal(t, before, s.Digest(), "two configurations of revision %d", s.Revision())
	}
	d.digests[s.Revision()] = s.Digest()
}

const (
	modelSchema2 = `{"schema": 2, "record": "model", "name": "m", "versions": [{"version": "1", "weights": "1GiB", "warm-limit": 9, "warm-floor": 1, "fenced": true, "cached-on": ["host-%d"]}]}`
	modelSchema1 = `{"schema": 1, "record": "model", "name": "m", "version": "1", "copies": %d, "size-mib": 2048}`
	kindSchema1  = `{"schema": 1, "record": "kind", "name": "notice", "urgent": true, "patience-ms": %d, "idempotent": false}`
)

// TestOperatorsRaceWithBothSchemas checks that concurrent writes in both schema versions
// are not lost and lead to one sequence of revisions, although answers are lost, calls
// fail, lists are stale and processes restart.
func TestOperatorsRaceWithBothSchemas(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
		})
	}
}

func raceOperators(t *testing.T, seed uint64) {
	c := newCluster(t)
	f := &faults{rnd: rand.New(rand.NewPCG(seed, seed)), pastLists: map[string][]listResult{}}
	wrap := func(kv accept.KV) accept.KV { return faultyKV{kv, f} }
	digests := &digestChecker{digests: map[fleet.Revision]string{}}
	live := processIDs(20)
	startAll := func() {
		for _, id := range live {
			n := c.start(id, live, wrap)
			n.Subscribe(func(*record.Config) { digests.check(t, n.State()) })
		}
	}
	watchCtx, stopWatch := context.WithCancel(t.Context())
	heads := &headChecker{t: t, rawRevisions: map[record.Key]fleet.Revision{}}
	watching := make(chan struct{})
	client := c.client()
	go func() {
		defer close(watching)
		_ = client.Watch(watchCtx, accept.PrefixAccepted, 1, heads.checkChanges)
	}()

	startAll()
	f.setEnabled(true)
	var operators sync.WaitGroup
	operators.Go(func() {
		c.writeRecords(wrap(client), 12, func(i int) string { return fmt.Sprintf(modelSchema2, i) })
	})
	operators.Go(func() {
		c.writeRecords(wrap(client), 12, func(i int) string { return fmt.Sprintf(modelSchema1, 2+i) })
	})
	operators.Go(func() { c.writeRecords(wrap(client), 12, func(i int) string { return kindRecord(6 + i) }) })
	operators.Go(func() {
		c.writeRecords(wrap(client), 12, func(i int) string { return fmt.Sprintf(kindSchema1, 1000+i) })
	})
	operators.Go(func() { c.writeInvalid(wrap(client), 6) })
	for range 2 { // restart all processes during the writes
		time.Sleep(3 * time.Second)
		for _, n := range c.nodes {
			n.kill()
		}
		startAll()
	}
	operators.Wait()
	f.setEnabled(false)
	synctest.Wait() // until now, watchers may have started late writes
	f.lateWrites.Wait()

	// The last writes in both schema versions, one after the other.
	c.writeRecords(client, 1, func(int) string { return fmt.Sprintf(modelSchema2, 99) })
	c.writeRecords(client, 1, func(int) string { return fmt.Sprintf(modelSchema1, 7) })
	state := c.waitAgreement(5*time.Second, func(config *record.Config) bool {
		m := config.Models["m@1"]
		return m.WarmLimit == 7 && len(m.CachedOn) == 1 && m.CachedOn[0] == "host-99" && m.ChecksFence && m.WarmFloor == 1
	})
	require.Equal(t, heads.head.Revision, state.Revision())
	require.Equal(t, heads.head.Digest, state.Digest())
	t.Logf("%d revisions", state.Revision())
	require.Greater(t, state.Revision(), fleet.Revision(10), "too few changes for this test")
	c.checkRejected(client)
	stopWatch()
	<-watching
	client.Close()
	c.close()
}

// writeInvalid writes n invalid values of one record, without the checks of the command.
func (c *cluster) writeInvalid(kv accept.KV, n int) {
	texts := []string{`{"schema": 7, "record": "service", "name": "bad"}`, `{{`, `{"schema": 2, "record": "service", "name": "bad", "kind": "none", "endpoints": ["e"]}`}
	key := accept.RawKey(record.Key{Type: record.TypeService, Name: "bad"})
	for i := range n {
		for {
			e, err := kv.Get(c.t.Context(), key)
			if err == nil || errors.Is(err, etcd.ErrNotFound) {
				_, err = kv.Write(c.t.Context(), []etcd.Put{{Key: key, Value: []byte(texts[i%len(texts)]), ExpectRevision: e.Revision}})
			}
			if err == nil {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// checkRejected checks that the status of the invalid record says that it is rejected.
func (c *cluster) checkRejected(kv accept.KV) {
	key := record.Key{Type: record.TypeService, Name: "bad"}
	deadline := time.Now().Add(5 * time.Second)
	for {
		raw, err := kv.Get(c.t.Context(), accept.RawKey(key))
		require.NoError(c.t, err)
		var status record.Status
		if e, err := kv.Get(c.t.Context(), accept.StatusKey(key)); err == nil {
			status, err = accept.DecodeStatus(e.Value)
			require.NoError(c.t, err)
		}
		if status.RawRevision == raw.Revision {
			require.Equal(c.t, record.VerdictRejected, status.Verdict)
			require.NotEmpty(c.t, status.Problems)
			require.Zero(c.t, status.AcceptedRevision)
			return
		}
		require.True(c.t, time.Now().Before(deadline), "no status for the broken record: %v", status)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestOutage checks that a process that starts during an outage of the service gets the
// configuration from peers, and that changes are accepted again afterwards.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		live := processIDs(20)
		for _, id := range live[:19] {
			c.start(id, live, nil)
		}
		_, err := c.apply("f", kindRecord(6))
		require.NoError(t, err)
		before := c.waitAgreement(3*time.Second, func(config *record.Config) bool { return config.Kinds["notice"].Urgency == 6 })

		c.kv.SetFaults(fakes.KVFaults{Outage: true})
		c.start(live[19], live, nil)
		after := c.waitAgreement(3*time.Second, func(config *record.Config) bool { return config.Kinds["notice"].Urgency == 6 })
		require.Equal(t, before.Revision(), after.Revision(), "a new process gets the configuration from peers")
		time.Sleep(10 * time.Minute)

		c.kv.SetFaults(fakes.KVFaults{})
		time.Sleep(2 * time.Second)
		_, err = c.apply("f", kindRecord(7))
		require.NoError(t, err)
		c.waitAgreement(3*time.Second, func(config *record.Config) bool { return config.Kinds["notice"].Urgency == 7 })

		c.kv.SetFaults(fakes.KVFaults{StaleReads: true})
		_, err = c.apply("f", kindRecord(8))
		require.NoError(t, err, "the list is not stale yet")
		_, err = c.apply("f", kindRecord(9))
		require.ErrorIs(t, err, etcd.ErrConflict, "a write based on a stale list fails")
		c.kv.SetFaults(fakes.KVFaults{})
		c.waitAgreement(3*time.Second, func(config *record.Config) bool { return config.Kinds["notice"].Urgency == 8 })
		c.close()
	})
}

// TestMalformedValuesStopNothing checks that malformed values in the service neither
// change the configuration in effect nor block later changes.
func TestMalformedValuesStopNothing(t *testing.T) {
	for name, malformed := range map[string]string{"text": "\x00{{", "other type": `[1]`, "empty": "", "wrong fields": `{"revision": "x", "raw-revision": {}}`, "revision ahead": `{"revision": 999, "digest": "0"}`} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				live := processIDs(8)
				for _, id := range live {
					c.start(id, live, nil)
				}
				_, err := c.apply("f", kindRecord(6))
				require.NoError(t, err)
				accepted := func(config *record.Config) bool { return config.Kinds["notice"].Urgency == 6 }
				before := c.waitAgreement(3*time.Second, accepted)
				client := c.client()
				keys := []string{accept.RawHeadKey(), accept.PrefixRaw + "kind/a", accept.PrefixRaw + "what/is/this", accept.PrefixRaw + "kind/", accept.PrefixStatus + "kind/a", accept.PrefixAccepted + "kind/a", accept.AcceptedHeadKey()}
				original := map[string]etcd.Entry{}
				for _, key := range keys {
					e, err := client.Get(t.Context(), key)
					if err == nil {
						original[key] = e
					}
					at, err := client.Write(t.Context(), []etcd.Put{{Key: key, Value: []byte(malformed), ExpectRevision: e.Revision}})
					require.NoError(t, err)
					e.Revision = at
					original[key] = e
					time.Sleep(2 * time.Second)
				}
				after := c.waitAgreement(3*time.Second, accepted)
				require.Equal(t, before.Digest(), after.Digest(), "the accepted configuration stays in effect")

				// Once the accepted values are restored, changes are accepted again.
				for _, key := range keys[5:] {
					e := original[key]
					_, err = client.Write(t.Context(), []etcd.Put{{Key: key, Value: e.Value, ExpectRevision: e.Revision, Delete: e.Value == nil}})
					require.NoError(t, err)
				}
				c.writeRecords(client, 1, func(int) string { return kindRecord(7) })
				c.waitAgreement(5*time.Second, func(config *record.Config) bool { return config.Kinds["notice"].Urgency == 7 })
				client.Close()
				c.close()
			})
		})
	}
}

// TestRolesMakeATree checks the numbers of watchers, of peers, and of processes with the
// same preferred peer.
func TestRolesMakeATree(t *testing.T) {
	live := processIDs(1200)
	watchers, preferredBy := 0, map[fleet.ProcessID]int{}
	for _, id := range live {
		watch, peerIDs := accept.Roles(id, live, 6, 8)
		if watch {
			watchers++
			continue
		}
		require.GreaterOrEqual(t, len(peerIDs), 5)
		require.NotContains(t, peerIDs, id)
		preferredBy[peerIDs[0]]++
	}
	require.Equal(t, 6, watchers)
	for id, n := range preferredBy {
		require.LessOrEqual(t, n, 8, "processes that prefer %s", id)
	}
	watch, peerIDs := accept.Roles("process-1", nil, 6, 8)
	require.True(t, watch)
	require.Empty(t, peerIDs)
}
