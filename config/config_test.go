package config_test

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chervilreach/config"
	"chervilreach/core/fleet"

	"github.com/stretchr/testify/require"
)

// minimalRouter holds only the settings that a router requires.
const minimalRouter = `{
  // The entry host in Derby.
  "process": {
    "host": "derby-1", "failure-domain": "derby",
    "wire": "127.0.0.1:7400", "admin": "127.0.0.1:7401",
  },
  "kv": {"addresses": ["127.0.0.1:2379"]},
  "hosts": {"address": "127.0.0.1:7300"},
  "route": {"listen": "127.0.0.1:8080"},
}`

func ExampleParse() {
	_, err := config.Parse("route.json", []byte("{\n  \"route\": {\"listen\": \"localhost:8080\"},\n}"))
	var fieldErr *config.FieldError
	fmt.Println(errors.As(err, &fieldErr), errors.Is(err, config.ErrBadValue))
	fmt.Println(fieldErr.File, fieldErr.Line, fieldErr.Column, fieldErr.Field)
	// Output:
	// true true
	// route.json 2 23 route.listen
}

// TestMinimalRouterSettings checks the values of a file with only the settings that a router requires:
// those given, the defaults and the default process ID. They are not sufficient for an agent.
func TestMinimalRouterSettings(t *testing.T) {
	cfg, err := config.Parse("route.json", []byte(minimalRouter))
	require.NoError(t, err)
	require.NoError(t, cfg.CompleteForRouter())
	require.NoError(t, cfg.CompleteForRoles())
	require.Equal(t, fleet.ProcessID("router-derby-1"), cfg.Process.ID)
	require.Equal(t, netip.MustParseAddrPort("127.0.0.1:8080"), cfg.Router.Listen)
	require.Equal(t, 4*fleet.MiB, cfg.Router.MaxBody)
	require.Equal(t, time.Second, cfg.Hosts.Period)
	require.Equal(t, "info", cfg.Log.Level)
	require.ErrorIs(t, cfg.CompleteForAgent(), config.ErrMissing)
}

// TestAgent checks the values of the section "agent".
func TestAgent(t *testing.T) {
	text := `{"agent": {"endpoint": "derby-ep-1", "engine": "[::1]:9000", "memory": "80GiB", "fenced": true,
		"services": {"bookings": "127.0.0.1:9100"}}}`
	cfg, err := config.Parse("agent.json", []byte(text))
	require.NoError(t, err)
	require.Equal(t, 80*fleet.GiB, cfg.Agent.Memory)
	require.False(t, cfg.Agent.MemoryFromEngine())
	require.True(t, cfg.Agent.ChecksFence)
	require.Equal(t, netip.MustParseAddrPort("127.0.0.1:9100"), cfg.Agent.Services["bookings"])
}

// TestFieldErrors checks the kind and the position of the error that is reported for each invalid
// file.
func TestFieldErrors(t *testing.T) {
	type place struct {
		line, column int
		field        string
	}
	tests := map[string]struct {
		text string
		err  error
		want place
	}{
		"not json":                       {"{\n  \"log\": }", config.ErrSyntax, place{2, 10, "file"}},
		"empty":                          {"", config.ErrSyntax, place{1, 1, "file"}},
		"not an object":                  {"[]", config.ErrBadValue, place{1, 1, ""}},
		"unknown section":                {"{\"rout\": {}}", config.ErrUnknownField, place{1, 2, "rout"}},
		"unknown field":                  {"{\n\"route\": {\n  \"lisen\": 1}}", config.ErrUnknownField, place{3, 3, "route.lisen"}},
		"empty name":                     {`{"": 1}`, config.ErrUnknownField, place{1, 2, ""}},
		"other case":                     {`{"Route": {}}`, config.ErrUnknownField, place{1, 2, "Route"}},
		"field twice":                    {`{"log": {}, "log": {}}`, config.ErrBadValue, place{1, 13, "log"}},
		"host name as address":           {`{"route": {"listen": "derby:80"}}`, config.ErrBadValue, place{1, 22, "route.listen"}},
		"no port":                        {`{"route": {"listen": "10.0.0.1"}}`, config.ErrBadValue, place{1, 22, "route.listen"}},
		"port zero":                      {`{"route": {"listen": "10.0.0.1:0"}}`, config.ErrBadValue, place{1, 22, "route.listen"}},
		"port too high":                  {`{"route": {"listen": "10.0.0.1:65536"}}`, config.ErrBadValue, place{1, 22, "route.listen"}},
		"address with zone":              {`{"route": {"listen": "[fe80::1%eth0]:80"}}`, config.ErrBadValue, place{1, 22, "route.listen"}},
		"address is a number":            {`{"route": {"listen": 80}}`, config.ErrBadValue, place{1, 22, "route.listen"}},
		"address is an object":           {`{"route": {"listen": {}}}`, config.ErrBadValue, place{1, 22, "route.listen"}},
		"section is a list":              {`{"route": []}`, config.ErrBadValue, place{1, 11, "route"}},
		"null":                           {`{"route": null}`, config.ErrBadValue, place{1, 11, "route"}},
		"list is a string":               {`{"kv": {"addresses": "10.0.0.1:80"}}`, config.ErrBadValue, place{1, 22, "kv.addresses"}},
		"invalid element":                {`{"kv": {"addresses": ["10.0.0.1:80", "x"]}}`, config.ErrBadValue, place{1, 38, "kv.addresses.1"}},
		"address twice":                  {`{"kv": {"addresses": ["10.0.0.1:80", "10.0.0.1:80"]}}`, config.ErrBadValue, place{1, 38, "kv.addresses.1"}},
		"unspecified address":            {`{"hosts": {"address": "0.0.0.0:80"}}`, config.ErrBadValue, place{1, 23, "hosts.address"}},
		"duration without unit":          {`{"hosts": {"period": 5}}`, config.ErrBadValue, place{1, 22, "hosts.period"}},
		"period too long":                {`{"hosts": {"period": "2h"}}`, config.ErrBadValue, place{1, 22, "hosts.period"}},
		"negative period":                {`{"hosts": {"period": "-1s"}}`, config.ErrBadValue, place{1, 22, "hosts.period"}},
		"fraction for an integer":        {`{"route": {"max-calls": 1.5}}`, config.ErrBadValue, place{1, 25, "route.max-calls"}},
		"max-bodies below max-body":      {`{"route": {"max-bodies": "1MiB"}}`, config.ErrBadValue, place{1, 26, "route.max-bodies"}},
		"max-calls zero":                 {`{"route": {"max-calls": 0}}`, config.ErrBadValue, place{1, 25, "route.max-calls"}},
		"memory overflow":                {`{"agent": {"memory": "17179869185GiB"}}`, config.ErrBadValue, place{1, 22, "agent.memory"}},
		"unknown memory unit":            {`{"agent": {"memory": "80GB"}}`, config.ErrBadValue, place{1, 22, "agent.memory"}},
		"bool in quotes":                 {`{"agent": {"fenced": "true"}}`, config.ErrBadValue, place{1, 22, "agent.fenced"}},
		"empty name given":               {`{"agent": {"endpoint": ""}}`, config.ErrBadValue, place{1, 24, "agent.endpoint"}},
		"space in name":                  {`{"process": {"host": "a b"}}`, config.ErrBadValue, place{1, 22, "process.host"}},
		"invalid service address":        {`{"agent": {"services": {"b": "b:1"}}}`, config.ErrBadValue, place{1, 30, "agent.services.b"}},
		"unknown log level":              {`{"log": {"level": "loud"}}`, config.ErrBadValue, place{1, 19, "log.level"}},
		"wire and admin on same address": {`{"process": {"wire": "10.0.0.1:1", "admin": "10.0.0.1:1"}}`, config.ErrBadValue, place{1, 45, "process.admin"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse("f.json", []byte(tt.text))
			require.ErrorIs(t, err, tt.err)
			var fieldErr *config.FieldError
			require.ErrorAs(t, err, &fieldErr)
			got := place{fieldErr.Line, fieldErr.Column, fieldErr.Field}
			require.Equal(t, tt.want, got)
			require.Equal(t, "f.json", fieldErr.File)
			require.NotEmpty(t, fieldErr.Want)
		})
	}
}

// TestMissing checks that an incomplete file is accepted by Parse, and that the completion for
// a role names each missing field.
func TestMissing(t *testing.T) {
	tests := map[string]struct {
		text     string
		complete func(*config.Config) error
		fields   []string
	}{
		"router, empty file": {`{}`, (*config.Config).CompleteForRouter, []string{
			"process.host", "process.failure-domain", "process.wire", "process.admin",
			"kv.addresses", "hosts.address", "route.listen",
		}},
		"no role":                           {`{}`, (*config.Config).CompleteForRoles, []string{"route"}},
		"agent without engine and services": {`{"agent": {"endpoint": "e"}}`, (*config.Config).CompleteForAgent, []string{"agent.engine"}},
		"router, empty addresses":           {`{"kv": {"addresses": []}}`, (*config.Config).CompleteForRouter, []string{"kv.addresses"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cfg, err := config.Parse("f.json", []byte(tt.text))
			require.NoError(t, err)
			err = tt.complete(cfg)
			require.ErrorIs(t, err, config.ErrMissing)
			for _, field := range tt.fields {
				require.ErrorContains(t, err, " "+field+": missing field")
			}
		})
	}
}

// TestAllFieldErrorsAreReported checks that the error of a file with several errors contains all of
// them with their lines.
func TestAllFieldErrorsAreReported(t *testing.T) {
	_, err := config.Parse("f.json", []byte("{\"log\": {\"level\": 1},\n\"rout\": 1,\n\"kv\": 2}"))
	require.ErrorIs(t, err, config.ErrBadValue)
	require.ErrorIs(t, err, config.ErrUnknownField)
	require.Regexp(t, `(?s)f.json:1:.*f.json:2:.*f.json:3:`, err.Error())
}

// TestLoad loads a missing file, a valid one, and one that exceeds the maximum size.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "route.json")
	_, err := config.Load(path)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(path, []byte(minimalRouter), 0o600))
	cfg, err := config.Load(path)
	require.NoError(t, err)
	require.Equal(t, fleet.HostID("derby-1"), cfg.Process.Host)
	require.NoError(t, os.WriteFile(path, make([]byte, 2<<20), 0o600))
	_, err = config.Load(path)
	require.ErrorIs(t, err, config.ErrBadValue)
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{minimalRouter, `{}`, `{"kv": {"addresses": [1]}}`, `{"": 1}`, "{\"log\": {\"level\": \"\xff\"}}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := config.Parse("f.json", data)
		if err == nil {
			_ = cfg.CompleteForRoles()
			return
		}
		var fieldErr *config.FieldError
		require.ErrorAs(t, err, &fieldErr)
		require.Positive(t, fieldErr.Line)
		require.Positive(t, fieldErr.Column)
	})
}
