package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilreach/core/fleet"
)

// Sizes and durations of the demo.
const (
	demoRouters          = 2
	demoEnginesPerDomain = 4
	demoTimeScale        = 0.25
	// The burst consists of requestsPerModel requests for each of burstModelCount cold models,
	// sent within burstDuration.
	burstModelCount  = 12
	requestsPerModel = 6
	burstDuration    = 1500 * time.Millisecond
	// demoServiceCalls is the number of calls of the plain service during the burst.
	demoServiceCalls = 30
	// demoIdleTime is how long idle models stay loaded in the demo.
	demoIdleTime = 3 * time.Second
	// readyTimeout bounds the start of the deployment until it is ready.
	readyTimeout = 15 * time.Second
)

// Run is one run of the demo. Seed determines the burst.
type Run struct {
	Example string
	Seed    uint64
	// Out receives the progress messages and the printed summary.
	Out io.Writer
}

// start starts a deployment and waits until it is ready.
func (r Run) start(ctx context.Context) (*Fleet, error) {
	r.printf("starting %d routers, %d engines and the plain services of %s on loopback", demoRouters, 3*demoEnginesPerDomain, r.Example)
	f, err := Start(ctx, Options{
		Example: r.Example, RouterCount: demoRouters, EnginesPerDomain: demoEnginesPerDomain, TimeScale: demoTimeScale,
		IdleTime: demoIdleTime, HostLag: time.Second,
	})
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	if err := f.AwaitReady(ready); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	r.printf("accepted revision %d with %d models is in force and placed after %v",
		f.Config.Revision, len(f.Config.Models), time.Since(began).Round(time.Millisecond))
	return f, nil
}

// printf prints a line of progress.
func (r Run) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.Out, format+"\n", args...)
}

// Burst starts a deployment, sends requests for cold models and calls of the plain service
// through all routers, stops the deployment, and prints and returns the summary.
func (r Run) Burst(ctx context.Context) (Summary, error) {
	f, err := r.start(ctx)
	if err != nil {
		return Summary{}, err
	}
	jobs := r.burstJobs(f)
	r.printf("sending %d requests for %d cold models and %d calls of the plain service", len(jobs)-demoServiceCalls, burstModelCount, demoServiceCalls)
	results := f.sendAll(ctx, jobs)
	for _, e := range f.Endpoints {
		r.printf("  %-22s %d loads, %d requests run", e.Host.ID, len(e.Engine.Loads()), len(e.Engine.Executions()))
	}
	closeErr := f.Close()
	sum := f.summarize(results)
	sum.print(r)
	return sum, closeErr
}

// burstJobs returns the requests of the burst in the order of their start.
func (r Run) burstJobs(f *Fleet) []job {
	rng := rand.New(rand.NewPCG(r.Seed, 0))
	var models []fleet.ModelID
	for id := range f.Config.Models {
		models = append(models, id)
	}
	slices.Sort(models)
	rng.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	var jobs []job
	for _, m := range models[:burstModelCount] {
		for range requestsPerModel {
			jobs = append(jobs, job{startAfter: time.Duration(rng.Int64N(int64(burstDuration))), routerIndex: rng.IntN(demoRouters), model: m, stream: rng.IntN(2) == 0})
		}
	}
	for range demoServiceCalls {
		jobs = append(jobs, job{startAfter: time.Duration(rng.Int64N(int64(burstDuration))), routerIndex: rng.IntN(demoRouters), service: f.layout.service})
	}
	slices.SortFunc(jobs, func(a, b job) int { return int(a.startAfter - b.startAfter) })
	for i := range jobs {
		jobs[i].number = i
	}
	return jobs
}

// sendAll sends each job at its start time and waits for all answers. The results have the
// order of jobs.
func (f *Fleet) sendAll(ctx context.Context, jobs []job) []result {
	results := make([]result, len(jobs))
	began := time.Now()
	var wg sync.WaitGroup
	for i, j := range jobs {
		wg.Go(func() {
			timer := time.NewTimer(time.Until(began.Add(j.startAfter)))
			defer timer.Stop()
			select {
			case <-timer.C:
				results[i] = f.send(ctx, j)
			case <-ctx.Done():
				results[i] = result{job: j, err: ctx.Err()}
			}
		})
	}
	wg.Wait()
	return results
}

// Serve starts a deployment, prints how to use it, and runs it until ctx ends.
func (r Run) Serve(ctx context.Context) error {
	f, err := r.start(ctx)
	if err != nil {
		return err
	}
	var models []fleet.ModelID
	for id := range f.Config.Models {
		models = append(models, id)
	}
	slices.Sort(models)
	r.printf("try:\n  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n    -d '{\"model\": %q, \"prompt\": \"close our street\", \"max_tokens\": 20, \"stream\": true}'",
		f.RouterAddrs[0], Key, string(models[0]))
	r.printf("host list for status and timeline: --hosts %s; key-value service: --kv %s", f.Hosts.Addr(), f.KV.Addr())
	<-ctx.Done()
	return f.Close()
}
