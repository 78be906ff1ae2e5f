package accept_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
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
	"chervilreach/sample"
)

// linkDelay is the one-way delay between processes.
const linkDelay = time.Millisecond

// pipeListener connects clients to the fake key-value service through in-memory pipes,
// so that tests run with the fake clock of synctest.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// cluster is a fake key-value service with the processes that follow it.
type cluster struct {
	t        *testing.T
	kv       *fakes.KV
	listener *pipeListener
	mu       sync.Mutex
	nodes    map[fleet.ProcessID]*node
	// watcherCount is the number of processes that watch the service.
	watcherCount int
}

// node is one process with its configuration.
type node struct {
	*accept.Source
	stop context.CancelFunc
	done chan struct{}
	mu   sync.Mutex
	// appliedAt contains the time at which the process applied each revision.
	appliedAt map[fleet.Revision]time.Time
	last      fleet.Revision
	dead      bool
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, kv: fakes.NewKV(fakes.KVOptions{}), listener: newPipeListener(), nodes: map[fleet.ProcessID]*node{}, watcherCount: accept.DefaultWatchers}
	go func() { _ = c.kv.Serve(c.listener) }()
	return c
}

// close stops all processes and the service, as synctest requires of all goroutines.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.kill()
	}
	c.kv.Close()
}

func (c *cluster) client() *etcd.Client {
	return etcd.New([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, etcd.Options{Dial: c.listener.Dial})
}

// start starts a process. If wrapKV is not nil, it wraps the client of a watcher.
func (c *cluster) start(id fleet.ProcessID, live []fleet.ProcessID, wrapKV func(accept.KV) accept.KV) *node {
	ctx, cancel := context.WithCancel(c.t.Context())
	client := c.client()
	n := &node{Source: accept.NewSource(nil), stop: cancel, done: make(chan struct{}), appliedAt: map[fleet.Revision]time.Time{}}
	n.Subscribe(func(config *record.Config) {
		n.mu.Lock()
		defer n.mu.Unlock()
		require.GreaterOrEqual(c.t, config.Revision, n.last, "revision decreased")
		n.last = config.Revision
		n.appliedAt[config.Revision] = time.Now()
	})
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	opts := accept.Options{
		Seed:         rand.New(rand.NewPCG(uint64(len(c.nodes)), 7)).Uint64(),
		WatcherCount: func() int { return c.watcherCount },
	}
	watch, peerIDs := accept.Roles(id, live, c.watcherCount, accept.DefaultFanout)
	var watcher *accept.Watcher
	if watch {
		var kv accept.KV = client
		if wrapKV != nil {
			kv = wrapKV(kv)
		}
		watcher = accept.NewWatcher(kv, n.Source, opts)
	}
	follower := accept.NewFollower(n.Source, func() []accept.Peer {
		var peers []accept.Peer
		for _, id := range peerIDs {
			peers = append(peers, peer{c, id})
		}
		return peers
	}, opts)
	go func() {
		defer close(n.done)
		accept.Run(ctx, watcher, follower)
		client.Close()
	}()
	return n
}

func (n *node) kill() {
	n.stop()
	<-n.done
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
}

// peer sends requests to another process over a link with linkDelay. A killed process
// never answers.
type peer struct {
	c  *cluster
	id fleet.ProcessID
}

func (p peer) AwaitDelta(ctx context.Context, from fleet.Revision) (record.Delta, error) {
	p.c.mu.Lock()
	n := p.c.nodes[p.id]
	p.c.mu.Unlock()
	time.Sleep(linkDelay)
	if n == nil || n.isDead() {
		<-ctx.Done()
		return record.Delta{}, ctx.Err()
	}
	pollCtx, cancel := context.WithTimeout(ctx, accept.LongPollTimeout)
	defer cancel()
	d, err := n.AwaitDelta(pollCtx, from)
	if n.isDead() {
		<-ctx.Done()
		return record.Delta{}, ctx.Err()
	}
	if err != nil {
		return d, err
	}
	time.Sleep(linkDelay)
	text, err := d.Encode()
	if err != nil {
		return d, err
	}
	return record.DecodeDelta(text)
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// processIDs returns n process IDs.
func processIDs(n int) []fleet.ProcessID {
	var list []fleet.ProcessID
	for i := range n {
		list = append(list, fleet.ProcessID(fmt.Sprintf("process-%d", i)))
	}
	return list
}

// apply writes the records in text as the apply command does.
func (c *cluster) apply(name, text string) (fleet.Revision, error) {
	raws, err := record.Parse(name, []byte(text))
	require.NoError(c.t, err)
	client := c.client()
	defer client.Close()
	store := accept.NewRecordStore(client)
	plan, err := store.Prepare(c.t.Context(), raws)
	if err != nil {
		return 0, err
	}
	return store.Write(c.t.Context(), plan)
}

// waitAgreement waits until all processes have the same configuration and accepted
// returns true for it. It fails the test if this takes longer than timeout.
func (c *cluster) waitAgreement(timeout time.Duration, accepted func(*record.Config) bool) *record.State {
	c.t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		state, same := c.commonState(accepted)
		if same {
			return state
		}
		require.True(c.t, time.Now().Before(deadline), "processes differ or don't have the change after %s", timeout)
		time.Sleep(10 * time.Millisecond)
	}
}

// commonState returns the state of all running processes. It returns false if their
// states differ or accepted returns false for one of them.
func (c *cluster) commonState(accepted func(*record.Config) bool) (*record.State, bool) {
	var first *record.State
	for _, n := range c.nodes {
		if n.isDead() {
			continue
		}
		state := n.State()
		if first == nil {
			first = state
		}
		if !accepted(n.Current()) || state.Digest() != first.Digest() || state.Revision() != first.Revision() {
			return nil, false
		}
	}
	return first, true
}

// example returns the file name and the text of a sample.
func example(t *testing.T, name string) (string, string) {
	file, text, err := sample.Read(name)
	require.NoError(t, err)
	return file, string(text)
}

// kindRecord returns the text of a kind record with the given urgency.
func kindRecord(urgency int) string {
	return fmt.Sprintf(`{"schema": 2, "record": "kind", "name": "notice", "urgency": %d, "patience": "60s", "idempotent": false}`, urgency)
}

// killWatchers kills the first n processes that watch the service.
func (c *cluster) killWatchers(live []fleet.ProcessID, n int) {
	for _, id := range live {
		if watch, _ := accept.Roles(id, live, accept.DefaultWatchers, accept.DefaultFanout); watch && n > 0 {
			c.nodes[id].kill()
			n--
		}
	}
}

// TestInForceEverywhereWithin3s checks that a change takes effect in all processes within
// 3 s despite faults of watches and watchers, and limits the load on the key-value
// service.
func TestInForceEverywhereWithin3s(t *testing.T) {
	const processes, changes, bound = 400, 20, 3 * time.Second
	tests := map[string]struct {
		faults    fakes.KVFaults
		killCount int
		// watchers is the number of watchers; 0 means accept.DefaultWatchers.
		watchers int
	}{
		"no fault":        {},
		"many watchers":   {watchers: 60},
		"watches silent":  {faults: fakes.KVFaults{SilentWatch: true}},
		"watches stale":   {faults: fakes.KVFaults{StaleWatch: true}},
		"watchers killed": {killCount: 4},
		"answers delayed": {faults: fakes.KVFaults{Delay: 200 * time.Millisecond}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.watcherCount = cmp.Or(tc.watchers, c.watcherCount)
				live := processIDs(processes)
				for _, id := range live {
					c.start(id, live, nil)
				}
				_, err := c.apply(example(t, sample.Association))
				require.NoError(t, err)
				c.waitAgreement(10*time.Second, func(config *record.Config) bool { return len(config.Members) == 4 && len(config.Models) == 65 })
				c.kv.SetFaults(tc.faults)
				c.killWatchers(live, tc.killCount)
				before, begin := c.kv.CallCounts(), time.Now()
				var slowest time.Duration
				for i := range changes {
					time.Sleep(time.Duration(i) * 97 * time.Millisecond)
					_, err := c.apply("f", kindRecord(20+i))
					require.NoError(t, err)
					written := time.Now()
					state := c.waitAgreement(bound, func(config *record.Config) bool { return config.Kinds["notice"].Urgency == 20+i })
					for _, n := range c.nodes {
						if !n.isDead() {
							slowest = max(slowest, n.appliedAt[state.Revision()].Sub(written))
						}
					}
				}
				calls, took := c.kv.CallCounts(), time.Since(begin)
				perSecond := func(n int64) float64 { return float64(n) / took.Seconds() }
				reads := perSecond(calls.Range - before.Range + calls.Watch - before.Watch)
				writes := perSecond(calls.Txn - before.Txn)
				t.Logf("%d processes, %d changes: slowest %s; %.1f reads/s and %.1f writes/s, besides %d watches",
					processes, changes, slowest, reads, writes, 2*c.watcherCount)
				require.LessOrEqual(t, slowest, bound)
				require.LessOrEqual(t, reads, 60.0)
				require.LessOrEqual(t, writes, 15.0)
				c.close()
			})
		})
	}
}
