package relay

import "time"

const (
	// budgetBuckets is the number of buckets into which a window is divided.
	budgetBuckets = 10
	// budgetShare is the part of the deployment's retry limit that its routers use. The rest
	// allows for windows that begin at different times at different routers, and for retries
	// by callers, which are counted as requests.
	budgetShare = 0.75
	// initialRouters is the assumed number of routers until an agent has reported how many
	// are connected to it.
	initialRouters = 8
)

// retryBudget limits the retries of one router so that all routers together stay within the
// limit of the deployment.
type retryBudget struct {
	cfg Settings
	// routerCount is the estimated number of routers of the deployment.
	routerCount int
	// windows has the window of each service.
	windows map[string]*window
}

// window counts the requests and retries of a service in buckets of equal duration, the
// latest first.
type window struct {
	// bucketStart is the start time of the latest bucket.
	bucketStart   time.Time
	requestCounts [budgetBuckets]int
	retryCounts   [budgetBuckets]int
}

func newRetryBudget(cfg Settings) retryBudget {
	return retryBudget{cfg: cfg, routerCount: initialRouters, windows: make(map[string]*window)}
}

// window returns the window of a service, moved forward to the time now.
func (b *retryBudget) window(now time.Time, service string) *window {
	w := b.windows[service]
	if w == nil {
		w = &window{bucketStart: now}
		b.windows[service] = w
	}
	span := b.cfg.RetryWindow / budgetBuckets
	for n := 0; span > 0 && now.Sub(w.bucketStart) >= span; n++ {
		w.bucketStart = w.bucketStart.Add(span)
		if n >= budgetBuckets {
			w.bucketStart = now
		}
		copy(w.requestCounts[1:], w.requestCounts[:budgetBuckets-1])
		copy(w.retryCounts[1:], w.retryCounts[:budgetBuckets-1])
		w.requestCounts[0], w.retryCounts[0] = 0, 0
	}
	return w
}

// countRequest adds a request to the window of its service.
func (b *retryBudget) countRequest(now time.Time, service string) {
	b.window(now, service).requestCounts[0]++
}

// countRetry adds a retry to the window of its service.
func (b *retryBudget) countRetry(now time.Time, service string) {
	b.window(now, service).retryCounts[0]++
}

// allowsRetry reports whether one more retry is within this router's share of the limit.
func (b *retryBudget) allowsRetry(now time.Time, service string) bool {
	w := b.window(now, service)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += w.requestCounts[i]
		retries += w.retryCounts[i]
	}
	extra := b.cfg.RetryExtra / float64(b.routerCount)
	return float64(retries+1) <= budgetShare*(b.cfg.RetryRatio*float64(requests)+extra)
}
