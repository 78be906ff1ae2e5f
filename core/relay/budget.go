package relay

import "time"

const (
	// budgetSlots is into how many spans a window is divided.
	budgetSlots = 10
	// budgetShare keeps repeats below the bound, as routers see windows that begin
	// at other moments and a caller's repeats look like requests.
	budgetShare = 0.75
	// fewestRouters is assumed until an agent has told how many there are.
	fewestRouters = 8
)

// budget bounds the repeats of one router so that all routers together stay
// within the deployment's bound.
type budget struct {
	cfg      Settings
	routers  int
	services map[string]*window
}

// window counts the requests and repeats of a service in spans of time.
type window struct {
	begin    time.Time
	requests [budgetSlots]int
	repeats  [budgetSlots]int
}

func newBudget(cfg Settings) budget {
	return budget{cfg: cfg, routers: fewestRouters, services: make(map[string]*window)}
}

func (b *budget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{begin: now}
		b.services[service] = w
	}
	span := b.cfg.RetryWindow / budgetSlots
	for n := 0; span > 0 && now.Sub(w.begin) >= span; n++ {
		w.begin = w.begin.Add(span)
		if n >= budgetSlots {
			w.begin = now
		}
		copy(w.requests[1:], w.requests[:budgetSlots-1])
		copy(w.repeats[1:], w.repeats[:budgetSlots-1])
		w.requests[0], w.repeats[0] = 0, 0
	}
	return w
}

func (b *budget) request(now time.Time, service string) { b.window(now, service).requests[0]++ }

func (b *budget) repeat(now time.Time, service string) { b.window(now, service).repeats[0]++ }

// allows says whether one more repeat stays within this router's share.
func (b *budget) allows(now time.Time, service string) bool {
	w := b.window(now, service)
	requests, repeats := 0, 0
	for i := range budgetSlots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	extra := float64(b.cfg.RetryExtra) / float64(b.routers)
	return float64(repeats+1) <= budgetShare*(b.cfg.RetryRatio*float64(requests)+extra)
}
