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

// keyHash is what the records hold of the member's key.
var keyHash = func() string {
	sum := sha256.Sum256([]byte(demo.Key))
	return hex.EncodeToString(sum[:])
}()

// Sizes of a run of separate processes.
const (
	runJobs   = 160
	runSpan   = 9 * time.Second
	runFaults = 7
	runTokens = 12
	// runSlack is what a busy machine may add to a patience.
	runSlack = time.Second
)

// seeds returns the seeds to run; FAULT_SEED names others, with commas.
func seeds(t *testing.T) []uint64 {
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

// TestProcesses runs the system as separate processes, kills, stops, continues
// and drains them at seeded moments under load, and checks what must always
// hold from the engines' logs and the callers' answers.
func TestProcesses(t *testing.T) {
	for _, seed := range seeds(t) {
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

// job is one request of a run and what came of it.
type job struct {
	call
	after      time.Duration
	idempotent bool
	patience   time.Duration
	began      time.Time
	ended      time.Time
	answer     answer
}

// disturbance is one fault done to a process.
type disturbance struct {
	node *node
	what string
	from time.Time
	to   time.Time
}

type processRun struct {
	t     *testing.T
	d     *deployment
	rng   *rand.Rand
	began time.Time
	jobs  []*job

	mu        sync.Mutex
	disturbed []disturbance
	reverted  []string
}

func (r *processRun) routers() []*node {
	var out []*node
	for _, n := range r.d.nodes {
		if n.router {
			out = append(out, n)
		}
	}
	return out
}

// awaitReady waits until a model answers through each router.
func (r *processRun) awaitReady() {
	for i := range r.routers() {
		require.Eventually(r.t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), startBound)
			defer cancel()
			a := r.send(ctx, call{id: "ready", router: i, model: "m3", kind: "question", prompt: "ready", tokens: 1})
			return a.status == http.StatusOK
		}, 2*startBound, 10*pollPeriod)
	}
}

func (r *processRun) send(ctx context.Context, c call) answer {
	return send(ctx, &demo.Fleet{RouterAddrs: r.calls()}, c)
}

func (r *processRun) calls() (out []netip.AddrPort) {
	for _, n := range r.routers() {
		out = append(out, n.calls)
	}
	return out
}

// plan draws the requests of the run.
func (r *processRun) plan() {
	for n := range runJobs {
		j := &job{after: time.Duration(r.rng.Int64N(int64(runSpan))), patience: 20 * time.Second, idempotent: true}
		j.call = call{
			id: fmt.Sprint("job-", n), router: r.rng.IntN(2), tokens: runTokens, prompt: fmt.Sprint("close street ", n),
			model: fleet.ModelID(fmt.Sprintf("m%d@1", r.rng.IntN(4)+1)), kind: "question", stream: r.rng.IntN(2) == 0,
		}
		switch r.rng.IntN(4) {
		case 0:
			j.kind, j.idempotent, j.patience = "notice", false, 30*time.Second
		case 1:
			// Two requests of one key, mostly through both routers.
			j.kind, j.idempotent, j.patience = "notice", false, 30*time.Second
			j.key = fmt.Sprint("key-", n/2*2)
			j.prompt, j.model, j.stream = j.key, "m1@1", false
		case 2:
			if r.rng.IntN(2) == 0 {
				j.service, j.model, j.kind, j.stream = "booking", "", "", false
				j.idempotent, j.patience = false, 30*time.Second
			}
		}
		r.jobs = append(r.jobs, j)
		if j.key != "" {
			twin := *j
			twin.id += "-twin"
			twin.router = 1 - j.router
			twin.after += time.Duration(r.rng.Int64N(int64(2 * time.Second)))
			r.jobs = append(r.jobs, &twin)
		}
	}
}

// run sends the requests and does the faults, and waits for all to end.
func (r *processRun) run() {
	r.plan()
	watch, stop := context.WithCancel(context.Background())
	var watchers, work sync.WaitGroup
	watchers.Go(func() { r.watchRevisions(watch) })
	for _, j := range r.jobs {
		work.Go(func() {
			<-time.After(j.after)
			ctx, cancel := context.WithTimeout(context.Background(), 2*j.patience)
			defer cancel()
			j.began = time.Now()
			j.answer = r.send(ctx, j.call)
			j.ended = time.Now()
		})
	}
	for range runFaults {
		at := time.Duration(r.rng.Int64N(int64(runSpan)))
		n := r.d.nodes[r.rng.IntN(len(r.d.nodes))]
		what := []string{"kill", "stop", "drain"}[r.rng.IntN(3)]
		length := 300*time.Millisecond + time.Duration(r.rng.Int64N(int64(3500*time.Millisecond)))
		work.Go(func() {
			<-time.After(at)
			r.disturb(n, what, length)
		})
	}
	work.Go(func() {
		<-time.After(runSpan / 2)
		r.d.apply("31s", "21s")
	})
	work.Wait()
	stop()
	watchers.Wait()
}

// disturb does one fault to a process, one at a time to each.
func (r *processRun) disturb(n *node, what string, length time.Duration) {
	r.mu.Lock()
	for _, d := range r.disturbed {
		if d.node == n && d.to.IsZero() {
			r.mu.Unlock()
			return
		}
	}
	at := len(r.disturbed)
	r.disturbed = append(r.disturbed, disturbance{node: n, what: what, from: time.Now()})
	r.mu.Unlock()
	switch what {
	case "kill":
		n.signal(syscall.SIGKILL)
		n.await()
		<-time.After(length)
		n.start(r.t)
	case "stop":
		n.signal(syscall.SIGSTOP)
		<-time.After(length)
		n.signal(syscall.SIGCONT)
	case "drain":
		n.signal(syscall.SIGTERM)
		n.await()
		<-time.After(length)
		n.start(r.t)
	}
	for !listening(n.host.Admin) || (n.router && !listening(n.calls)) {
		<-time.After(pollPeriod)
	}
	r.mu.Lock()
	r.disturbed[at].to = time.Now()
	r.mu.Unlock()
}

// watchRevisions notes when a process goes back to an earlier configuration.
func (r *processRun) watchRevisions(ctx context.Context) {
	seen := make(map[*node]fleet.Revision)
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, n := range r.d.nodes {
			rev, ok := r.d.revision(n)
			if ok && rev > 0 && rev < seen[n] {
				r.reverted = append(r.reverted, fmt.Sprintf("%s from %d to %d", n.name, seen[n], rev))
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

// callerOf returns the ID that the caller gave a request.
func callerOf(id fleet.RequestID) string {
	parts := strings.Split(string(id), "/")
	return parts[min(1, len(parts)-1)]
}
