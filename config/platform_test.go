package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chervilreach/config"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// processSection is the beginning of a settings file, with a valid section "process".
const processSection = `{"process": {"host": "h", "failure-domain": "d", "wire": "10.0.0.1:1", "admin": "10.0.0.1:2"},`

// TestPlatformFieldErrors checks the error for each invalid settings file of a process on the users'
// platform.
func TestPlatformFieldErrors(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		err  error
		// want is a part of the error's text: the field or part of the position.
		want string
	}{
		"no role":              {processSection + `"store": {"address": "10.0.0.2:1"}}`, config.ErrMissing, "callers"},
		"no store":             {processSection + `"store": {}, "callers": {"listen": "10.0.0.1:3", "ready": "10.0.0.1:4"}}`, config.ErrMissing, "store.address"},
		"no ready":             {processSection + `"store": {"address": "10.0.0.2:1"}, "callers": {"listen": "10.0.0.1:3"}}`, config.ErrMissing, "callers.ready"},
		"host name as address": {processSection + `"store": {"address": "store:1"}}`, config.ErrBadValue, "store.address"},
		"ratio out of range":   {processSection + `"store": {"address": "10.0.0.2:1"}, "retries": {"ratio": 2}}`, config.ErrBadValue, "retries.ratio"},
		"ratio as string":      {processSection + `"store": {"address": "10.0.0.2:1"}, "retries": {"ratio": "x"}}`, config.ErrBadValue, "retries.ratio"},
		"ratio not a number":   {processSection + `"store": {"address": "10.0.0.2:1"}, "retries": {"ratio": "NaN"}}`, config.ErrBadValue, "retries.ratio"},
		"no ratio":             {processSection + `"store": {"address": "10.0.0.2:1"}, "retries": {"ratio": ""}}`, config.ErrBadValue, "retries.ratio"},
		"extra without end":    {processSection + `"store": {"address": "10.0.0.2:1"}, "retries": {"extra": "Inf"}}`, config.ErrBadValue, "retries.extra"},
		"no memory":            {strings.Replace(processSection, `"host"`, `"memory": "MiB", "host"`, 1) + `"store": {"address": "10.0.0.2:1"}}`, config.ErrBadValue, "process.memory"},
		"negative extra":       {processSection + `"store": {"address": "10.0.0.2:1"}, "retries": {"extra": -1}}`, config.ErrBadValue, "retries.extra"},
		"pace too short":       {processSection + `"store": {"address": "10.0.0.2:1", "pace": "1ms"}}`, config.ErrBadValue, "store.pace"},
		"wait too long":        {processSection + `"store": {"address": "10.0.0.2:1", "wait": "1h"}}`, config.ErrBadValue, "store.wait"},
		"window too short":     {processSection + `"store": {"address": "10.0.0.2:1"}, "retries": {"window": "0s"}}`, config.ErrBadValue, "retries.window"},
		"unknown field":        {processSection + `"store": {"pase": "10.0.0.2:1"}}`, config.ErrUnknownField, "store.pase"},
		"syntax error":         {`{"store": `, config.ErrSyntax, ":1:"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "gate.jsonc")
			require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
			err := config.CheckFile(path)
			require.ErrorIs(t, err, c.err)
			require.ErrorContains(t, err, c.want)
			require.ErrorContains(t, err, path)
		})
	}
}

// TestPlatformReread checks that Reread returns the changed settings, in which a limit that can't
// be used has its earlier value, and an error if the changed file is invalid otherwise.
func TestPlatformReread(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gate.jsonc")
	write := func(retries string) {
		text := processSection + `"store": {"address": "10.0.0.2:1"}, "callers": {"listen": "10.0.0.1:3", "ready": "10.0.0.1:4"}, "retries": ` + retries + `}`
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write(`{"extra": 5}`)
	cfg, err := config.LoadPlatform(path)
	require.NoError(t, err)
	require.NoError(t, cfg.CompleteForRouter())
	assert.InDelta(t, 5, cfg.Retries.Extra, 0)
	write(`{"extra": 9}`)
	reread, err := cfg.Reread((*config.PlatformConfig).CompleteForRouter)
	require.NoError(t, err)
	assert.InDelta(t, 9, reread.Retries.Extra, 0)
	require.NoError(t, reread.Ignored())
	write(`{"extra": -9, "ratio": "0.5"}`)
	again, err := reread.Reread((*config.PlatformConfig).CompleteForRouter)
	require.NoError(t, err)
	require.ErrorIs(t, again.Ignored(), config.ErrBadValue)
	assert.InDelta(t, 9, again.Retries.Extra, 0, "the earlier value stays in use")
	assert.InDelta(t, 0.5, again.Retries.Ratio, 0, "the other values are in use")
	write(`{"extra": 9, "x": 1}`)
	_, err = cfg.Reread((*config.PlatformConfig).CompleteForRouter)
	require.ErrorIs(t, err, config.ErrUnknownField)
}
