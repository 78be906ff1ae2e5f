package fakes

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"chervilreach/core/fleet"
)

// Headers of the weight store. headerRetryAfterMS contains the retry delay with a finer
// resolution than Retry-After, in milliseconds.
const (
	headerEndpoint     = "X-Endpoint"
	headerRetryAfterMS = "Retry-After-Ms"
)

// defaultFetchTime is the duration of a load at full speed.
const defaultFetchTime = 1300 * time.Millisecond

// StoreOptions configure a Store. The zero value selects the defaults.
type StoreOptions struct {
	// LoadsPerSecond is the maximum rate of started loads; 3 if zero. The store rejects
	// further loads with status 429 and Retry-After.
	LoadsPerSecond float64
	// MaxConcurrentLoads is the number of concurrent loads up to which each runs at full
	// speed; 4 if zero. Loads started beyond it are slower in proportion to the number of
	// running loads.
	MaxConcurrentLoads int
	// RejectExcess makes the store reject loads beyond MaxConcurrentLoads with status 429,
	// instead of slowing them down.
	RejectExcess bool
	// FetchTime is the duration of a load at full speed; 1.3 s if zero.
	FetchTime time.Duration
	// TimeScale multiplies FetchTime and divides LoadsPerSecond; 1 if zero.
	TimeScale float64
}

// StoreFaults are the faults that a Store injects.
type StoreFaults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage,omitempty"`
	// Silent accepts calls without executing or answering them.
	Silent bool `json:"silent,omitempty"`
	// Slowdown multiplies the duration of loads that start while it is set; values below 1
	// have no effect.
	Slowdown float64 `json:"slowdown,omitempty"`
	// FailLoads is the number of loads whose connection will be closed midway.
	FailLoads int `json:"fail-loads,omitempty"`
}

// StoreLoad is the log entry of a load, or of a rejected attempt, whose Status is 429.
type StoreLoad struct {
	Model    fleet.ModelID    `json:"model"`
	Endpoint fleet.EndpointID `json:"endpoint"`
	Began    time.Time        `json:"began"`
	Ended    time.Time        `json:"ended,omitzero"`
	// ConcurrentLoads is the number of running loads at the start of this one, including itself;
	// 0 for a rejected attempt.
	ConcurrentLoads int `json:"at-once"`
	Status          int `json:"status"`
}

// Store is a stand-in for the platform's weight store.
type Store struct {
	*server
	opts StoreOptions

	mu           sync.Mutex
	faults       StoreFaults
	loads        []StoreLoad
	runningLoads int
	// nextStart is the earliest start of the next load according to the rate limit without
	// bursts.
	nextStart time.Time
}

// NewStore returns a weight store that does not listen until Start or StartIn.
func NewStore(opts StoreOptions) *Store {
	setDefault(&opts.LoadsPerSecond, 3)
	setDefault(&opts.MaxConcurrentLoads, 4)
	setDefault(&opts.FetchTime, defaultFetchTime)
	setDefault(&opts.TimeScale, 1)
	s := &Store{opts: opts}
	mux := http.NewServeMux()
	s.server = newServer(mux)
	mux.HandleFunc("GET /v1/weights/{model}", s.withFaults(s.commonFaults, s.serveLoad))
	handleControl(mux, s.Report, s.SetFaults)
	return s
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// StoreReport is the response body of GET /control.
type StoreReport struct {
	Faults StoreFaults `json:"faults"`
	Loads  []StoreLoad `json:"loads"`
}

// Report returns the faults and the log of loads.
func (s *Store) Report() StoreReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreReport{Faults: s.faults, Loads: slices.Clone(s.loads)}
}

// Loads returns the log of loads and rejected attempts.
func (s *Store) Loads() []StoreLoad {
	return s.Report().Loads
}

// PeakConcurrentLoads returns the highest number of loads that ran at the same time.
func (s *Store) PeakConcurrentLoads() int {
	highest := 0
	for _, load := range s.Loads() {
		highest = max(highest, load.ConcurrentLoads)
	}
	return highest
}

// commonFaults returns the current faults that apply to every call.
func (s *Store) commonFaults() commonFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return commonFaults{outage: s.faults.Outage, silent: s.faults.Silent}
}

// serveLoad answers when the load is complete, or at once with status 429 and the retry
// delay.
func (s *Store) serveLoad(w http.ResponseWriter, r *http.Request) {
	index, wait, slowdown := s.beginLoad(r)
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(wait/time.Second)+1))
		w.Header().Set(headerRetryAfterMS, strconv.Itoa(int(wait/time.Millisecond)+1))
		writeError(w, http.StatusTooManyRequests, "rate-limited", "too many loads")
		return
	}
	defer s.endLoad(index)
	half := s.fetchTime(slowdown) / 2
	if !s.sleep(r.Context(), half) || s.consumeLoadFailure() || !s.sleep(r.Context(), half) {
		abortHandler()
	}
	writeJSON(w, http.StatusOK, s.Loads()[index])
}

// fetchTime returns the duration of a load with the given slowdown, 1 at full speed.
func (s *Store) fetchTime(slowdown float64) time.Duration {
	return time.Duration(float64(s.opts.FetchTime) * s.opts.TimeScale * slowdown)
}

// beginLoad logs the start of a load and returns the index of its log entry and its
// slowdown. If the load is rejected, it logs the attempt and returns the positive time to
// wait before a retry. Bursts of up to MaxConcurrentLoads may exceed the rate limit.
func (s *Store) beginLoad(r *http.Request) (index int, wait time.Duration, slowdown float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	load := StoreLoad{
		Model:    fleet.ModelID(r.PathValue("model")),
		Endpoint: fleet.EndpointID(r.Header.Get(headerEndpoint)),
		Began:    now,
		Status:   http.StatusOK,
	}
	interval := time.Duration(float64(time.Second) * s.opts.TimeScale / s.opts.LoadsPerSecond)
	burst := interval * time.Duration(s.opts.MaxConcurrentLoads-1)
	if s.nextStart.Before(now) {
		s.nextStart = now
	}
	wait = s.nextStart.Sub(now) - burst
	if s.opts.RejectExcess && s.runningLoads >= s.opts.MaxConcurrentLoads {
		wait = max(wait, s.fetchTime(1)/time.Duration(s.opts.MaxConcurrentLoads))
	}
	if wait > 0 {
		load.Status, load.Ended = http.StatusTooManyRequests, now
		s.loads = append(s.loads, load)
		return 0, wait, 0
	}
	s.nextStart = s.nextStart.Add(interval)
	s.runningLoads++
	load.ConcurrentLoads = s.runningLoads
	s.loads = append(s.loads, load)
	slowdown = max(s.faults.Slowdown, 1) * max(float64(s.runningLoads)/float64(s.opts.MaxConcurrentLoads), 1)
	return len(s.loads) - 1, 0, slowdown
}

// endLoad logs the end of the load with the given index.
func (s *Store) endLoad(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningLoads--
	s.loads[index].Ended = time.Now()
}

// consumeLoadFailure decrements FailLoads and reports whether the current load fails.
func (s *Store) consumeLoadFailure() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FailLoads <= 0 {
		return false
	}
	s.faults.FailLoads--
	return true
}
