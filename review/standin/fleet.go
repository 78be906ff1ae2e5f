package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/chervilreach"
	// graceS is the bound of that name in the users' pages.
	grace = 8 * time.Second
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
)

// network hands out loopback addresses. Ports are the same on all machines.
type network struct {
	prefix [3]byte
	last   byte
	port   uint16
}

// Offsets of ports from network.port.
const (
	portWire = iota
	portAdmin
	portFront
	portReady
	portStore
	portReplica
	portStoreLink
	portCount
)

// newNetwork finds a free network.
func newNetwork() (*network, error) {
	for try := range 50 {
		seed := os.Getpid()*7 + try*131
		n := &network{prefix: [3]byte{127, byte(30 + seed%200), byte(1 + seed/200%250)}, port: uint16(20_000 + seed%1000*10)}
		if n.free() {
			return n, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (n *network) free() bool {
	for p := range portCount {
		l, err := listen(n.at(netip.AddrFrom4([4]byte{n.prefix[0], n.prefix[1], n.prefix[2], 1}), p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// machine returns the address of a new machine.
func (n *network) machine() netip.Addr {
	n.last++
	return netip.AddrFrom4([4]byte{n.prefix[0], n.prefix[1], n.prefix[2], n.last})
}

func (n *network) at(ip netip.Addr, offset int) netip.AddrPort {
	return netip.AddrPortFrom(ip, n.port+uint16(offset))
}

// process is a process of the system.
type process struct {
	name, role, settings string
	front, ready         netip.AddrPort
	// link is the process's way to the store.
	link *link
	rec  *record
	log  *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
	// ownEnds is the number of times that the program ended without a signal of the case.
	ownEnds int
}

// fleet is a small deployment.
type fleet struct {
	net       *network
	dir       string
	rec       *record
	store     *store
	storeAddr netip.AddrPort
	processes []*process
	replicas  []*replica
}

func newFleet(rec *record) (*fleet, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{net: n, dir: dir, rec: rec, store: newStore()}
	f.storeAddr = n.at(n.machine(), portStore)
	return f, f.store.serve(f.storeAddr)
}

// addReplica starts a replica on a machine.
func (f *fleet) addReplica(ip netip.Addr, spec replicaSpec) (*replica, error) {
	spec.addr = f.net.at(ip, portReplica)
	r, err := startReplica(f.store, f.rec, spec)
	if err == nil {
		f.replicas = append(f.replicas, r)
	}
	return r, err
}

// addProcess starts a process of the system. Its settings are those of deploy/settings.jsonc with the
// figures of the site kht-gecis.
func (f *fleet) addProcess(role, name, zone string, ip netip.Addr, service string) (*process, error) {
	p := &process{name: name, role: role, rec: f.rec, front: f.net.at(ip, portFront), ready: f.net.at(ip, portReady)}
	way := f.net.at(ip, portStoreLink)
	var err error
	if p.link, err = newLink(way, f.storeAddr); err != nil {
		return nil, err
	}
	settings := map[string]any{
		"process": map[string]any{
			"host": name, "failure-domain": zone, "wire": f.net.at(ip, portWire), "admin": f.net.at(ip, portAdmin),
			"drain-timeout": "8s", "memory": "284MiB",
		},
		"store":   map[string]any{"address": way, "max-age": "2000ms"},
		"retries": map[string]any{"ratio": "0.2", "extra": "58", "window": "10s"},
	}
	if role == "relay" {
		settings["callers"] = map[string]any{"listen": p.front, "ready": p.ready}
	} else {
		settings["endpoint"] = map[string]any{"address": f.net.at(ip, portReplica), "service": service}
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p.settings = filepath.Join(f.dir, name+".jsonc")
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	f.processes = append(f.processes, p)
	return p, p.start()
}

// start starts the program as the deploy file says.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.CommandContext(context.Background(), program, p.role, p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "GOMAXPROCS=1", "GOGC=60"}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.rec.add("process %s starts: %s %s", p.name, program, p.role)
	done := make(chan struct{})
	p.cmd, p.done, p.stopped = cmd, done, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.stopped {
			p.ownEnds++
			p.rec.add("process %s has ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = p.stopped || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	p.rec.add("process %s gets signal %d (%s)", p.name, sig, sig)
	_ = p.cmd.Process.Signal(sig)
}

// restart stops the process with SIGTERM and starts it again after a short delay. One that has not ended
// after the bound graceS is killed.
func (p *process) restart() error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	time.Sleep(restartDelay)
	return p.start()
}

// awaitReady waits until the routers are ready.
func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range f.processes {
			if p.role != "relay" {
				ready++
				continue
			}
			if p.isReady() {
				ready++
			}
		}
		if ready == len(f.processes) {
			f.rec.add("all routers are ready")
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("routers are not ready")
		}
	}
}

// isReady asks a router as the platform does.
func (p *process) isReady() bool {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+p.ready.String()+"/-/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// listen listens at an address.
func listen(addr netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", addr.String())
}

// checkAlive returns an error if a process has ended by itself, so that the play says nothing.
func (f *fleet) checkAlive() error {
	for _, p := range f.processes {
		p.mu.Lock()
		n := p.ownEnds
		p.mu.Unlock()
		if n > 0 {
			return fmt.Errorf("%s has ended by itself", p.name)
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.mu.Lock()
		p.stopped = true
		cmd := p.cmd
		p.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-p.done
	}
	for _, r := range f.replicas {
		r.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs are in", f.dir)
}
