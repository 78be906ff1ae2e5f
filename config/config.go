// Package config reads and validates the settings file of a process. The file is JSON with
// comments. Unknown fields are errors, and optional fields have defaults.
//
// Processes on hosts with a key-value service use Config, processes on the users' platform
// use PlatformConfig.
package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Config holds the settings of a router or an agent on hosts with a key-value service. The
// zero value lacks the defaults; use Default, Parse or Load.
type Config struct {
	Process Process `json:"process"`
	KV      KV      `json:"kv"`
	Hosts   Hosts   `json:"hosts"`
	Router  Router  `json:"route"`
	Agent   Agent   `json:"agent"`
	Log     Log     `json:"log"`

	// source is the file that was read; nil in the zero value.
	source *source
}

// Default returns settings in which only the fields with defaults are set.
func Default() *Config {
	c := &Config{source: &source{}}
	setDefaults(reflect.ValueOf(c).Elem())
	return c
}

// Load reads and validates a settings file. If the content is invalid, the error is a
// *FieldError or joins several, one for each error in the file. Errors of package os are
// wrapped, and a file that is too large gives an error that wraps ErrBadValue.
func Load(path string) (*Config, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// readFile reads a settings file. The error wraps ErrBadValue if the file is larger than
// maxFileBytes.
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

// Parse parses and validates settings. Errors give name as the file; they are as described
// for Load. Parse accepts settings that lack fields: CompleteForRouter and CompleteForAgent
// check that the fields which a role requires are set.
func Parse(name string, data []byte) (*Config, error) {
	c := Default()
	c.source = newSource(name, data)
	dec := decoder{source: c.source}
	dec.decodeFile(reflect.ValueOf(c).Elem())
	if len(dec.fieldErrors) > 0 {
		return nil, joinFieldErrors(dec.fieldErrors)
	}
	f := fieldErrors{source: c.source}
	c.check(&f)
	return c, joinFieldErrors(f.list)
}

// CompleteForRouter checks that all fields that a router requires are set, and sets
// Process.ID to its default if it is empty. The error is a *FieldError that wraps
// ErrMissing, or joins one for each missing field.
func (c *Config) CompleteForRouter() error {
	f := c.missingFields(roleRouter)
	if c.Process.ID == "" {
		c.Process.ID = c.Process.defaultID(roleRouter)
	}
	return joinFieldErrors(f.list)
}

// CompleteForAgent checks that all fields that an agent requires are set, and sets
// Process.ID to its default if it is empty. Errors are as for CompleteForRouter.
func (c *Config) CompleteForAgent() error {
	f := c.missingFields(roleAgent)
	c.Agent.checkHasTarget(&f)
	if c.Process.ID == "" {
		c.Process.ID = c.Process.defaultID(roleAgent)
	}
	return joinFieldErrors(f.list)
}

// CompleteForRoles calls CompleteForRouter if the file has a section "route", and
// CompleteForAgent if it has a section "agent". It is an error if the file has neither.
func (c *Config) CompleteForRoles() error {
	var errs []error
	route, agent := c.source.has("route"), c.source.has("agent")
	if !route && !agent {
		f := fieldErrors{source: c.source}
		f.add(ErrMissing, "route", `a section "route" or a section "agent"`)
		return joinFieldErrors(f.list)
	}
	if route {
		errs = append(errs, c.CompleteForRouter())
	}
	if agent {
		errs = append(errs, c.CompleteForAgent())
	}
	return errors.Join(errs...)
}

// check validates the values of all sections. It accepts missing values, as these depend on
// the role.
func (c *Config) check(f *fieldErrors) {
	c.Process.check(f)
	c.KV.check(f)
	c.Hosts.check(f)
	c.Router.check(f)
	c.Agent.check(f)
	c.Log.check(f)
}

// missingFields returns an error for each field that the role requires and that is not set.
func (c *Config) missingFields(r role) fieldErrors {
	if c.source == nil {
		c.source = &source{}
	}
	f := fieldErrors{source: c.source}
	findMissing(&f, reflect.ValueOf(c).Elem(), "", r)
	return f
}
