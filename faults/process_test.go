package faults_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/demo"
)

// keyHash is the hash of demo.Key, which the records contain instead of the key.
var keyHash = func() string {
	sum := sha256.Sum256([]byte(demo.Key))
	return hex.EncodeToString(sum[:])
}()

// Sizes of a run of TestProcesses.
const (
	jobCount    = 160
	runDuration = 9 * time.Second
	faultCount  = 7
	jobTokens   = 12
	// patienceSlack is how much later than its patience a request may end on a busy machine.
	patienceSlack = time.Second
)

// runSeeds returns the seeds of TestProcesses: those in the environment variable FAULT_SEED, separated
// by commas, by default 1 and 2.
func runSeeds(t *testing.T) []uint64 {
	env := os.Getenv("FAULT_SEED")
	if env == "" {
		return []uint64{1, 2}
	}
	var out []uint64
	for part := range strings.SplitSeq(env, ",") {
		n, err := strconv.ParseUint(part, 10, 64)
		require.NoError(t, err)
		out = append(out, n)
	}
	return out
}

// TestProcesses runs the system as separate processes under load. It kills, suspends and drains them
// at random times that the seed determines, and checks the invariants of the system from the logs of
// the engines and the answers to the callers.
func TestProcesses(t *testing.T) {
	for _, seed := range runSeeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			r := &processRun{t: t, d: startDeployment(t), rng: rand.New(rand.NewPCG(seed, 0))}
			r.awaitReady()
			r.began = time.Now()
			r.run()
			r.check()
		})
	}
}

// job is a request of a run and its answer.
type job struct {
	call
	// delay is the time from the start of the run to the sending of the request.
	delay      time.Duration
	idempotent bool
	patience   time.Duration
	began      time.Time
	ended      time.Time
	answer     answer
}

// processFault is a fault of a process. Its kind is "kill", "stop" (suspend, then continue) or "drain".
// ended is zero until the process listens again.
type processFault struct {
	node  *node
	kind  string
	began time.Time
	ended time.Time
}

// processRun is one run of TestProcesses: a deployment, its load and the faults.
type processRun struct {
	t     *testing.T
	d     *deployment
	rng   *rand.Rand
	began time.Time
	jobs  []*job

	mu     sync.Mutex
	faults []processFault
	// revisionReverts describes each change of a process back to an earlier revision.
	revisionReverts []string
}

// routers returns the nodes that are routers.
func (r *processRun) routers() []*node {
	var out []*node
	for _, n := range r.d.nodes {
		if n.isRouter {
			out = append(out, n)
		}
	}
	return out
}

// awaitReady waits until requests for a model are answered through each router.
func (r *processRun) awaitReady() {
	for i := range r.routers() {
		require.Eventually(r.t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			a := r.send(ctx, call{id: "ready", routerIndex: i, model: "m3", kind: "question", prompt: "ready", tokens: 1})
			return a.status == http.StatusOK
		}, 2*startTimeout, 10*pollInterval)
	}
}

// send sends a call to its router and returns the answer.
func (r *processRun) send(ctx context.Context, c call) answer {
	return send(ctx, &demo.Fleet{RouterAddrs: r.callAddrs()}, c)
}

// callAddrs returns the addresses at which the routers take calls.
func (r *processRun) callAddrs() (out []netip.AddrPort) {
	for _, n := range r.routers() {
		out = append(out, n.callAddr)
	}
	return out
}

// planJobs generates the jobs of the run at random from the seed.
func (r *processRun) planJobs() {
	for n := range jobCount {
		j := &job{delay: time.Duration(r.rng.Int64N(int64(runDuration))), patience: 20 * time.Second, idempotent: true}
		j.call = call{
			id: fmt.Sprint("job-", n), routerIndex: r.rng.IntN(2), tokens: jobTokens, prompt: fmt.Sprint("close street ", n),
			model: fleet.ModelID(fmt.Sprintf("m%d@1", r.rng.IntN(4)+1)), kind: "question", stream: r.rng.IntN(2) == 0,
		}
		switch r.rng.IntN(4) {
		case 0:
			j.kind, j.idempotent, j.patience = "notice", false, 30*time.Second
		case 1:
			// Up to four requests have the same idempotency key: this job, its copy that is
			// sent through the other router, and perhaps both of the neighboring job.
			j.kind, j.idempotent, j.patience = "notice", false, 30*time.Second
			j.idempotencyKey = fmt.Sprint("key-", n/2*2)
			j.prompt, j.model, j.stream = j.idempotencyKey, "m1@1", false
		case 2:
			if r.rng.IntN(2) == 0 {
				j.service, j.model, j.kind, j.stream = "booking", "", "", false
				j.idempotent, j.patience = false, 30*time.Second
			}
		}
		r.jobs = append(r.jobs, j)
		if j.idempotencyKey != "" {
			twin := *j
			twin.id += "-twin"
			twin.routerIndex = 1 - j.routerIndex
			twin.delay += time.Duration(r.rng.Int64N(int64(2 * time.Second)))
			r.jobs = append(r.jobs, &twin)
		}
	}
}

// run sends the requests, injects the faults and changes the records halfway. It returns when all
// requests and faults have ended.
func (r *processRun) run() {
	r.planJobs()
	watchCtx, stopWatch := context.WithCancel(context.Background())
	var watchers, wg sync.WaitGroup
	watchers.Go(func() { r.watchRevisions(watchCtx) })
	for _, j := range r.jobs {
		wg.Go(func() {
			<-time.After(j.delay)
			ctx, cancel := context.WithTimeout(context.Background(), 2*j.patience)
			defer cancel()
			j.began = time.Now()
			j.answer = r.send(ctx, j.call)
			j.ended = time.Now()
		})
	}
	for range faultCount {
		at := time.Duration(r.rng.Int64N(int64(runDuration)))
		n := r.d.nodes[r.rng.IntN(len(r.d.nodes))]
		kind := []string{"kill", "stop", "drain"}[r.rng.IntN(3)]
		duration := 300*time.Millisecond + time.Duration(r.rng.Int64N(int64(3500*time.Millisecond)))
		wg.Go(func() {
			<-time.After(at)
			r.injectFault(n, kind, duration)
		})
	}
	wg.Go(func() {
		<-time.After(runDuration / 2)
		r.d.apply("31s", "21s")
	})
	wg.Wait()
	stopWatch()
	watchers.Wait()
}

// injectFault injects a fault that lasts for duration and waits until the process listens again. It
// does nothing if another fault of the process is in progress.
func (r *processRun) injectFault(n *node, kind string, duration time.Duration) {
	r.mu.Lock()
	for _, fault := range r.faults {
		if fault.node == n && fault.ended.IsZero() {
			r.mu.Unlock()
			return
		}
	}
	index := len(r.faults)
	r.faults = append(r.faults, processFault{node: n, kind: kind, began: time.Now()})
	r.mu.Unlock()
	switch kind {
	case "kill":
		n.signal(syscall.SIGKILL)
		n.await()
		<-time.After(duration)
		n.start(r.t)
	case "stop":
		n.signal(syscall.SIGSTOP)
		<-time.After(duration)
		n.signal(syscall.SIGCONT)
	case "drain":
		n.signal(syscall.SIGTERM)
		n.await()
		<-time.After(duration)
		n.start(r.t)
	}
	for !isListening(n.host.AdminAddr) || (n.isRouter && !isListening(n.callAddr)) {
		<-time.After(pollInterval)
	}
	r.mu.Lock()
	r.faults[index].ended = time.Now()
	r.mu.Unlock()
}

// watchRevisions adds an entry to revisionReverts whenever a process goes back to an earlier revision, until
// ctx ends.
func (r *processRun) watchRevisions(ctx context.Context) {
	seen := make(map[*node]fleet.Revision)
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, n := range r.d.nodes {
			rev, ok := r.d.revision(n)
			if ok && rev > 0 && rev < seen[n] {
				r.revisionReverts = append(r.revisionReverts, fmt.Sprintf("%s from %d to %d", n.name, seen[n], rev))
			}
			seen[n] = max(seen[n], rev)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// callerRequestID returns the request ID that the caller sent. The router adds a part before it and a
// part after it, separated by slashes.
func callerRequestID(id fleet.RequestID) string {
	parts := strings.Split(string(id), "/")
	return parts[min(1, len(parts)-1)]
}
