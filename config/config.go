// Package config reads the settings of one process: JSON with comments, every
// field checked, with defaults for all that is not essential.
package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Config holds the settings of one process. The zero value lacks the defaults;
// use Default, Parse or Load.
type Config struct {
	Process Process `json:"process"`
	KV      KV      `json:"kv"`
	Hosts   Hosts   `json:"hosts"`
	Route   Route   `json:"route"`
	Agent   Agent   `json:"agent"`
	Log     Log     `json:"log"`

	source *source
}

// Default returns the settings with all defaults and nothing else.
func Default() *Config {
	c := &Config{source: &source{}}
	setDefaults(reflect.ValueOf(c).Elem())
	return c
}

// Load reads and checks a settings file. An error of the content is, or joins,
// a *FieldError for each fault.
func Load(path string) (*Config, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// readFile reads a settings file that is not too long.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("read settings: %s: %w: more than %d bytes", path, ErrBadValue, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return data, nil
}

// Parse checks settings; name is the file named in errors. Which fields may be
// left out depends on the command that uses them: see ForRouter and ForAgent.
func Parse(name string, data []byte) (*Config, error) {
	c := Default()
	c.source = newSource(name, data)
	dec := decoder{source: c.source}
	dec.file(reflect.ValueOf(c).Elem())
	if len(dec.faults) > 0 {
		return nil, joinFaults(dec.faults)
	}
	f := faults{source: c.source}
	c.check(&f)
	return c, joinFaults(f.list)
}

// ForRouter says whether the settings are enough to run a router, and completes
// those that follow from others.
func (c *Config) ForRouter() error {
	f := c.missing(roleRouter)
	if c.Process.ID == "" {
		c.Process.ID = c.Process.derivedID(roleRouter)
	}
	return joinFaults(f.list)
}

// ForAgent says whether the settings are enough to run an agent, and completes
// those that follow from others.
func (c *Config) ForAgent() error {
	f := c.missing(roleAgent)
	c.Agent.checkRole(&f)
	if c.Process.ID == "" {
		c.Process.ID = c.Process.derivedID(roleAgent)
	}
	return joinFaults(f.list)
}

// ForRoles applies ForRouter and ForAgent as the sections of the file ask for:
// settings with a route section are a router's, with an agent section an
// agent's.
func (c *Config) ForRoles() error {
	var errs []error
	route, agent := c.source.has("route"), c.source.has("agent")
	if !route && !agent {
		f := faults{source: c.source}
		f.add(ErrMissing, "route", `a section "route" or a section "agent"`)
		return joinFaults(f.list)
	}
	if route {
		errs = append(errs, c.ForRouter())
	}
	if agent {
		errs = append(errs, c.ForAgent())
	}
	return errors.Join(errs...)
}

// check tests the values that were given, whatever the role.
func (c *Config) check(f *faults) {
	c.Process.check(f)
	c.KV.check(f)
	c.Hosts.check(f)
	c.Route.check(f)
	c.Agent.check(f)
	c.Log.check(f)
}

// missing lists the fields that a role needs and that are not set.
func (c *Config) missing(r role) faults {
	if c.source == nil {
		c.source = &source{}
	}
	f := faults{source: c.source}
	findMissing(&f, reflect.ValueOf(c).Elem(), "", r)
	return f
}
