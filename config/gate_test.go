package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"chervilreach/config"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const gateBegin = `{"process": {"host": "h", "failure-domain": "d", "wire": "10.0.0.1:1", "admin": "10.0.0.1:2"},`

func TestGateFaults(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		err  error
		// place is what the error names.
		place string
	}{
		"no role":        {gateBegin + `"store": {"address": "10.0.0.2:1"}}`, config.ErrMissing, "callers"},
		"no store":       {gateBegin + `"store": {}, "callers": {"listen": "10.0.0.1:3", "ready": "10.0.0.1:4"}}`, config.ErrMissing, "store.address"},
		"no ready":       {gateBegin + `"store": {"address": "10.0.0.2:1"}, "callers": {"listen": "10.0.0.1:3"}}`, config.ErrMissing, "callers.ready"},
		"host name":      {gateBegin + `"store": {"address": "store:1"}}`, config.ErrBadValue, "store.address"},
		"ratio":          {gateBegin + `"store": {"address": "10.0.0.2:1"}, "retries": {"ratio": 2}}`, config.ErrBadValue, "retries.ratio"},
		"ratio as text":  {gateBegin + `"store": {"address": "10.0.0.2:1"}, "retries": {"ratio": "x"}}`, config.ErrBadValue, "retries.ratio"},
		"extra":          {gateBegin + `"store": {"address": "10.0.0.2:1"}, "retries": {"extra": -1}}`, config.ErrBadValue, "retries.extra"},
		"pace":           {gateBegin + `"store": {"address": "10.0.0.2:1", "pace": "1ms"}}`, config.ErrBadValue, "store.pace"},
		"wait":           {gateBegin + `"store": {"address": "10.0.0.2:1", "wait": "1h"}}`, config.ErrBadValue, "store.wait"},
		"window":         {gateBegin + `"store": {"address": "10.0.0.2:1"}, "retries": {"window": "0s"}}`, config.ErrBadValue, "retries.window"},
		"unknown":        {gateBegin + `"store": {"pase": "10.0.0.2:1"}}`, config.ErrUnknownField, "store.pase"},
		"not a settings": {`{"store": `, config.ErrSyntax, ":1:"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "gate.jsonc")
			require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
			err := config.Check(path)
			require.ErrorIs(t, err, c.err)
			require.ErrorContains(t, err, c.place)
			require.ErrorContains(t, err, path)
		})
	}
}

func TestGateIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gate.jsonc")
	write := func(retries string) {
		text := gateBegin + `"store": {"address": "10.0.0.2:1"}, "callers": {"listen": "10.0.0.1:3", "ready": "10.0.0.1:4"}, "retries": ` + retries + `}`
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write(`{"extra": 5}`)
	cfg, err := config.LoadGate(path)
	require.NoError(t, err)
	require.NoError(t, cfg.ForRouter())
	assert.Equal(t, 5, cfg.Retries.Extra)
	write(`{"extra": 9}`)
	again, err := cfg.Reread((*config.Gate).ForRouter)
	require.NoError(t, err)
	assert.Equal(t, 9, again.Retries.Extra)
	write(`{"extra": -9}`)
	_, err = cfg.Reread((*config.Gate).ForRouter)
	require.ErrorIs(t, err, config.ErrBadValue)
}
