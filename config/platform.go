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

// PlatformConfig holds the settings of a process on the users' platform: a router that sends
// requests directly to endpoints, or the agent of an endpoint. Use LoadPlatform or
// ParsePlatform to get one.
type PlatformConfig struct {
	Process Process         `json:"process"`
	Store   PlatformStore   `json:"store"`
	Callers PlatformCallers `json:"callers"`
	// Endpoint is the endpoint of an agent.
	Endpoint PlatformEndpoint `json:"endpoint"`
	Retries  PlatformRetries  `json:"retries"`
	Log      Log              `json:"log"`

	// source is the file that was read.
	source *source
	// ignored holds an error for each value of the file that is not in use.
	ignored []*FieldError
}

// Ignored returns the errors of the values in the file that can't be used and that the process
// can do without: their fields have the earlier value, or the default. It returns nil if there
// are none.
func (c *PlatformConfig) Ignored() error { return joinFieldErrors(c.ignored) }

// PlatformStore is the section "store": how the process reads the platform's key-value store.
type PlatformStore struct {
	// Address is the address of the store.
	Address netip.AddrPort `json:"address" need:"router,agent"`
	// MaxAge is the time within which a process must know that an endpoint leaves.
	MaxAge time.Duration `json:"max-age" default:"2s" fallback:"true"`
	// Heartbeat is how often an endpoint writes its entry.
	Heartbeat time.Duration `json:"heartbeat" default:"1200ms" fallback:"true"`
	// WatchPause is the pause between two watches for changes. If it is 0, it follows from
	// MaxAge.
	WatchPause time.Duration `json:"pace"`
	// WatchWait is how long a watch waits for changes. If it is 0, it follows from MaxAge.
	WatchWait time.Duration `json:"wait"`
}

// Parts of PlatformStore.MaxAge that a watch and the pause before it take. The rest is for a
// watch that hangs and is made again. maxWatchPause bounds the pause, as new endpoints are used
// only after it.
const (
	watchPauseShare = 0.35
	watchWaitShare  = 0.4
	maxWatchPause   = 2 * time.Second
)

// WatchTimes returns the pause between two watches and how long a watch waits for changes.
func (s PlatformStore) WatchTimes() (pause, wait time.Duration) {
	pause, wait = s.WatchPause, s.WatchWait
	if pause == 0 {
		pause = min(time.Duration(watchPauseShare*float64(s.MaxAge)), maxWatchPause)
	}
	if wait == 0 {
		wait = time.Duration(watchWaitShare * float64(s.MaxAge))
	}
	return pause, wait
}

// heartbeatsPerLease is the number of heartbeats that an endpoint may miss until its entry is removed.
const heartbeatsPerLease = 3

// Lease returns how long an entry of an endpoint lasts after its last heartbeat.
func (s PlatformStore) Lease() time.Duration { return heartbeatsPerLease * s.Heartbeat }

// PlatformCallers is the section "callers": how a router serves callers.
type PlatformCallers struct {
	// Listen is the address for callers, Ready the address for the readiness checks of the load
	// balancer.
	Listen netip.AddrPort `json:"listen" need:"router"`
	Ready  netip.AddrPort `json:"ready" need:"router"`
	// MaxHead bounds the head of a request.
	MaxHead fleet.Bytes `json:"max-head" default:"16KiB"`
	// MaxTotalBody bounds the total size of the bodies of all requests in progress.
	MaxTotalBody fleet.Bytes `json:"max-bodies" default:"48MiB"`
}

// PlatformEndpoint is the section "endpoint": the endpoint of an agent.
type PlatformEndpoint struct {
	// Address is the address of the endpoint.
	Address netip.AddrPort `json:"address" need:"agent"`
	// Service is the name of the service that the endpoint provides.
	Service string `json:"service" need:"agent"`
}

// PlatformRetries is the section "retries": the limits of the retries of all routers
// together. Within Window, each service may have at most Ratio times the number of requests,
// plus Extra, as retries.
type PlatformRetries struct {
	// Ratio is the maximum number of retries per request, between 0 and 1.
	Ratio float64 `json:"ratio" default:"0.2" fallback:"true"`
	// Extra is the number of retries that are allowed in addition within Window.
	Extra  float64       `json:"extra" default:"50" fallback:"true"`
	Window time.Duration `json:"window" default:"10s" fallback:"true"`
}

// LoadPlatform reads and validates the settings file of a process on the users' platform.
// Errors are as for Load.
func LoadPlatform(path string) (*PlatformConfig, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlatform(path, data)
}

// Reread reads the settings file again and returns the new settings, to which it applies
// complete, such as (*PlatformConfig).CompleteForRouter. The receiver stays unchanged, and its
// values take the place of those that can't be used, see Ignored. The new settings are valid only
// if the error is nil.
func (c *PlatformConfig) Reread(complete func(*PlatformConfig) error) (*PlatformConfig, error) {
	data, err := readFile(c.source.name)
	if err != nil {
		return nil, err
	}
	reread, err := parsePlatform(c.source.name, data, c)
	if err != nil {
		return nil, err
	}
	return reread, complete(reread)
}

// ParsePlatform parses and validates settings. Errors give name as the file; they are as for
// Load. ParsePlatform accepts settings that lack fields: CompleteForRouter and
// CompleteForAgent check that the fields which a role requires are set.
func ParsePlatform(name string, data []byte) (*PlatformConfig, error) {
	defaults := &PlatformConfig{}
	setDefaults(reflect.ValueOf(defaults).Elem())
	return parsePlatform(name, data, defaults)
}

// parsePlatform parses and validates settings. Fields that may fall back have their value in
// earlier if the one in the file can't be used.
func parsePlatform(name string, data []byte, earlier *PlatformConfig) (*PlatformConfig, error) {
	c := &PlatformConfig{source: newSource(name, data)}
	setDefaults(reflect.ValueOf(c).Elem())
	dec := decoder{source: c.source}
	dec.decodeFile(reflect.ValueOf(c).Elem())
	if err := c.fallBack(dec.fieldErrors, earlier); err != nil {
		return nil, err
	}
	f := fieldErrors{source: c.source}
	c.check(&f)
	return c, c.fallBack(f.list, earlier)
}

// check validates the values that are set.
func (c *PlatformConfig) check(f *fieldErrors) {
	c.Process.check(f)
	c.Log.check(f)
	f.checkDuration("store.max-age", c.Store.MaxAge, 100*time.Millisecond, time.Minute)
	f.checkDuration("store.heartbeat", c.Store.Heartbeat, 10*time.Millisecond, 10*time.Minute)
	if c.Store.WatchPause != 0 {
		f.checkDuration("store.pace", c.Store.WatchPause, 10*time.Millisecond, 10*time.Second)
	}
	if c.Store.WatchWait != 0 {
		f.checkDuration("store.wait", c.Store.WatchWait, 10*time.Millisecond, 30*time.Second)
	}
	f.checkDuration("retries.window", c.Retries.Window, 100*time.Millisecond, time.Hour)
	if c.Retries.Ratio < 0 || c.Retries.Ratio > 1 {
		f.add(ErrBadValue, "retries.ratio", "between 0 and 1")
	}
	if c.Retries.Extra < 0 {
		f.add(ErrBadValue, "retries.extra", "at least 0")
	}
}

// fallBack gives the fields with a tagFallback for which there is an error the value that they
// have in earlier, and adds the errors to ignored. It returns the other errors as one.
func (c *PlatformConfig) fallBack(errs []*FieldError, earlier *PlatformConfig) error {
	var fatal []*FieldError
	for _, e := range errs {
		dst, mayFallBack := fieldByPath(reflect.ValueOf(c).Elem(), e.Field)
		if !mayFallBack {
			fatal = append(fatal, e)
			continue
		}
		value, _ := fieldByPath(reflect.ValueOf(earlier).Elem(), e.Field)
		dst.Set(value)
		c.ignored = append(c.ignored, e)
	}
	return joinFieldErrors(fatal)
}

// CheckFile validates a settings file for the roles for which it has sections. A file with a
// section "store" is validated as a PlatformConfig, any other as a Config. Errors are as for
// Load; values that a process would ignore are errors too.
func CheckFile(path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	if !hasStoreSection(data) {
		cfg, err := Parse(path, data)
		if err != nil {
			return err
		}
		return cfg.CompleteForRoles()
	}
	cfg, err := ParsePlatform(path, data)
	if err != nil {
		return err
	}
	return errors.Join(cfg.Ignored(), cfg.CompleteForRoles())
}

// hasStoreSection reports whether a file has a section "store". It reports false for a file
// with a syntax error, which is found when the file is parsed.
func hasStoreSection(data []byte) bool {
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

// CompleteForRoles calls CompleteForRouter if the file has a section "callers", and
// CompleteForAgent if it has a section "endpoint". It is an error if the file has neither.
func (c *PlatformConfig) CompleteForRoles() error {
	callers, endpoint := c.source.has("callers"), c.source.has("endpoint")
	if !callers && !endpoint {
		f := fieldErrors{source: c.source}
		f.add(ErrMissing, "callers", `a section "callers" or a section "endpoint"`)
		return joinFieldErrors(f.list)
	}
	var errs []error
	if callers {
		errs = append(errs, c.CompleteForRouter())
	}
	if endpoint {
		errs = append(errs, c.CompleteForAgent())
	}
	return errors.Join(errs...)
}

// CompleteForRouter checks that all fields that a router requires are set, and sets
// Process.ID to its default if it is empty. The error is a *FieldError that wraps
// ErrMissing, or joins one for each missing field.
func (c *PlatformConfig) CompleteForRouter() error { return c.completeForRole(roleRouter) }

// CompleteForAgent checks that all fields that an agent requires are set, and sets
// Process.ID to its default if it is empty. Errors are as for CompleteForRouter.
func (c *PlatformConfig) CompleteForAgent() error { return c.completeForRole(roleAgent) }

// completeForRole implements CompleteForRouter and CompleteForAgent.
func (c *PlatformConfig) completeForRole(r role) error {
	f := fieldErrors{source: c.source}
	findMissing(&f, reflect.ValueOf(c).Elem(), "", r)
	if c.Process.ID == "" {
		c.Process.ID = c.Process.defaultID(r)
	}
	return joinFieldErrors(f.list)
}
