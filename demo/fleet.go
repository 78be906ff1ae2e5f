// Package demo runs a whole deployment in one process on loopback, with stand-ins for the
// platform. From their logs, it checks the invariants of the system.
//
// The patience of a kind of request is how long its callers wait for the first byte of a
// streamed answer, or for another answer to be complete.
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

// Properties of the stand-in engines. Agents and routers are configured with fullLoadTime, the
// mean duration of a model load at a TimeScale of 1.
const (
	fullLoadTime = 7500 * time.Millisecond
	// engineMemory is the accelerator memory of one endpoint.
	engineMemory = 80 * fleet.GiB
)

// Options configure a Fleet.
type Options struct {
	// Example is the name of the records to use; see package sample.
	Example string
	// RouterCount is the number of routers.
	RouterCount int
	// EnginesPerDomain is the number of engines in each failure domain. Each domain also
	// has one endpoint with a plain service.
	EnginesPerDomain int
	// TimeScale multiplies the durations of the engines and the weight store.
	TimeScale float64
	// IdleTime is how long idle models stay loaded; 0 means a time that is learned from the
	// requests.
	IdleTime time.Duration
	// HostLag is the time from a change of the hosts until the host list contains it.
	HostLag time.Duration
	// MaxAckTimeout is the longest time that routers wait for an acknowledgement; 0 selects
	// router.DefaultMaxAckTimeout.
	MaxAckTimeout time.Duration
	// ProxyAgent returns the address on the host list for an agent that listens on the
	// given address, so that a proxy can be put in between; nil selects the agent's own
	// address.
	ProxyAgent func(fleet.EndpointID, netip.AddrPort) (netip.AddrPort, error)
	// ConfigureEngine modifies the options of each engine before its start; nil leaves them
	// unchanged.
	ConfigureEngine func(*fakes.EngineOptions)
}

// deployment describes the failure domains, the plain service and the load rate of the
// weight store in an example.
type deployment struct {
	domains  []fleet.FailureDomain
	service  fleet.ServiceID
	loadRate float64
}

// deployments returns the deployments by the name of their example.
func deployments() map[string]deployment {
	return map[string]deployment{
		sample.Association: {domains: []fleet.FailureDomain{"Derby", "Leicester", "Nottingham"}, service: "booking", loadRate: 3},
		sample.Karaburun:   {domains: []fleet.FailureDomain{"İkitelli", "Ümraniye", "Gebze"}, service: "switching", loadRate: 2},
	}
}

// Endpoint is an agent with its stand-in engine, which also provides the plain service.
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
	// Config is the configuration in the records, once AwaitReady has succeeded.
	Config *record.Config
	Client *etcd.Client
	opts   Options
	layout deployment
	// recordCount is the number of records written.
	recordCount int
}

// Key is the bearer key of the member that the demo adds to the records.
const Key = "demo-key"

// memberRecord returns the record of the member with the bearer key Key, which may use all models and
// the service.
func memberRecord(service fleet.ServiceID) []byte {
	return fmt.Appendf(nil, `{"schema": 2, "record": "member", "name": "demo", "key-hashes": ["%x"],
  "rights": [{"model": "*"}, {"service": %q}]}`, sha256.Sum256([]byte(Key)), service)
}

// Start starts a deployment and writes its records. It does not wait for the records to
// take effect; see AwaitReady. The deployment runs until Close, also after the end of ctx.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	layout, ok := deployments()[opts.Example]
	if !ok {
		return nil, fmt.Errorf("start deployment: no example %q", opts.Example)
	}
	f := &Fleet{opts: opts, layout: layout}
	if err := f.startPlatform(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	// The processes must outlive ctx, so that Close can drain them.
	if err := f.startNodes(context.WithoutCancel(ctx)); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if err := f.writeRecords(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// startPlatform starts the key-value service, the weight store and the host list.
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

// startNodes starts the agents with their engines, and the routers.
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
	for range f.opts.RouterCount {
		if _, err := f.AddRouter(ctx); err != nil {
			return err
		}
	}
	return nil
}

// hostNamePart returns the name of a failure domain in lower-case ASCII, for use in host
// names.
func hostNamePart(d fleet.FailureDomain) string {
	return strings.NewReplacer("i̇", "i", "ü", "u").Replace(strings.ToLower(string(d)))
}

// nodeConfig returns the settings that agents and routers have in common.
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

// nodeTuning returns the tuning of all agents and routers.
func (f *Fleet) nodeTuning() node.Tuning {
	return node.Tuning{
		LoadTime: time.Duration(float64(fullLoadTime) * f.opts.TimeScale), HostLag: f.opts.HostLag + time.Second,
		IdleTime: f.opts.IdleTime, MaxAckTimeout: f.opts.MaxAckTimeout,
	}
}

// addEndpoint starts an agent with an engine or, if plainService is set, with a plain service,
// and adds it to the host list.
func (f *Fleet) addEndpoint(ctx context.Context, name string, domain fleet.FailureDomain, plainService bool) error {
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
	if plainService {
		e.cfg.Agent.Services = map[fleet.ServiceID]netip.AddrPort{f.layout.service: eng.Addr()}
	} else {
		e.cfg.Agent.Engine = eng.Addr()
	}
	e.Host = fleet.Host{
		ID: fleet.HostID(name), Role: fleet.HostRoleEndpoint, Endpoint: fleet.EndpointID(name), FailureDomain: domain,
		WireAddr: addrOf(wire), AdminAddr: addrOf(admin), State: fleet.HostLive,
	}
	if err := e.Restart(ctx); err != nil {
		return err
	}
	if f.opts.ProxyAgent != nil {
		if e.Host.WireAddr, err = f.opts.ProxyAgent(e.Host.Endpoint, e.Host.WireAddr); err != nil {
			return fmt.Errorf("relay to %s: %w", name, err)
		}
	}
	f.Hosts.Add(e.Host)
	return nil
}

// Restart starts the agent, for the first time or after it was stopped or killed. It
// listens on the same addresses as before.
func (e *Endpoint) Restart(ctx context.Context) error {
	agent, err := node.NewAgent(e.cfg, e.tuning)
	if err != nil {
		return err
	}
	if err := agent.Start(ctx); err != nil {
		return fmt.Errorf("start agent: %w", err)
	}
	e.Agent = agent
	// A later start opens new listeners on the same addresses.
	e.tuning.Listeners = node.Listeners{}
	return nil
}

// AddRouter starts another router and returns its index in Routers and RouterAddrs.
func (f *Fleet) AddRouter(ctx context.Context) (int, error) {
	n := len(f.Routers)
	domain := f.layout.domains[n%len(f.layout.domains)]
	return n, f.addRouter(ctx, fmt.Sprintf("entry-%s-%d", hostNamePart(domain), n+1), domain)
}

// addRouter starts a router and adds it to the host list.
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
	cfg.Router.Listen = addrOf(callListener)
	cfg.Router.DrainDelay = 100 * time.Millisecond
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
		ID: fleet.HostID(name), Role: fleet.HostRoleEntry, FailureDomain: domain, WireAddr: addrOf(wire), AdminAddr: addrOf(admin),
		State: fleet.HostLive,
	})
	return nil
}

// writeRecords writes the records of the example and of the member in the same way as
// an operator.
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
	store := accept.NewRecordStore(f.Client)
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

// readyPollInterval is the interval at which AwaitReady checks whether the fleet is ready.
const readyPollInterval = 50 * time.Millisecond

// AwaitReady waits until all routers and agents have applied the records, all models are
// placed on endpoints, and all agents are ready. It returns an error if ctx ends first.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !f.checkReady() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for routers and placements: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// checkReady reports whether the condition of AwaitReady holds, and updates Config.
func (f *Fleet) checkReady() bool {
	contents, err := accept.NewRecordStore(f.Client).Read(context.Background())
	if err != nil || contents.State == nil {
		return false
	}
	if len(contents.State.Objects()) < f.recordCount {
		return false
	}
	f.Config = contents.State.Config()
	for _, r := range f.Routers {
		if r.Status().Revision < f.Config.Revision || r.PlacedModelCount() < len(f.Config.Models) || len(f.Config.Models) == 0 {
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

// stopTimeout bounds the graceful shutdown of a fleet.
const stopTimeout = 10 * time.Second

// Close stops all agents and routers, gracefully within stopTimeout, and then the
// stand-ins.
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
