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
	fullLoadTime = 7500 * time.Millisecond
	// engineMemory is the accelerator memory of one endpoint.
	engineMemory = 80 * fleet.GiB
)

// Options choose what a Fleet runs.
type Options struct {
	// Example names the records; see package records.
	Example string
	Routers int
	// PerDomain is how many engines run in each failure domain.
	EnginesPerDomain int
	// TimeScale multiplies the times of engines and store.
	TimeScale float64
	// IdleTime is how long idle models stay loaded; 0 has it learnt.
	IdleTime time.Duration
	// HostLag is the lag of the host list.
	HostLag time.Duration
	// AckMost is the longest that routers wait for an acknowledgement; 0 for
	// router.DefaultMaxAckTimeout.
	MaxAckTimeout time.Duration
	// Relay returns the address that stands for an agent's on the host list; nil
	// for the agent's own.
	ProxyAgent func(fleet.EndpointID, netip.AddrPort) (netip.AddrPort, error)
	// Engine changes the options of the engines; nil for none.
	ConfigureEngine func(*fakes.EngineOptions)
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
	tuning node.Tuning
}

// Fleet is a running deployment.
type Fleet struct {
	KV          *fakes.KV
	Store       *fakes.Store
	Hosts       *fakes.Hosts
	Routers     []*node.Router
	RouterAddrs []netip.AddrPort
	Endpoints   []*Endpoint
	// Set is what the records say.
	Config *record.Set
	Client *etcd.Client
	opts   Options
	layout deployment
	// written counts the records.
	recordCount int
}

// Key is the bearer key of the member that the demo adds to the records.
const Key = "demo-key"

// memberRecord returns that member's record.
func memberRecord(service fleet.ServiceID) []byte {
	return fmt.Appendf(nil, `{"schema": 2, "record": "member", "name": "demo", "key-hashes": ["%x"],
  "rights": [{"model": "*"}, {"service": %q}]}`, sha256.Sum256([]byte(Key)), service)
}

// Start runs a deployment and writes its records.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	layout, ok := deployments()[opts.Example]
	if !ok {
		return nil, fmt.Errorf("start deployment: no example %q", opts.Example)
	}
	f := &Fleet{opts: opts, layout: layout}
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
	f.Store = fakes.NewStore(fakes.StoreOptions{LoadsPerSecond: f.layout.loadRate, TimeScale: f.opts.TimeScale})
	f.Hosts = fakes.NewHosts(fakes.HostsOptions{Lag: f.opts.HostLag})
	if err := errors.Join(f.KV.Start(anyPort), f.Store.Start(anyPort), f.Hosts.Start(anyPort)); err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	f.Client = etcd.New([]netip.AddrPort{f.KV.Addr()}, etcd.Options{})
	return nil
}

// startNodes starts agents and routers.
func (f *Fleet) startNodes(ctx context.Context) error {
	for _, domain := range f.layout.domains {
		for n := range f.opts.EnginesPerDomain {
			name := fmt.Sprintf("%s-%d", hostNamePart(domain), n+1)
			if err := f.addEndpoint(ctx, name, domain, false); err != nil {
				return err
			}
		}
		name := fmt.Sprintf("%s-%s-1", f.layout.service, hostNamePart(domain))
		if err := f.addEndpoint(ctx, name, domain, true); err != nil {
			return err
		}
	}
	for range f.opts.Routers {
		if _, err := f.AddRouter(ctx); err != nil {
			return err
		}
	}
	return nil
}

// lower returns a failure domain's name as it stands in host names.
func hostNamePart(d fleet.FailureDomain) string {
	return strings.NewReplacer("i̇", "i", "ü", "u").Replace(strings.ToLower(string(d)))
}

// settings returns what all processes have in common.
func (f *Fleet) nodeConfig(name string, domain fleet.FailureDomain, wire, admin net.Listener) *config.Config {
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

func (f *Fleet) nodeTuning() node.Tuning {
	return node.Tuning{
		LoadTime: time.Duration(float64(fullLoadTime) * f.opts.TimeScale), HostLag: f.opts.HostLag + time.Second,
		IdleTime: f.opts.IdleTime, AckMost: f.opts.MaxAckTimeout,
	}
}

// addEndpoint starts an agent with an engine or a plain service beside it.
func (f *Fleet) addEndpoint(ctx context.Context, name string, domain fleet.FailureDomain, service bool) error {
	opts := fakes.EngineOptions{
		Endpoint: fleet.EndpointID(name), Memory: engineMemory, Fenced: true, StoreAddr: f.Store.Addr(),
		TimeScale: f.opts.TimeScale,
	}
	if f.opts.ConfigureEngine != nil {
		f.opts.ConfigureEngine(&opts)
	}
	eng := fakes.NewEngine(opts)
	addr, err := freeLoopbackAddr()
	if err != nil {
		return err
	}
	if err := eng.Start(addr); err != nil {
		return fmt.Errorf("start engine: %w", err)
	}
	e := &Endpoint{Engine: eng, tuning: f.nodeTuning()}
	f.Endpoints = append(f.Endpoints, e)
	wire, admin, err := twoListeners()
	if err != nil {
		return err
	}
	e.tuning.Listeners = node.Listeners{Wire: wire, Admin: admin}
	e.cfg = f.nodeConfig(name, domain, wire, admin)
	e.cfg.Agent.Endpoint = fleet.EndpointID(name)
	if service {
		e.cfg.Agent.Services = map[fleet.ServiceID]netip.AddrPort{f.layout.service: eng.Addr()}
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
	if f.opts.ProxyAgent != nil {
		if e.Host.Wire, err = f.opts.ProxyAgent(e.Host.Endpoint, e.Host.Wire); err != nil {
			return fmt.Errorf("relay to %s: %w", name, err)
		}
	}
	f.Hosts.Add(e.Host)
	return nil
}

// Restart starts the agent, again after it was stopped or killed.
func (e *Endpoint) Restart(ctx context.Context) error {
	agent, err := node.NewAgent(e.cfg, e.tuning)
	if err != nil {
		return err
	}
	if err := agent.Start(ctx); err != nil {
		return fmt.Errorf("start agent: %w", err)
	}
	e.Agent = agent
	// A later start opens the same addresses anew.
	e.tuning.Listeners = node.Listeners{}
	return nil
}

// AddRouter starts one more router and returns its number.
func (f *Fleet) AddRouter(ctx context.Context) (int, error) {
	n := len(f.Routers)
	domain := f.layout.domains[n%len(f.layout.domains)]
	return n, f.addRouter(ctx, fmt.Sprintf("entry-%s-%d", hostNamePart(domain), n+1), domain)
}

// addRouter starts a router.
func (f *Fleet) addRouter(ctx context.Context, name string, domain fleet.FailureDomain) error {
	wire, admin, err := twoListeners()
	if err != nil {
		return err
	}
	callListener, err := listenLoopback()
	if err != nil {
		return err
	}
	cfg := f.nodeConfig(name, domain, wire, admin)
	cfg.Route.Listen = addrOf(callListener)
	cfg.Route.DrainDelay = 100 * time.Millisecond
	tuning := f.nodeTuning()
	tuning.Listeners = node.Listeners{Wire: wire, Admin: admin, Calls: callListener}
	r, err := node.NewRouter(cfg, tuning)
	if err != nil {
		return err
	}
	if err := r.Start(ctx); err != nil {
		return fmt.Errorf("start router: %w", err)
	}
	f.Routers = append(f.Routers, r)
	f.RouterAddrs = append(f.RouterAddrs, addrOf(callListener))
	f.Hosts.Add(fleet.Host{
		ID: fleet.HostID(name), Role: fleet.RoleEntry, Domain: domain, Wire: addrOf(wire), Admin: addrOf(admin),
		State: fleet.HostLive,
	})
	return nil
}

// writeRecords writes the example's records as an operator does.
func (f *Fleet) writeRecords(ctx context.Context) error {
	file, text, err := sample.Read(f.opts.Example)
	if err != nil {
		return err
	}
	raws, err := record.Parse(file, text)
	if err != nil {
		return fmt.Errorf("parse records: %w", err)
	}
	memberRecords, err := record.Parse("demo", memberRecord(f.layout.service))
	if err != nil {
		return fmt.Errorf("parse records: %w", err)
	}
	store := accept.NewStore(f.Client)
	plan, err := store.Prepare(ctx, slices.Concat(raws, memberRecords))
	if err != nil {
		return fmt.Errorf("check records: %w", err)
	}
	f.recordCount = len(plan.Edits)
	if _, err := store.Write(ctx, plan); err != nil {
		return fmt.Errorf("write records: %w", err)
	}
	return nil
}

// readyPause is how often the fleet is asked whether it is ready.
const readyPollInterval = 50 * time.Millisecond

// AwaitReady waits until every router has the records and all models have
// endpoints.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
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
	if len(contents.State.Objects()) < f.recordCount {
		return false
	}
	f.Config = contents.State.Set()
	for _, r := range f.Routers {
		if r.Status().Revision < f.Config.Revision || r.Placed() < len(f.Config.Models) || len(f.Config.Models) == 0 {
			return false
		}
	}
	for _, e := range f.Endpoints {
		if e.Agent.Ready() != nil || e.Agent.Status().Revision < f.Config.Revision {
			return false
		}
	}
	return true
}

// stopBound is how long the end of a demo may take.
const stopTimeout = 10 * time.Second

// Close ends everything, gracefully where that is quick.
func (f *Fleet) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
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
