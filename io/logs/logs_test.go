package logs_test

import (
	"bytes"
	"strings"
	"testing"

	"chervilreach/io/logs"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestNew checks that lines below the level are left out and that lines name the process.
func TestNew(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "router-1", "info", nil)
	require.NoError(t, err)
	log.Debug().Msg("hidden")
	log.Info().Str("model", "m").Msg("load")
	require.NoError(t, log.Close())
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `"process":"router-1"`)
	require.Contains(t, out.String(), `"message":"load"`)
}

// TestNewBadLevel checks the error for an unknown level.
func TestNewBadLevel(t *testing.T) {
	_, err := logs.New(&bytes.Buffer{}, "p", "loud", nil)
	require.ErrorContains(t, err, `log level "loud"`)
}

// TestErrorLog checks that a line of an http.Server becomes a warning.
func TestErrorLog(t *testing.T) {
	var out bytes.Buffer
	logs.ErrorLog(zerolog.New(&out)).Printf("http: Accept error: %v", "bad")
	require.JSONEq(t, `{"level":"warn","error":"http: Accept error: bad","message":"server for callers"}`, out.String())
}
