package fakes

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"chervilreach/core/fleet"
)

// Headers of the weight store.
const (
	headerEndpoint     = "X-Endpoint"
	headerRetryAfterMS = "Retry-After-Ms"
)

// defaultFetchTime is the time of one load at full speed.
const defaultFetchTime = 1300 * time.Millisecond

// StoreOptions configure a Store. The zero value is usable.
type StoreOptions struct {
	// LoadsPerSecond limits the loads that begin; 3 when zero. Beyond it the
	// store answers 429 with Retry-After.
	LoadsPerSecond float64
	// LoadsAtOnce is how many loads run at full speed; 4 when zero. Beyond it
	// all that begin are slower.
	MaxConcurrentLoads int
	// Refuse has the store answer 429 beyond LoadsAtOnce instead.
	RejectExcess bool
	// FetchTime is the time of one load at full speed; 1.3 s when zero.
	FetchTime time.Duration
	// TimeScale multiplies FetchTime and divides LoadsPerSecond; 1 when zero.
	TimeScale float64
}

// StoreFaults are the faults of a Store.
type StoreFaults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage,omitempty"`
	// Silent swallows calls.
	Silent bool `json:"silent,omitempty"`
	// Slowdown multiplies the time of loads that begin; 0 is 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// FailLoads is how many loads break off half way.
	FailLoads int `json:"fail-loads,omitempty"`
}

// StoreLoad is one load, or one refused attempt.
type StoreLoad struct {
	Model    fleet.ModelID    `json:"model"`
	Endpoint fleet.EndpointID `json:"endpoint"`
	Began    time.Time        `json:"began"`
	Ended    time.Time        `json:"ended,omitzero"`
	// AtOnce is how many loads ran when this began, with itself.
	Concurrent int `json:"at-once"`
	Status     int `json:"status"`
}

// Store stands in for the platform's weight store.
type Store struct {
	*server
	opts StoreOptions

	mu      sync.Mutex
	faults  StoreFaults
	loads   []StoreLoad
	running int
	// nextAt is when the next load may begin by the rate limit.
	nextStart time.Time
}

// NewStore returns a weight store that doesn't listen yet.
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

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// StoreReport is what GET /control answers.
type StoreReport struct {
	Faults StoreFaults `json:"faults"`
	Loads  []StoreLoad `json:"loads"`
}

// Report returns the faults and the log.
func (s *Store) Report() StoreReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreReport{Faults: s.faults, Loads: slices.Clone(s.loads)}
}

// Loads returns the log of loads and refused attempts.
func (s *Store) Loads() []StoreLoad {
	return s.Report().Loads
}

// MaxAtOnce returns the most loads that ever ran at one time.
func (s *Store) MaxConcurrent() int {
	highest := 0
	for _, load := range s.Loads() {
		highest = max(highest, load.Concurrent)
	}
	return highest
}

func (s *Store) commonFaults() commonFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return commonFaults{outage: s.faults.Outage, silent: s.faults.Silent}
}

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

// fetchTime is the time of a load that is so much slower than at full speed.
func (s *Store) fetchTime(slowdown float64) time.Duration {
	return time.Duration(float64(s.opts.FetchTime) * s.opts.TimeScale * slowdown)
}

// begin starts a load, or says how long to wait. A load is slower by as much
// as there are more than LoadsAtOnce.
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
	if s.opts.RejectExcess && s.running >= s.opts.MaxConcurrentLoads {
		wait = max(wait, s.fetchTime(1)/time.Duration(s.opts.MaxConcurrentLoads))
	}
	if wait > 0 {
		load.Status, load.Ended = http.StatusTooManyRequests, now
		s.loads = append(s.loads, load)
		return 0, wait, 0
	}
	s.nextStart = s.nextStart.Add(interval)
	s.running++
	load.Concurrent = s.running
	s.loads = append(s.loads, load)
	slowdown = max(s.faults.Slowdown, 1) * max(float64(s.running)/float64(s.opts.MaxConcurrentLoads), 1)
	return len(s.loads) - 1, 0, slowdown
}

func (s *Store) endLoad(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.loads[index].Ended = time.Now()
}

// breaks says whether a load breaks off.
func (s *Store) consumeLoadFailure() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FailLoads <= 0 {
		return false
	}
	s.faults.FailLoads--
	return true
}
