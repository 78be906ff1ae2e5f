package relay

import "time"

const (
	// budgetSlots is into how many spans a window is divided.
	budgetBuckets = 10
	// budgetShare keeps repeats below the bound, as routers see windows that begin
	// at other moments and a caller's repeats look like requests.
	budgetShare = 0.75
	// fewestRouters is assumed until an agent has told how many there are.
	initialRouters = 8
)

// budget bounds the repeats of one router so that all routers together stay
// within the deployment's bound.
type retryBudget struct {
	cfg      Settings
	routers  int
	services map[string]*window
}

// window counts the requests and repeats of a service in spans of time.
type window struct {
	begin    time.Time
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

func newRetryBudget(cfg Settings) retryBudget {
	return retryBudget{cfg: cfg, routers: initialRouters, services: make(map[string]*window)}
}

func (b *retryBudget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{begin: now}
		b.services[service] = w
	}
	span := b.cfg.RetryWindow / budgetBuckets
	for n := 0; span > 0 && now.Sub(w.begin) >= span; n++ {
		w.begin = w.begin.Add(span)
		if n >= budgetBuckets {
			w.begin = now
		}
		copy(w.requests[1:], w.requests[:budgetBuckets-1])
		copy(w.retries[1:], w.retries[:budgetBuckets-1])
		w.requests[0], w.retries[0] = 0, 0
	}
	return w
}

func (b *retryBudget) request(now time.Time, service string) { b.window(now, service).requests[0]++ }

func (b *retryBudget) retry(now time.Time, service string) { b.window(now, service).retries[0]++ }

// allows says whether one more repeat stays within this router's share.
func (b *retryBudget) allowsRetry(now time.Time, service string) bool {
	w := b.window(now, service)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	extra := float64(b.cfg.RetryExtra) / float64(b.routers)
	return float64(retries+1) <= budgetShare*(b.cfg.RetryRatio*float64(requests)+extra)
}
