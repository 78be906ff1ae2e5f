package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"chervilreach/platform/mock"
)

// Ports that are the same on all hosts of a fleet. Each host has its own loopback address.
const (
	portWire          = 17_400
	portAdmin         = 17_401
	portCallers       = 17_402
	portReady         = 17_403
	portStore         = 17_404
	portReplica       = 17_405
	portReplicaDirect = 17_406
	portReplicaAgent  = 17_407
)

// process is a router or an agent on its own host. Its program is restarted after an injected
// fault, but not if it exits by itself. role is the name of the command that the program runs.
type process struct {
	name, role string
	ip         netip.Addr
	settings   string
	storeLink  *proxy
	log        *os.File

	// faultMu is held while a fault is injected into the process, so that its program is
	// not restarted twice at once.
	faultMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the program started by cmd has exited.
	exited chan struct{}
	// shouldRun is false after the harness sent SIGTERM or SIGKILL. An exit while it is true is
	// a crash.
	shouldRun bool
	// disturbedAt is when the process was last started, signaled or disturbed by a fault.
	disturbedAt time.Time
	// disturbances are all values of disturbedAt so far.
	disturbances []time.Time
	// crashCount is the number of exits that the harness did not cause.
	crashCount int
	// crashErr is the exit error of the last crash; nil if the exit status was 0.
	crashErr  error
	lifetimes []lifetime
}

// lifetime records the start and the termination signals of one run of the program.
type lifetime struct {
	startedAt time.Time
	// stoppedAt and killedAt are when SIGTERM and SIGKILL were sent; zero if they were not.
	stoppedAt, killedAt time.Time
}

// replica is a test double of a replica. Its own agent connects to it through the proxy agentLink, all
// other processes through the proxy link.
type replica struct {
	*mock.Replica
	link, agentLink *proxy
	// faultMu is held while a fault is injected into the replica itself rather than its
	// link.
	faultMu sync.Mutex

	mu sync.Mutex
	// linkFaults are the periods in which the link did not pass everything on.
	linkFaults []linkFault
}

// linkFault is a period in which a link did not pass everything on. to is zero while it lasts.
type linkFault struct{ from, to time.Time }

// breakLink sets the mode of the link to the replica until ctx is done or d has passed.
func (r *replica) breakLink(ctx context.Context, m Mode, d time.Duration) {
	r.mu.Lock()
	n := len(r.linkFaults)
	r.linkFaults = append(r.linkFaults, linkFault{from: time.Now()})
	r.mu.Unlock()
	r.link.setMode(m)
	sleep(ctx, d)
	r.link.setMode(Pass)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkFaults[n].to = time.Now()
}

// linkFaultBetween reports whether there was a fault of the link between the times.
func (r *replica) linkFaultBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.linkFaults, func(f linkFault) bool {
		return !f.from.After(to) && (f.to.IsZero() || !f.to.Before(from))
	})
}

// fleet is a deployment on loopback: the store, replicas, agents and routers.
type fleet struct {
	bin      string
	store    *mock.Store
	server   *http.Server
	runLog   *mock.RunLog
	routers  []*process
	agents   []*process
	replicas []*replica
	models   []string
}

// fleetSize is the number of processes and replicas of a fleet.
type fleetSize struct {
	// modelReplicaCount is the number of replicas that load models, each with an agent;
	// plain replicas have neither models nor agents.
	routerCount, modelReplicaCount, plainReplicaCount int
	// callerSettings are further settings of the routers' section "callers", each after a comma.
	callerSettings string
}

// hostIP returns the loopback address of a host. Fleets that run at the same time have
// different network numbers.
func hostIP(network, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + network/250), byte(1 + network%250), byte(host + 1)})
}

func addrPort(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

// newFleet starts a fleet from the program bin, with the logs and settings of its processes in
// dir. If it fails, it may return a fleet to stop along with the error.
func newFleet(ctx context.Context, bin, dir string, network int, s fleetSize) (*fleet, error) {
	f := &fleet{bin: bin, store: mock.NewStore(), runLog: &mock.RunLog{}, models: []string{"a", "b", "c", "d", "e", "f"}}
	f.store.Put("op/config", mock.Config(1, f.models))
	host := 0
	nextIP := func() netip.Addr { host++; return hostIP(network, host) }
	storeAddr := addrPort(nextIP(), portStore)
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", storeAddr.String())
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(l) }()
	for i := range s.plainReplicaCount {
		spec := mock.Spec{Service: mock.PlainService, FailureDomain: zone(i), Slots: 8, StepTime: 15 * time.Millisecond}
		if _, err := f.addReplica(ctx, nextIP(), spec); err != nil {
			return f, err
		}
	}
	for i := range s.modelReplicaCount {
		ip := nextIP()
		spec := mock.Spec{
			Service: mock.ModelService, FailureDomain: zone(i), Slots: 16, StepTime: 8 * time.Millisecond, StreamEvents: eventsPerStream,
			LoadTime: loadTime, MaxModels: 2, CachedOnDisk: f.models,
			Models: []string{f.models[i%len(f.models)], f.models[(i+1)%len(f.models)]}, Software: softwareVersions[i%len(softwareVersions)],
		}
		r, err := f.addReplica(ctx, ip, spec)
		if err != nil {
			return f, err
		}
		p, err := f.addProcess(ctx, dir, "swap", fmt.Sprintf("side-%d", i), ip, storeAddr, r.link, "")
		f.agents = append(f.agents, p)
		if err != nil {
			return f, err
		}
	}
	for i := range s.routerCount {
		p, err := f.addProcess(ctx, dir, "relay", fmt.Sprintf("front-%d", i), nextIP(), storeAddr, nil, s.callerSettings)
		f.routers = append(f.routers, p)
		if err != nil {
			return f, err
		}
	}
	return f, nil
}

// router returns the router with the name, which must exist.
func (f *fleet) router(name string) *process {
	i := slices.IndexFunc(f.routers, func(p *process) bool { return p.name == name })
	return f.routers[i]
}

// zone returns the failure domain of the i-th replica.
func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

// refuseWhileDown has the proxies of a replica refuse connections while it is down, as its host would.
func (h *harness) refuseWhileDown(r *replica) {
	r.OnRunning(func(running bool) {
		for _, p := range []*proxy{r.link, r.agentLink} {
			err := p.stopListening
			if running {
				err = func() error { return p.listen(context.Background()) }
			}
			if err := err(); err != nil {
				h.addViolation("proxy of %s: %v", r.Addr(), err)
			}
		}
	})
}

// addReplica starts a replica and a proxy in front of it, whose address is the one that the
// store lists.
func (f *fleet) addReplica(ctx context.Context, ip netip.Addr, spec mock.Spec) (*replica, error) {
	direct := addrPort(ip, portReplicaDirect)
	link, err := newProxy(ctx, addrPort(ip, portReplica), direct)
	if err != nil {
		return nil, fmt.Errorf("start proxy of a replica: %w", err)
	}
	agentLink, err := newProxy(ctx, addrPort(ip, portReplicaAgent), direct)
	if err != nil {
		return nil, fmt.Errorf("start proxy of a replica for its agent: %w", err)
	}
	spec.ListedAddress = addrPort(ip, portReplica)
	r, err := mock.NewReplica(ctx, f.store, f.runLog, spec, direct)
	if err != nil {
		return nil, err
	}
	added := &replica{Replica: r, link: link, agentLink: agentLink}
	f.replicas = append(f.replicas, added)
	return added, nil
}

// addProcess writes the settings of a process and starts it with a proxy between it and the
// store. role is the command that the process runs. link is the proxy of the replica of an
// agent, and nil for a router, for which callerSettings are fleetSize.callerSettings. The process is returned along with an error too.
func (f *fleet) addProcess(ctx context.Context, dir, role, name string, ip netip.Addr, store netip.AddrPort, link *proxy, callerSettings string) (*process, error) {
	p := &process{name: name, role: role, ip: ip, settings: filepath.Join(dir, name+".jsonc")}
	var err error
	if p.storeLink, err = newProxy(ctx, addrPort(ip, portStore), store); err != nil {
		return p, fmt.Errorf("start proxy of the store: %w", err)
	}
	section := fmt.Sprintf(`"callers": {"listen": %q, "ready": %q%s}`, addrPort(ip, portCallers), addrPort(ip, portReady), callerSettings)
	if link != nil {
		section = fmt.Sprintf(`"endpoint": {"address": %q, "service": %q}`, addrPort(ip, portReplicaAgent), mock.ModelService)
	}
	text := fmt.Sprintf(`{"process": {"host": %q, "failure-domain": "zone-0", "wire": %q, "admin": %q, "drain-timeout": "8s"},
"store": {"address": %q}, "retries": {"ratio": 0.2, "extra": 100}, %s}`,
		name, addrPort(ip, portWire), addrPort(ip, portAdmin), addrPort(ip, portStore), section)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return p, fmt.Errorf("write settings: %w", err)
	}
	if p.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return p, fmt.Errorf("open log: %w", err)
	}
	return p, p.start(f.bin)
}

// start starts the program and watches for its exit.
func (p *process) start(bin string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.CommandContext(context.Background(), bin, p.role, p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.shouldRun, p.exited = cmd, true, make(chan struct{})
	p.recordDisturbance()
	p.lifetimes = append(p.lifetimes, lifetime{startedAt: p.disturbedAt})
	go p.wait(cmd, p.exited)
	return nil
}

// wait waits for the program to exit, records a crash and closes exited.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shouldRun && p.cmd == cmd {
		p.crashCount++
		p.crashErr = err
	}
	close(exited)
}

// signal sends a signal to the program and records the time. It does nothing else if the
// program has exited.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordDisturbance()
	current := &p.lifetimes[len(p.lifetimes)-1]
	switch sig {
	case syscall.SIGKILL:
		p.shouldRun, current.killedAt = false, p.disturbedAt
	case syscall.SIGTERM:
		p.shouldRun, current.stoppedAt = false, p.disturbedAt
	}
	// The error means that the program has exited already.
	_ = p.cmd.Process.Signal(sig)
}

// restart sends the signal, waits for the program to exit and starts it again. A program that
// does not exit within timeout is killed.
func (p *process) restart(bin string, sig syscall.Signal, timeout time.Duration) error {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.signal(sig)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-exited
	}
	return p.start(bin)
}

// mustAnswer reports whether the program that received the request was required to answer it.
// It was unless it was killed before the request ended, or the request was sent more than
// openConnGrace after SIGTERM, when the program closes its open connections.
func (p *process) mustAnswer(o outcome) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range slices.Backward(p.lifetimes) {
		if l.startedAt.After(o.connectedAt) {
			continue
		}
		killed := !l.killedAt.IsZero() && l.killedAt.Before(o.endedAt)
		afterGrace := !l.stoppedAt.IsZero() && o.sentAt.After(l.stoppedAt.Add(openConnGrace))
		return !killed && !afterGrace
	}
	return false
}

// markDisturbed records that a fault affected the process just now.
func (p *process) markDisturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordDisturbance()
}

// recordDisturbance records that the process is disturbed now. The caller holds p.mu.
func (p *process) recordDisturbance() {
	p.disturbedAt = time.Now()
	p.disturbances = append(p.disturbances, p.disturbedAt)
}

// disturbedBetween reports whether the process was started, signaled or disturbed by a fault
// between the times.
func (p *process) disturbedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbances, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// lastDisturbed returns when the process was last started, signaled or disturbed by a fault.
func (p *process) lastDisturbed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbedAt
}

// stop kills the processes of the fleet and closes its replicas, proxies, logs and store. It
// signals only processes that the fleet started, by their process IDs.
func (f *fleet) stop() error {
	var errs []error
	for _, p := range append(append([]*process{}, f.routers...), f.agents...) {
		if p.cmd == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		errs = append(errs, p.storeLink.close(), p.log.Close())
	}
	for _, r := range f.replicas {
		errs = append(errs, r.Crash(), r.link.close(), r.agentLink.close())
	}
	if f.server != nil {
		errs = append(errs, f.server.Close())
	}
	return errors.Join(errs...)
}
