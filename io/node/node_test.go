package node_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chervilreach/config"
	"chervilreach/io/node"
)

// TestMissingSettings checks that the error of a process that lacks required settings wraps
// config.ErrMissing.
func TestMissingSettings(t *testing.T) {
	_, err := node.NewAgent(config.Default(), node.Tuning{})
	require.ErrorIs(t, err, config.ErrMissing)
	_, err = node.NewRouter(config.Default(), node.Tuning{})
	require.ErrorIs(t, err, config.ErrMissing)
}
