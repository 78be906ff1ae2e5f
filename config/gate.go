package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"reflect"
	"time"

	"github.com/tailscale/hujson"

	"chervilreach/core/fleet"
)

// Gate holds the settings of one process that serves on the users' platform: a
// router that sends requests straight to endpoints, or the agent beside one.
type Gate struct {
	Process Process     `json:"process"`
	Store   GateStore   `json:"store"`
	Callers GateCallers `json:"callers"`
	// Endpoint is the model endpoint beside an agent.
	Endpoint GateEndpoint `json:"endpoint"`
	Retries  GateRetries  `json:"retries"`
	Log      Log          `json:"log"`

	source *source
}

// GateStore is the section "store": the platform's store.
type GateStore struct {
	Address netip.AddrPort `json:"address" need:"router,agent"`
	// Pace is the least time between two reads of changes.
	Pace time.Duration `json:"pace" default:"700ms"`
	// Wait is how long a read waits for changes. With the pace it stays below the
	// two seconds within which a change must be in force.
	Wait time.Duration `json:"wait" default:"800ms"`
}

// GateCallers is the section "callers": how a router serves callers.
type GateCallers struct {
	// Listen is where callers connect, Ready where the balancer asks.
	Listen netip.AddrPort `json:"listen" need:"router"`
	Ready  netip.AddrPort `json:"ready" need:"router"`
	// MaxBodies is the most memory for the bodies of all requests in progress.
	MaxBodies fleet.Bytes `json:"max-bodies" default:"48MiB"`
}

// GateEndpoint is the section "endpoint".
type GateEndpoint struct {
	Address netip.AddrPort `json:"address" need:"agent"`
	Service string         `json:"service" need:"agent"`
}

// GateRetries is the section "retries": the bound on the repeats of all routers.
type GateRetries struct {
	// Ratio is the part of the requests that may be repeated.
	Ratio float64 `json:"ratio" default:"0.2"`
	// Extra is how many more may be repeated within the window.
	Extra  int           `json:"extra" default:"50"`
	Window time.Duration `json:"window" default:"10s"`
}

// LoadGate reads and checks a settings file of a process on the platform. Errors
// are as those of Load.
func LoadGate(path string) (*Gate, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseGate(path, data)
}

// Reread reads the file of the settings again and completes them as the role
// asks.
func (c *Gate) Reread(role func(*Gate) error) (*Gate, error) {
	again, err := LoadGate(c.source.name)
	if err != nil {
		return nil, err
	}
	return again, role(again)
}

// ParseGate checks settings; name is the file named in errors.
func ParseGate(name string, data []byte) (*Gate, error) {
	c := &Gate{source: newSource(name, data)}
	setDefaults(reflect.ValueOf(c).Elem())
	dec := decoder{source: c.source}
	dec.file(reflect.ValueOf(c).Elem())
	if len(dec.faults) > 0 {
		return nil, joinFaults(dec.faults)
	}
	f := faults{source: c.source}
	c.Process.check(&f)
	c.Log.check(&f)
	f.between("store.pace", c.Store.Pace, 10*time.Millisecond, 10*time.Second)
	f.between("store.wait", c.Store.Wait, 10*time.Millisecond, 30*time.Second)
	f.between("retries.window", c.Retries.Window, 100*time.Millisecond, time.Hour)
	if c.Retries.Ratio < 0 || c.Retries.Ratio > 1 {
		f.add(ErrBadValue, "retries.ratio", "between 0 and 1")
	}
	if c.Retries.Extra < 0 {
		f.add(ErrBadValue, "retries.extra", "at least 0")
	}
	return c, joinFaults(f.list)
}

// Check reads a settings file of either kind and checks it for the roles that it
// has sections for. A file with a section "store" is one of a process on the
// users' platform.
func Check(path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	if !hasStore(data) {
		cfg, err := Parse(path, data)
		if err != nil {
			return err
		}
		return cfg.ForRoles()
	}
	cfg, err := ParseGate(path, data)
	if err != nil {
		return err
	}
	return cfg.ForRoles()
}

// hasStore says whether a file has a section "store". One that can't be read has
// none; its faults are found when it is parsed.
func hasStore(data []byte) bool {
	text, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return false
	}
	var sections map[string]json.RawMessage
	if json.Unmarshal(text, &sections) != nil {
		return false
	}
	return sections["store"] != nil
}

// ForRoles applies ForRouter and ForAgent as the sections of the file ask for:
// callers are a router's, an endpoint is an agent's.
func (c *Gate) ForRoles() error {
	callers, endpoint := c.source.has("callers"), c.source.has("endpoint")
	if !callers && !endpoint {
		f := faults{source: c.source}
		f.add(ErrMissing, "callers", `a section "callers" or a section "endpoint"`)
		return joinFaults(f.list)
	}
	var errs []error
	if callers {
		errs = append(errs, c.ForRouter())
	}
	if endpoint {
		errs = append(errs, c.ForAgent())
	}
	return errors.Join(errs...)
}

// ForRouter says whether the settings are enough to run a router.
func (c *Gate) ForRouter() error { return c.forRole(roleRouter) }

// ForAgent says whether the settings are enough to run an agent.
func (c *Gate) ForAgent() error { return c.forRole(roleAgent) }

func (c *Gate) forRole(r role) error {
	f := faults{source: c.source}
	findMissing(&f, reflect.ValueOf(c).Elem(), "", r)
	if c.Process.ID == "" {
		c.Process.ID = c.Process.derivedID(r)
	}
	return joinFaults(f.list)
}
