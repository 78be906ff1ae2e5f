package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports, the same on all hosts. Each host has a loopback address of its own.
const (
	portWire  = 17710
	portAdmin = 17711
	portFront = 17712
	portReady = 17713
	portApp   = 17714
	portStore = 17715
)

// drainTimeout is how long a process may take to stop.
const drainTimeout = 8 * time.Second

// fleet is a deployment on loopback.
type fleet struct {
	dir, bin string
	base     int
	hosts    int
	store    *store
	procs    []*proc
	replicas []*replica
	rec      *record
	// agentLinks makes the machines beside the replicas reach the store through links, which can be cut.
	agentLinks bool
	links      []*proxy
}

// proc is a process of the system.
type proc struct {
	name, role, ip, settings string
	log                      *os.File
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

// newFleet starts a store. Its addresses are of a part of the loopback network that is free.
func newFleet(rec *record) (*fleet, error) {
	bin, err := filepath.Abs("target/chervilreach")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(bin); err != nil {
		return nil, fmt.Errorf("build the system first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, bin: bin, rec: rec}
	for f.base = 1 + os.Getpid()%200; f.base < 250; f.base++ {
		f.hosts = 0
		if f.store, err = newStore(f.host() + fmt.Sprintf(":%d", portStore)); err == nil {
			return f, nil
		}
	}
	return nil, errors.New("no free address")
}

// host returns the address of a new host.
func (f *fleet) host() string {
	f.hosts++
	return fmt.Sprintf("127.77.%d.%d", f.base, f.hosts)
}

// storeAddr is the address of the store.
func (f *fleet) storeAddr() string { return fmt.Sprintf("127.77.%d.1:%d", f.base, portStore) }

// addReplica starts a replica on a new host; with models, it has an agent beside it.
func (f *fleet) addReplica(r *replica) error {
	ip := f.host()
	r.store, r.addr = f.store, fmt.Sprintf("%s:%d", ip, portApp)
	r.instance = fmt.Sprintf("i-%d%02d", f.base, f.hosts)
	if r.slots == 0 {
		r.slots = 16
	}
	r.zone = fmt.Sprintf("zone-%d", len(f.replicas)%3)
	f.replicas = append(f.replicas, r)
	if err := r.start(); err != nil {
		return err
	}
	if r.models == nil {
		return nil
	}
	store := f.storeAddr()
	if f.agentLinks {
		at := fmt.Sprintf("%s:%d", ip, portStore)
		l, err := newProxy(at, store)
		if err != nil {
			return err
		}
		f.links = append(f.links, l)
		store = at
	}
	_, err := f.addProc("swap", ip, store, fmt.Sprintf(`"endpoint": {"address": %q, "service": %q}`, r.addr, r.service))
	return err
}

// addRouter starts a router on a new host.
func (f *fleet) addRouter() (*proc, error) {
	ip := f.host()
	return f.addProc("relay", ip, f.storeAddr(), fmt.Sprintf(`"callers": {"listen": "%s:%d", "ready": "%s:%d"}`, ip, portFront, ip, portReady))
}

// addProc starts a process with settings as deploy/settings.jsonc gives them for the small sites.
func (f *fleet) addProc(role, ip, store, section string) (*proc, error) {
	name := fmt.Sprintf("%s-%d", role, f.hosts)
	p := &proc{name: name, role: role, ip: ip, settings: filepath.Join(f.dir, name+".jsonc")}
	memory := 284
	if role == "swap" {
		memory = 216
	}
	text := fmt.Sprintf(`{"process": {"host": %q, "failure-domain": "zone-%d", "wire": "%s:%d", "admin": "%s:%d", "drain-timeout": "8s", "memory": "%dMiB"},
"store": {"address": %q, "max-age": "2000ms", "heartbeat": "1200ms"},
%s,
"retries": {"ratio": "0.2", "extra": "58", "window": "10s"}}`, name, len(f.procs)%3, ip, portWire, ip, portAdmin, memory, store, section)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	f.procs = append(f.procs, p)
	return p, p.start(f.bin)
}

func (p *proc) start(bin string) error {
	p.cmd = exec.CommandContext(context.Background(), bin, p.role, p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "GOGC=60"}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// signal sends a signal to the process.
func (p *proc) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// terminate stops the process, and kills it if it takes longer than it may.
func (p *proc) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(drainTimeout):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// awaitReady waits until the router says that it is ready.
func (p *proc) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for !ready(fmt.Sprintf("%s:%d", p.ip, portReady)) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready", p.name)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// front is the address for callers.
func (p *proc) front() string { return fmt.Sprintf("%s:%d", p.ip, portFront) }

// awaitReady waits until all routers say that they are ready, and then for the agents.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range f.procs {
		if p.role != "relay" {
			continue
		}
		if err := p.awaitReady(time.Until(deadline)); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// ready asks a router whether it is ready.
func ready(addr string) bool {
	c, err := dial(addr)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprint(c, "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	buf := make([]byte, 64)
	n, _ := c.Read(buf)
	return strings.Contains(string(buf[:n]), " 200 ")
}

// ended returns the name of a process that has ended and has not been started again; empty if there is none.
func (f *fleet) ended() string {
	for _, p := range f.procs {
		select {
		case <-p.exited:
			return p.name
		default:
		}
	}
	return ""
}

// stop ends all processes that the fleet has started.
func (f *fleet) stop() {
	for _, p := range f.procs {
		if p.exited == nil { // it did not start
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		_ = p.log.Close()
	}
	for _, r := range f.replicas {
		r.stop()
	}
	for _, l := range f.links {
		l.close()
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// routeSpec is a route of the configuration.
type routeSpec struct {
	prefix, kind, service string
	timeoutMS, aimMS      int
	attempts, gapMS       int
	resume                bool
}

// config writes a configuration with the routes. Services with models have an engine.
func (f *fleet) config(version int, models []string, specs ...routeSpec) {
	routes := []map[string]any{}
	services := map[string]bool{}
	for _, s := range specs {
		r := map[string]any{
			"name": "r" + s.prefix, "host": "calls.example", "prefix": s.prefix, "routeKind": s.kind, "service": s.service,
			"timeoutMs": s.timeoutMS, "targetLatencyMs": s.aimMS, "priority": 1, "maxAttempts": s.attempts,
			"affinity": s.kind == "stream", "canResume": s.resume,
		}
		if s.gapMS > 0 {
			r["gapAimMs"] = s.gapMS
		}
		routes = append(routes, r)
		services[s.service] = true
	}
	list := []map[string]any{}
	for name := range services {
		s := map[string]any{"name": name, "healthPath": "/health", "maxConns": 370}
		if name == "llm" {
			ms := []map[string]any{}
			for _, m := range models {
				ms = append(ms, map[string]any{"name": m, "weightsMb": 65100.0, "loadS": 8.6, "adapters": 0, "adapterMb": 12.0, "warmS": 1.1, "diskS": 2.0})
			}
			s["engine"] = map[string]any{"slots": 64, "kvCapacity": 133007, "models": ms, "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 2.1}
		}
		list = append(list, s)
	}
	f.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
