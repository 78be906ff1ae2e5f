// Package demo runs a whole deployment in one process on loopback, against
// stand-ins for the platform, and checks what must always hold from their logs.
package demo

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"chervilreach/config"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/fakes"
	"chervilreach/io/accept"
	"chervilreach/io/etcd"
	"chervilreach/io/node"
	"chervilreach/sample"
)

// Times of the stand-ins' engines at full scale.
const (
	fullLoad = 7500 * time.Millisecond
	// engineMemory is the accelerator memory of one endpoint.
	engineMemory = 80 * fleet.GiB
)

// Options choose what a Fleet runs.
type Options struct {
	// Example names the records; see package records.
	Example string
	Routers int
	// PerDomain is how many engines run in each failure domain.
	PerDomain int
	// TimeScale multiplies the times of engines and store.
	TimeScale float64
	// IdleTime is how long idle models stay loaded; 0 has it learnt.
	IdleTime time.Duration
	// HostLag is the lag of the host list.
	HostLag time.Duration
	// MaxAckTimeout is the longest that routers wait for an acknowledgement; 0 for
	// router.DefaultMaxAckTimeout.
	MaxAckTimeout time.Duration
	// Relay returns the address that stands for an agent's on the host list; nil
	// for the agent's own.
	Relay func(fleet.EndpointID, netip.AddrPort) (netip.AddrPort, error)
	// Engine changes the options of the engines; nil for none.
	Engine func(*fakes.EngineOptions)
}

// deployment says where an example runs.
type deployment struct {
	domains  []fleet.FailureDomain
	service  fleet.ServiceID
	loadRate float64
}

func deployments() map[string]deployment {
	return map[string]deployment{
		sample.Association: {domains: []fleet.FailureDomain{"Derby", "Leicester", "Nottingham"}, service: "booking", loadRate: 3},
		sample.Karaburun:   {domains: []fleet.FailureDomain{"İkitelli", "Ümraniye", "Gebze"}, service: "switching", loadRate: 2},
	}
}

// Endpoint is one agent with the stand-in of what it serves.
type Endpoint struct {
	Host   fleet.Host
	Engine *fakes.Engine
	Agent  *node.Agent
	cfg    *config.Config
	tune   node.Tuning
}

// Fleet is a running deployment.
type Fleet struct {
	KV        *fakes.KV
	Store     *fakes.Store
	Hosts     *fakes.Hosts
	Routers   []*node.Router
	Calls     []netip.AddrPort
	Endpoints []*Endpoint
	// Set is what the records say.
	Set    *record.Set
	Client *etcd.Client
	opt    Options
	where  deployment
	// written counts the records.
	written int
}

// Key is the bearer key of the member that the demo adds to the records.
const Key = "demo-key"

// memberRecord returns that member's record.
func memberRecord(service fleet.ServiceID) []byte {
	return fmt.Appendf(nil, `{"schema": 2, "record": "member", "name": "demo", "key-hashes": ["%x"],
  "rights": [{"model": "*"}, {"service": %q}]}`, sha256.Sum256([]byte(Key)), service)
}

// Start runs a deployment and writes its records.
func Start(ctx context.Context, opt Options) (*Fleet, error) {
	where, ok := deployments()[opt.Example]
	if !ok {
		return nil, fmt.Errorf("start deployment: no example %q", opt.Example)
	}
	f := &Fleet{opt: opt, where: where}
	if err := f.startPlatform(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	// The processes outlive the context, so that Close can drain them.
	if err := f.startNodes(context.WithoutCancel(ctx)); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if err := f.writeRecords(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) startPlatform() error {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	f.KV = fakes.NewKV(fakes.KVOptions{})
	f.Store = fakes.NewStore(fakes.StoreOptions{LoadsPerSecond: f.where.loadRate, TimeScale: f.opt.TimeScale})
	f.Hosts = fakes.NewHosts(fakes.HostsOptions{Lag: f.opt.HostLag})
	if err := errors.Join(f.KV.Start(anyPort), f.Store.Start(anyPort), f.Hosts.Start(anyPort)); err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	f.Client = etcd.New([]netip.AddrPort{f.KV.Addr()}, etcd.Options{})
	return nil
}

// startNodes starts agents and routers.
func (f *Fleet) startNodes(ctx context.Context) error {
	for _, domain := range f.where.domains {
		for n := range f.opt.PerDomain {
			name := fmt.Sprintf("%s-%d", lower(domain), n+1)
			if err := f.addEndpoint(ctx, name, domain, false); err != nil {
				return err
			}
		}
		name := fmt.Sprintf("%s-%s-1", f.where.service, lower(domain))
		if err := f.addEndpoint(ctx, name, domain, true); err != nil {
			return err
		}
	}
	for range f.opt.Routers {
		if _, err := f.AddRouter(ctx); err != nil {
			return err
		}
	}
	return nil
}

// lower returns a failure domain's name as it stands in host names.
func lower(d fleet.FailureDomain) string {
	return strings.NewReplacer("i̇", "i", "ü", "u").Replace(strings.ToLower(string(d)))
}

// settings returns what all processes have in common.
func (f *Fleet) settings(name string, domain fleet.FailureDomain, wire, admin net.Listener) *config.Config {
	cfg := config.Default()
	cfg.Process.ID = fleet.ProcessID(name)
	cfg.Process.Host = fleet.HostID(name)
	cfg.Process.FailureDomain = domain
	cfg.Process.Wire = addrOf(wire)
	cfg.Process.Admin = addrOf(admin)
	cfg.KV.Addresses = []netip.AddrPort{f.KV.Addr()}
	cfg.Hosts.Address = f.Hosts.Addr()
	cfg.Hosts.Period = 200 * time.Millisecond
	return cfg
}

func (f *Fleet) tuning() node.Tuning {
	return node.Tuning{
		LoadTime: time.Duration(float64(fullLoad) * f.opt.TimeScale), HostLag: f.opt.HostLag + time.Second,
		IdleTime: f.opt.IdleTime, MaxAckTimeout: f.opt.MaxAckTimeout,
	}
}

// addEndpoint starts an agent with an engine or a plain service beside it.
func (f *Fleet) addEndpoint(ctx context.Context, name string, domain fleet.FailureDomain, service bool) error {
	opts := fakes.EngineOptions{
		Endpoint: fleet.EndpointID(name), Memory: engineMemory, Fenced: true, Store: f.Store.Addr(),
		TimeScale: f.opt.TimeScale,
	}
	if f.opt.Engine != nil {
		f.opt.Engine(&opts)
	}
	eng := fakes.NewEngine(opts)
	addr, err := loopback()
	if err != nil {
		return err
	}
	if err := eng.Start(addr); err != nil {
		return fmt.Errorf("start engine: %w", err)
	}
	e := &Endpoint{Engine: eng, tune: f.tuning()}
	f.Endpoints = append(f.Endpoints, e)
	wire, admin, err := twoListeners()
	if err != nil {
		return err
	}
	e.tune.Listeners = node.Listeners{Wire: wire, Admin: admin}
	e.cfg = f.settings(name, domain, wire, admin)
	e.cfg.Agent.Endpoint = fleet.EndpointID(name)
	if service {
		e.cfg.Agent.Services = map[fleet.ServiceID]netip.AddrPort{f.where.service: eng.Addr()}
	} else {
		e.cfg.Agent.Engine = eng.Addr()
	}
	e.Host = fleet.Host{
		ID: fleet.HostID(name), Role: fleet.RoleEndpoint, Endpoint: fleet.EndpointID(name), Domain: domain,
		Wire: addrOf(wire), Admin: addrOf(admin), State: fleet.HostLive,
	}
	if err := e.Restart(ctx); err != nil {
		return err
	}
	if f.opt.Relay != nil {
		if e.Host.Wire, err = f.opt.Relay(e.Host.Endpoint, e.Host.Wire); err != nil {
			return fmt.Errorf("relay to %s: %w", name, err)
		}
	}
	f.Hosts.Add(e.Host)
	return nil
}

// Restart starts the agent, again after it was stopped or killed.
func (e *Endpoint) Restart(ctx context.Context) error {
	a, err := node.NewAgent(e.cfg, e.tune)
	if err != nil {
		return err
	}
	if err := a.Start(ctx); err != nil {
		return fmt.Errorf("start agent: %w", err)
	}
	e.Agent = a
	// A later start opens the same addresses anew.
	e.tune.Listeners = node.Listeners{}
	return nil
}

// AddRouter starts one more router and returns its number.
func (f *Fleet) AddRouter(ctx context.Context) (int, error) {
	n := len(f.Routers)
	domain := f.where.domains[n%len(f.where.domains)]
	return n, f.addRouter(ctx, fmt.Sprintf("entry-%s-%d", lower(domain), n+1), domain)
}

// addRouter starts a router.
func (f *Fleet) addRouter(ctx context.Context, name string, domain fleet.FailureDomain) error {
	wire, admin, err := twoListeners()
	if err != nil {
		return err
	}
	calls, err := openLoopback()
	if err != nil {
		return err
	}
	cfg := f.settings(name, domain, wire, admin)
	cfg.Route.Listen = addrOf(calls)
	cfg.Route.DrainDelay = 100 * time.Millisecond
	tune := f.tuning()
	tune.Listeners = node.Listeners{Wire: wire, Admin: admin, Calls: calls}
	r, err := node.NewRouter(cfg, tune)
	if err != nil {
		return err
	}
	if err := r.Start(ctx); err != nil {
		return fmt.Errorf("start router: %w", err)
	}
	f.Routers = append(f.Routers, r)
	f.Calls = append(f.Calls, addrOf(calls))
	f.Hosts.Add(fleet.Host{
		ID: fleet.HostID(name), Role: fleet.RoleEntry, Domain: domain, Wire: addrOf(wire), Admin: addrOf(admin),
		State: fleet.HostLive,
	})
	return nil
}

// writeRecords writes the example's records as an operator does.
func (f *Fleet) writeRecords(ctx context.Context) error {
	file, text, err := sample.Read(f.opt.Example)
	if err != nil {
		return err
	}
	raws, err := record.Parse(file, text)
	if err != nil {
		return fmt.Errorf("parse records: %w", err)
	}
	own, err := record.Parse("demo", memberRecord(f.where.service))
	if err != nil {
		return fmt.Errorf("parse records: %w", err)
	}
	store := accept.NewStore(f.Client)
	plan, err := store.Prepare(ctx, slices.Concat(raws, own))
	if err != nil {
		return fmt.Errorf("check records: %w", err)
	}
	f.written = len(plan.Edits)
	if _, err := store.Write(ctx, plan); err != nil {
		return fmt.Errorf("write records: %w", err)
	}
	return nil
}

// readyPause is how often the fleet is asked whether it is ready.
const readyPause = 50 * time.Millisecond

// AwaitReady waits until every router has the records and all models have
// endpoints.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPause)
	defer ticker.Stop()
	for !f.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for routers and placements: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	contents, err := accept.NewStore(f.Client).Read(context.Background())
	if err != nil || contents.State == nil {
		return false
	}
	if len(contents.State.Objects()) < f.written {
		return false
	}
	f.Set = contents.State.Set()
	for _, r := range f.Routers {
		if r.Status().Revision < f.Set.Revision || r.Placed() < len(f.Set.Models) || len(f.Set.Models) == 0 {
			return false
		}
	}
	for _, e := range f.Endpoints {
		if e.Agent.Ready() != nil || e.Agent.Status().Revision < f.Set.Revision {
			return false
		}
	}
	return true
}

// stopBound is how long the end of a demo may take.
const stopBound = 10 * time.Second

// Close ends everything, gracefully where that is quick.
func (f *Fleet) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	var errs []error
	for _, r := range f.Routers {
		errs = append(errs, r.Stop(ctx))
	}
	for _, e := range f.Endpoints {
		if e.Agent != nil {
			errs = append(errs, e.Agent.Stop(ctx))
		}
		e.Engine.Close()
	}
	if f.Client != nil {
		f.Client.Close()
	}
	if f.Hosts != nil {
		f.Hosts.Close()
		f.Store.Close()
		f.KV.Close()
	}
	return errors.Join(errs...)
}
