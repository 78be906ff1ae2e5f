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

// Ports that all hosts of a fleet have in common; each host is an address of the
// loopback net of its own.
const (
	portWire          = 17_400
	portAdmin         = 17_401
	portCallers       = 17_402
	portReady         = 17_403
	portStore         = 17_404
	portReplica       = 17_405
	portReplicaDirect = 17_406
)

// process is one program on a host of its own.
type process struct {
	name, role string
	ip         netip.Addr
	settings   string
	storeLink  *proxy
	log        *os.File

	// faulty is held by the fault that works on the process.
	faultMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when cmd has ended.
	exited chan struct{}
	// wanted says that the process is to run.
	shouldRun bool
	// disturbedAt is when something was last done to it.
	disturbedAt time.Time
	// crashes counts ends that nobody asked for.
	crashes int
	// failure is how the last of them ended.
	crashErr  error
	lifetimes []lifetime
}

// life is the time from a start of a program to its end.
type lifetime struct {
	startedAt time.Time
	// stoppedAt and killedAt are when it was told to stop and when it was killed; zero
	// if it was not.
	stoppedAt, killedAt time.Time
}

// replica is a replica with the proxy before it.
type replica struct {
	*mock.Replica
	link *proxy
	// faulty is held by the fault that works on the replica itself.
	faultMu sync.Mutex
}

// fleet is a deployment on loopback.
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

// shape is the size of a fleet.
type fleetSize struct {
	routers, modelReplicas, plainReplicas int
}

// hostIP returns the address of a host; net tells fleets that run beside each
// other apart.
func hostIP(network, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + network/250), byte(1 + network%250), byte(host + 1)})
}

func addrPort(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

// newFleet starts a fleet whose logs and settings are kept in a folder.
func newFleet(ctx context.Context, bin, dir string, network int, s fleetSize) (*fleet, error) {
	f := &fleet{bin: bin, store: mock.NewStore(), runLog: &mock.RunLog{}, models: []string{"a", "b", "c", "d", "e", "f"}}
	f.store.Put("op/config", mock.Config(1, f.models))
	host := 0
	next := func() netip.Addr { host++; return hostIP(network, host) }
	storeAt := addrPort(next(), portStore)
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", storeAt.String())
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(l) }()
	for i := range s.plainReplicas {
		spec := mock.Spec{Service: mock.PlainService, FailureDomain: zone(i), Slots: 8, StepTime: 15 * time.Millisecond}
		if _, err := f.addReplica(ctx, next(), spec); err != nil {
			return f, err
		}
	}
	for i := range s.modelReplicas {
		ip := next()
		spec := mock.Spec{
			Service: mock.ModelService, FailureDomain: zone(i), Slots: 16, StepTime: 8 * time.Millisecond, StreamEvents: streamEvents,
			LoadTime: loadTime, MaxModels: 2, CachedOnDisk: f.models,
			Models: []string{f.models[i%len(f.models)], f.models[(i+1)%len(f.models)]},
		}
		r, err := f.addReplica(ctx, ip, spec)
		if err != nil {
			return f, err
		}
		p, err := f.addProcess(ctx, dir, "swap", fmt.Sprintf("side-%d", i), ip, storeAt, r.link)
		f.agents = append(f.agents, p)
		if err != nil {
			return f, err
		}
	}
	for i := range s.routers {
		p, err := f.addProcess(ctx, dir, "relay", fmt.Sprintf("front-%d", i), next(), storeAt, nil)
		f.routers = append(f.routers, p)
		if err != nil {
			return f, err
		}
	}
	return f, nil
}

// router returns the router with a name.
func (f *fleet) router(name string) *process {
	i := slices.IndexFunc(f.routers, func(p *process) bool { return p.name == name })
	return f.routers[i]
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

// addReplica starts a replica behind a proxy, which is the address on the list.
func (f *fleet) addReplica(ctx context.Context, ip netip.Addr, spec mock.Spec) (*replica, error) {
	inner := addrPort(ip, portReplicaDirect)
	link, err := newProxy(ctx, addrPort(ip, portReplica), inner)
	if err != nil {
		return nil, fmt.Errorf("start proxy of a replica: %w", err)
	}
	spec.ListedAddress = addrPort(ip, portReplica)
	r, err := mock.NewReplica(ctx, f.store, f.runLog, spec, inner)
	if err != nil {
		return nil, err
	}
	one := &replica{Replica: r, link: link}
	f.replicas = append(f.replicas, one)
	return one, nil
}

func (f *fleet) addProcess(ctx context.Context, dir, role, name string, ip netip.Addr, store netip.AddrPort, link *proxy) (*process, error) {
	p := &process{name: name, role: role, ip: ip, settings: filepath.Join(dir, name+".jsonc")}
	var err error
	if p.storeLink, err = newProxy(ctx, addrPort(ip, portStore), store); err != nil {
		return p, fmt.Errorf("start proxy of the store: %w", err)
	}
	section := fmt.Sprintf(`"callers": {"listen": %q, "ready": %q}`, addrPort(ip, portCallers), addrPort(ip, portReady))
	if link != nil {
		section = fmt.Sprintf(`"endpoint": {"address": %q, "service": %q}`, addrPort(ip, portReplicaDirect), mock.ModelService)
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

// start starts the program and starts it again whenever it ends while it is
// wanted.
func (p *process) start(bin string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.CommandContext(context.Background(), bin, p.role, p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.shouldRun, p.exited, p.disturbedAt = cmd, true, make(chan struct{}), time.Now()
	p.lifetimes = append(p.lifetimes, lifetime{startedAt: p.disturbedAt})
	go p.wait(cmd, p.exited)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shouldRun && p.cmd == cmd {
		p.crashes++
		p.crashErr = err
	}
	close(exited)
}

// signal sends a signal to the program, if it runs.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
	now := &p.lifetimes[len(p.lifetimes)-1]
	switch sig {
	case syscall.SIGKILL:
		p.shouldRun, now.killedAt = false, p.disturbedAt
	case syscall.SIGTERM:
		p.shouldRun, now.stoppedAt = false, p.disturbedAt
	}
	// One that has ended already needs no signal.
	_ = p.cmd.Process.Signal(sig)
}

// restart stops the program by a signal and starts it again.
func (p *process) restart(bin string, sig syscall.Signal, most time.Duration) error {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.signal(sig)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(most):
		p.signal(syscall.SIGKILL)
		<-exited
	}
	return p.start(bin)
}

// answers says whether the program that a request was sent to owes it an answer: it
// was not killed before the end, and the request did not cross its closing of open
// connections.
func (p *process) owesAnswer(o outcome) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range slices.Backward(p.lifetimes) {
		if l.startedAt.After(o.connectedAt) {
			continue
		}
		killed := !l.killedAt.IsZero() && l.killedAt.Before(o.endedAt)
		crossed := !l.stoppedAt.IsZero() && o.sentAt.After(l.stoppedAt.Add(openConnGrace))
		return !killed && !crossed
	}
	return false
}

func (p *process) markDisturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
}

// calmSince returns when the process was last disturbed.
func (p *process) lastDisturbed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbedAt
}

// stop ends all programs of the fleet, by the ids of those that it started.
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
		errs = append(errs, r.Crash(), r.link.close())
	}
	if f.server != nil {
		errs = append(errs, f.server.Close())
	}
	return errors.Join(errs...)
}
