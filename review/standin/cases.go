package main

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Names of services, and prefixes of routes.
const (
	modelService = "llm-pool"
	serviceA     = "switch-api"
	serviceB     = "ledger-api"

	streamPath = "/lohu930/"
	pathA      = "/puxa403/"
	pathB      = "/cufi504/"
	addedPath  = "/pufi791/"
)

var (
	zones  = []string{"hall-ikitelli", "hall-umraniye", "hall-gebze"}
	models = []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
	// sideCount is the number of machines with a model replica, pieceGap the time before each piece of a
	// stream.
	sideCount = 3
	pieceGap  = 10 * time.Millisecond
)

// side is a machine with a model replica and its agent.
type side struct {
	ip      netip.Addr
	replica *replica
	agent   *process
}

// deployment is what the cases have in common: three replicas of each of two plain services, three
// model replicas with their agents, and two routers.
type deployment struct {
	f       *fleet
	a, b    []*replica
	sides   []*side
	routers []*process
	clients []*client
}

// unsafeRoute returns a route of requests that can't be repeated.
func unsafeRoute(prefix, service string) routeSpec {
	return routeSpec{prefix: prefix, kind: "unsafe", service: service, timeoutMs: 1500, aimMs: 300, attempts: 1}
}

// routesTo returns the routes of a configuration in which service serves pathA.
func routesTo(service string, more ...routeSpec) []routeSpec {
	return append([]routeSpec{
		{prefix: streamPath, kind: "stream", service: modelService, resumable: true, timeoutMs: 35_000, aimMs: 4000, attempts: 2},
		unsafeRoute(pathA, service), unsafeRoute(pathB, serviceB),
	}, more...)
}

func allServices() []serviceSpec {
	return []serviceSpec{{modelService, models}, {serviceA, nil}, {serviceB, nil}}
}

// startPlatform starts the replicas and writes the first configuration.
func startPlatform(f *fleet) (*deployment, error) {
	d := &deployment{f: f}
	f.operator(1, routesTo(serviceA), allServices())
	for i, zone := range zones {
		for _, service := range []string{serviceA, serviceB} {
			spec := replicaSpec{
				id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zone, slots: 6, work: 60 * time.Millisecond,
			}
			r, err := f.addReplica(f.net.machine(), spec)
			if err != nil {
				return nil, err
			}
			if service == serviceA {
				d.a = append(d.a, r)
			} else {
				d.b = append(d.b, r)
			}
		}
	}
	for i := range sideCount {
		ip := f.net.machine()
		r, err := f.addReplica(ip, replicaSpec{
			id: fmt.Sprintf("i-%s-%d", modelService, i), service: modelService, zone: zones[i%3], slots: 64,
			models: models[:1], events: 20, gap: pieceGap, load: loadTime,
		})
		if err != nil {
			return nil, err
		}
		d.sides = append(d.sides, &side{ip: ip, replica: r})
	}
	return d, nil
}

// startSystem starts the agents and the given number of routers, which are in the first two zones.
func (d *deployment) startSystem(routers int) error {
	for i, s := range d.sides {
		p, err := d.f.addProcess("swap", fmt.Sprintf("side-%d", i), zones[i%3], s.ip, modelService)
		if err != nil {
			return err
		}
		s.agent = p
	}
	for i := range routers {
		p, err := d.f.addProcess("relay", fmt.Sprintf("front-%d", i), zones[i%2], d.f.net.machine(), "")
		if err != nil {
			return err
		}
		d.routers = append(d.routers, p)
		d.clients = append(d.clients, newClient(d.f.rec, p))
	}
	return d.f.awaitReady()
}

// operator writes a configuration and returns the time of its acknowledgement.
func (f *fleet) operator(version int, routes []routeSpec, services []serviceSpec) time.Time {
	revision := f.store.put("op/config", configOf(version, routes, services))
	at := time.Now()
	text := ""
	for _, r := range routes {
		text += " " + r.prefix + " to " + r.service
	}
	f.rec.add("operator: version %d acknowledged at revision %d:%s", version, revision, text)
	return at
}

// drill lets the store be away for a moment and come back from a copy. Within two seconds, the operator
// and the replicas write again what they have written since the copy.
func (f *fleet) drill(b backup, rewrite func()) {
	f.rec.add("store: away at revision %d, era %d", f.store.currentRevision(), f.store.era)
	f.store.setAway(true)
	time.Sleep(awayTime)
	f.store.restore(b)
	f.rec.add("store: back from a copy that is %.1f s old, at revision %d, era %d", time.Since(b.takenAt).Seconds(), b.revision, f.store.era)
	rewrite()
	for _, r := range f.replicas {
		r.writeEntry()
	}
	f.rec.add("store: written again by the operator and the replicas, revision %d", f.store.currentRevision())
}

// awayTime is the moment for which the store is away in a drill.
const awayTime = time.Second

// sleepUntil sleeps until a time after the start.
func sleepUntil(start time.Time, d time.Duration) { time.Sleep(time.Until(start.Add(d))) }

// playConfig: the operator moves a route shortly after the store came back from a copy that lacks the
// version before.
func playConfig(f *fleet, trouble bool) ([]string, error) {
	d, err := startPlatform(f)
	if err != nil {
		return nil, err
	}
	if err := d.startSystem(2); err != nil {
		return nil, err
	}
	start := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { load(d.clients, pathA+"2f", 100*time.Millisecond, 1500*time.Millisecond, stop) })
	sleepUntil(start, 4*time.Second)
	b := f.store.copyNow()
	f.rec.add("store: the copy is taken at revision %d", b.revision)
	sleepUntil(start, 8500*time.Millisecond)
	v2 := routesTo(serviceA, unsafeRoute(addedPath, serviceB))
	f.operator(2, v2, allServices())
	sleepUntil(start, 10*time.Second)
	backAt := time.Now()
	if trouble {
		f.drill(b, func() { f.operator(2, v2, allServices()) })
		backAt = time.Now()
	}
	sleepUntil(start, 12500*time.Millisecond)
	v3 := routesTo(serviceB, unsafeRoute(addedPath, serviceB))
	ackAt := f.operator(3, v3, allServices())
	// The bound of the rule, stretched by the longest time that an unstable store may stretch it.
	from := ackAt.Add(configApply + maxStretch)
	if calm := backAt.Add(contact); calm.After(from) {
		from = calm
	}
	sleepUntil(start, 45*time.Second)
	close(stop)
	wg.Wait()
	f.rec.add("requests sent from %.3f on must be run by %s", f.rec.since(from), serviceB)
	return f.rec.runsElsewhere(from, pathA, serviceB), nil
}

// runsElsewhere returns the runs of requests sent on a path from a time on that were not at the service.
func (r *record) runsElsewhere(from time.Time, path, service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := make(map[string]call)
	for _, c := range r.calls {
		sent[c.id] = c
	}
	var broken []string
	right := 0
	for _, x := range r.runs {
		c, ok := sent[x.id]
		if !ok || c.sentAt.Before(from) || len(x.path) < len(path) || x.path[:len(path)] != path {
			continue
		}
		if x.service == service {
			right++
			continue
		}
		broken = append(broken, fmt.Sprintf("%s, sent at %.3f on %s, was run by %s (%s); the configuration allows %s only; the client got %d with seal %q",
			x.id, r.since(c.sentAt), path, x.service, x.replica, service, c.status, c.seal))
	}
	r.line("%d requests were run by %s, %d by others", right, service, len(broken))
	return broken
}

// playFence: agents are restarted after the store came back from a copy that is older than their start.
func playFence(f *fleet, trouble bool) ([]string, error) {
	d, err := startPlatform(f)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	sleepUntil(start, 1500*time.Millisecond)
	b := f.store.copyNow()
	f.rec.add("store: the copy is taken at revision %d", b.revision)
	sleepUntil(start, 5500*time.Millisecond)
	if err := d.startSystem(2); err != nil {
		return nil, err
	}
	c := d.clients[0]
	var wg sync.WaitGroup
	ask := func(list []string) {
		for _, m := range list {
			wg.Go(func() { c.send(streamPath+"2f", m, 30*time.Second) })
		}
		wg.Wait()
	}
	time.Sleep(500 * time.Millisecond)
	ask(models[1:4])
	if trouble {
		f.drill(b, func() { f.operator(1, routesTo(serviceA), allServices()) })
	}
	// Planned work, with and without the drill: the agents are stopped and started in turn.
	for _, s := range d.sides {
		restartedAt := time.Now()
		if err := s.agent.restart(); err != nil {
			return nil, err
		}
		sleepUntil(restartedAt, time.Second)
	}
	time.Sleep(4 * time.Second)
	ordersBefore := f.rec.orderCount()
	ask(models[4:7])
	time.Sleep(time.Second)
	ask(models[7:9])
	time.Sleep(time.Second)
	if f.rec.orderCount() == ordersBefore {
		return nil, errors.New("no orders after the restart of the agents")
	}
	return f.rec.lowerTokens(), nil
}

// orderCount returns the number of orders so far.
func (r *record) orderCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.orders)
}

// lowerTokens returns the orders with a fencing token lower than one before at the same replica.
func (r *record) lowerTokens() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	highest := make(map[string]int64)
	var broken []string
	for _, o := range r.orders {
		if o.token < highest[o.replica] {
			broken = append(broken, fmt.Sprintf("%s got an order of %s with fencing token %d at %.3f, after one with %d",
				o.replica, o.holder, o.token, r.since(o.at), highest[o.replica]))
		}
		highest[o.replica] = max(highest[o.replica], o.token)
	}
	r.line("%d orders, %d with a lower fencing token than one before", len(r.orders), len(broken))
	return broken
}

// playEntry: another writer writes an entry that lacks most fields under the id of a replica.
func playEntry(f *fleet, trouble bool) ([]string, error) {
	d, err := startPlatform(f)
	if err != nil {
		return nil, err
	}
	if err := d.startSystem(2); err != nil {
		return nil, err
	}
	start := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { load(d.clients, pathA+"2f", 100*time.Millisecond, 1500*time.Millisecond, stop) })
	wg.Go(func() { load(d.clients, pathB+"2f", 10*time.Millisecond, 1500*time.Millisecond, stop) })
	for i := range 3 {
		sleepUntil(start, time.Duration(4+3*i)*time.Second)
		r := d.a[i%len(d.a)]
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready"}`, serviceB, r.spec.addr)
		if trouble {
			revision := f.store.put("servers/"+r.spec.id, []byte(entry))
			f.rec.add("another writer: servers/%s = %s at revision %d", r.spec.id, entry, revision)
		}
	}
	sleepUntil(start, 13*time.Second)
	close(stop)
	wg.Wait()
	return f.rec.runsElsewhere(start, pathB, serviceB), nil
}

// playDrain: replicas of a service that is rarely called drain and leave after the store came back from a
// copy.
func playDrain(f *fleet, trouble bool) ([]string, error) {
	d, err := startPlatform(f)
	if err != nil {
		return nil, err
	}
	if err := d.startSystem(2); err != nil {
		return nil, err
	}
	start := time.Now()
	for _, c := range d.clients {
		c.send(pathA+"2f", "", 1500*time.Millisecond)
	}
	sleepUntil(start, 2*time.Second)
	b := f.store.copyNow()
	f.rec.add("store: the copy is taken at revision %d", b.revision)
	sleepUntil(start, 11*time.Second)
	if trouble {
		f.drill(b, func() { f.operator(1, routesTo(serviceA), allServices()) })
	}
	time.Sleep(contact + 200*time.Millisecond)
	var wg sync.WaitGroup
	ackAt := time.Now()
	for _, x := range d.a[:2] {
		x.setWork(400 * time.Millisecond)
		f.rec.add("replica %s is draining, acknowledged at revision %d", x.spec.id, x.drain())
	}
	time.Sleep(drainBound + 250*time.Millisecond)
	for _, c := range d.clients {
		wg.Go(func() { c.send(pathA+"2f", "", 1500*time.Millisecond) })
	}
	time.Sleep(200 * time.Millisecond)
	for _, x := range d.a[:2] {
		x.leave()
	}
	wg.Wait()
	time.Sleep(time.Second)
	return f.rec.runsAfterDrain(ackAt.Add(drainBound), d.a[:2]), nil
}

// runsAfterDrain returns the runs at the replicas of requests that were sent after a time.
func (r *record) runsAfterDrain(from time.Time, gone []*replica) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := make(map[string]call)
	for _, c := range r.calls {
		sent[c.id] = c
	}
	var broken []string
	for _, x := range r.runs {
		for _, g := range gone {
			if c := sent[x.id]; x.replica == g.spec.id && c.sentAt.After(from) {
				broken = append(broken, fmt.Sprintf("%s, sent at %.3f, reached %s at %.3f, over %s after its draining was acknowledged; the client got %d (%v)",
					x.id, r.since(c.sentAt), x.replica, r.since(x.at), drainBound, c.status, c.err))
			}
		}
	}
	return broken
}

// Times of playCut.
const (
	cutTime = 8500 * time.Millisecond
	// leaveAfter is the time from the end of a cut until replicas leave, exitAfter the time from then
	// until they exit: drainMs and a little longer.
	leaveAfter = 900 * time.Millisecond
	exitAfter  = drainBound + 400*time.Millisecond
	cycles     = 7
)

// playCut: two routers are cut off from the store again and again. Soon after, replicas of a service that is
// rarely called leave; their entries are removed without having been draining.
func playCut(f *fleet, trouble bool) ([]string, error) {
	d, err := startPlatform(f)
	if err != nil {
		return nil, err
	}
	if err := d.startSystem(5); err != nil {
		return nil, err
	}
	// Two of five machines are cut off, as the bench does it for a share of 0.35.
	cutOff := d.routers[:2]
	var broken []string
	var wg sync.WaitGroup
	for n := range cycles {
		time.Sleep(time.Second)
		if trouble {
			f.rec.add("cut %d: front-0 and front-1 are cut off from the store for %s", n, cutTime)
		}
		for _, p := range cutOff {
			if err := p.link.setCut(trouble); err != nil {
				return nil, err
			}
		}
		time.Sleep(cutTime)
		for _, p := range cutOff {
			if err := p.link.setCut(false); err != nil {
				return nil, err
			}
		}
		healedAt := time.Now()
		f.rec.add("cut %d: the way to the store is open", n)
		sleepUntil(healedAt, leaveAfter)
		// The replicas in the routers' zones, which these prefer.
		leaving := slices.Clone(d.a[:2])
		ackAt := time.Now()
		for _, x := range leaving {
			x.setWork(400 * time.Millisecond)
			f.rec.add("replica %s leaves: its entry is removed at revision %d, and it serves on", x.spec.id, x.unlist())
		}
		// Later than drainMs after the acknowledgement, and contactMs after the end of the cut.
		sleepUntil(healedAt, max(contact, leaveAfter+drainBound)+50*time.Millisecond)
		for _, c := range d.clients {
			wg.Go(func() { c.send(pathA+"2f", "", 1500*time.Millisecond) })
		}
		sleepUntil(ackAt, exitAfter)
		for _, x := range leaving {
			x.crash()
		}
		wg.Wait()
		broken = append(broken, f.rec.runsAfterDrain(ackAt.Add(drainBound), leaving)...)
		for i, x := range leaving {
			spec := x.spec
			spec.id, spec.work = fmt.Sprintf("i-%s-%d-%d", serviceA, i, n+1), 60*time.Millisecond
			if d.a[i], err = f.addReplica(f.net.machine(), spec); err != nil {
				return nil, err
			}
		}
	}
	return broken, nil
}

// playTwice: one of nine model replicas takes eight times as long for part of its requests.
func playTwice(f *fleet, trouble bool) ([]string, error) {
	sideCount, pieceGap = 9, 160*time.Millisecond
	d, err := startPlatform(f)
	if err != nil {
		return nil, err
	}
	if err := d.startSystem(2); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.sides[0].replica.setSlow(true)
	}
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < greyTime; n++ {
		wg.Go(func() { d.clients[n%len(d.clients)].send(streamPath+"2f", models[0], 30*time.Second) })
		time.Sleep(100 * time.Millisecond)
	}
	d.sides[0].replica.setSlow(false)
	wg.Wait()
	time.Sleep(30 * time.Second)
	return f.rec.overlaps(400 * time.Millisecond), nil
}

// greyTime is for how long the replica is slow.
const greyTime = 6500 * time.Millisecond

// overlaps returns the runs that had gone on for longer than d when the same request ran elsewhere.
func (r *record) overlaps(d time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for i, x := range r.runs {
		for _, y := range r.runs[i+1:] {
			if y.id == x.id && y.replica != x.replica && x.endedAt.After(y.at.Add(d)) {
				broken = append(broken, fmt.Sprintf("%s ran at %s from %.3f to %.3f and went on at %s at %.3f",
					x.id, x.replica, r.since(x.at), r.since(x.endedAt), y.replica, r.since(y.at)))
			}
		}
	}
	return broken
}
