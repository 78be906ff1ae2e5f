package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
)

// standInCommand runs one stand-in of the platform. Descriptions of options begin with the kinds
// of stand-ins that use the option.
type standInCommand struct {
	Listen         addrFlag      `long:"listen" value-name:"IP:PORT" required:"true" description:"address to listen on; port 0 selects a free port"`
	Endpoint       string        `long:"endpoint" value-name:"ID" description:"engine: the endpoint's ID"`
	Memory         int64         `long:"memory" value-name:"GIB" default:"80" description:"engine: accelerator memory in GiB"`
	WeightStore    addrFlag      `long:"store" value-name:"IP:PORT" description:"engine: address of the weight store"`
	CachedModels   []string      `long:"cached" value-name:"MODEL" description:"engine: model whose checkpoint is cached on the host; may be repeated"`
	ChecksFence    bool          `long:"fenced" description:"engine: reject orders with an outdated fence"`
	StateLag       time.Duration `long:"state-lag" value-name:"TIME" description:"engine: age of the reported state"`
	Log            string        `long:"log" value-name:"FILE" description:"engine: file to which the log of executions and loads is appended"`
	TimeScale      float64       `long:"time-scale" value-name:"FACTOR" default:"1" description:"engine, store: factor applied to all durations"`
	LoadsPerSecond float64       `long:"rate" value-name:"N" default:"3" description:"store: loads per second"`
	HostListFile   string        `long:"file" value-name:"FILE" description:"hosts: JSON file with the initial list"`
	HostListLag    time.Duration `long:"lag" value-name:"TIME" description:"hosts: age of the list"`
	Args           struct {
		Kind string `positional-arg-name:"kv|store|engine|hosts"`
	} `positional-args:"true" required:"true"`
}

// addrFlag is an option whose value is an IP address and a port.
type addrFlag struct {
	netip.AddrPort
}

// UnmarshalFlag implements flags.Unmarshaler.
func (a *addrFlag) UnmarshalFlag(value string) error {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return fmt.Errorf("address %q: %w", value, err)
	}
	a.AddrPort = addr
	return nil
}

func init() {
	register("stand-in", "run a stand-in of the platform", "Runs a small stand-in of the key-value service, the weight store, a model engine or the host list. "+
		"GET /control returns its logs, POST /control sets its faults.", &standInCommand{})
}

// standIn is implemented by all stand-ins.
type standIn interface {
	Start(addr netip.AddrPort) error
	Addr() netip.AddrPort
	Close()
}

// Execute implements flags.Commander.
func (c *standInCommand) Execute([]string) error {
	fake, err := c.newStandIn()
	if err != nil {
		return err
	}
	if err := fake.Start(c.Listen.AddrPort); err != nil {
		return err
	}
	defer fake.Close()
	fmt.Printf("stand-in %s on %s\n", c.Args.Kind, fake.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	return nil
}

// newStandIn returns the stand-in that the arguments select. It is not started.
func (c *standInCommand) newStandIn() (standIn, error) {
	switch c.Args.Kind {
	case "kv":
		return fakes.NewKV(fakes.KVOptions{}), nil
	case "store":
		return fakes.NewStore(fakes.StoreOptions{LoadsPerSecond: c.LoadsPerSecond, TimeScale: c.TimeScale}), nil
	case "engine":
		return c.newEngine()
	case "hosts":
		return c.newHosts()
	default:
		return nil, fmt.Errorf("%w: unknown stand-in %q: must be kv, store, engine or hosts", ErrUsage, c.Args.Kind)
	}
}

func (c *standInCommand) newEngine() (standIn, error) {
	opts := fakes.EngineOptions{
		Endpoint:  fleet.EndpointID(c.Endpoint),
		Memory:    fleet.Bytes(c.Memory) * fleet.GiB,
		Fenced:    c.ChecksFence,
		StoreAddr: c.WeightStore.AddrPort,
		TimeScale: c.TimeScale,
		StateLag:  c.StateLag,
		OnKill:    func() { os.Exit(ExitFailed) },
	}
	for _, model := range c.CachedModels {
		opts.CachedModels = append(opts.CachedModels, fleet.ModelID(model))
	}
	if c.Log == "" {
		return fakes.NewEngine(opts), nil
	}
	file, err := os.OpenFile(c.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, logMode)
	if err != nil {
		return nil, fmt.Errorf("%w: open log: %w", ErrUsage, err)
	}
	opts.Log = file
	return fakes.NewEngine(opts), nil
}

// logMode lets all users read the log of a stand-in.
const logMode = 0o644

func (c *standInCommand) newHosts() (standIn, error) {
	opts := fakes.HostsOptions{Lag: c.HostListLag}
	if c.HostListFile == "" {
		return fakes.NewHosts(opts), nil
	}
	raw, err := os.ReadFile(c.HostListFile)
	if err != nil {
		return nil, fmt.Errorf("%w: read host list: %w", ErrUsage, err)
	}
	var list fleet.HostList
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUsage, c.HostListFile, err)
	}
	opts.Hosts = list.Hosts
	return fakes.NewHosts(opts), nil
}
