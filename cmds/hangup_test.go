package cmds

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/io/sighup"
)

// SIGHUP must not terminate a daemon that is still reading its settings (soak seed 239).
func TestHangupWhileStarting(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	// The settings are invalid, so the command returns; by then it must catch the signal.
	require.Equal(t, ExitUsage, Run([]string{"relay", file}))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case sig := <-sighup.Signals:
		assert.Equal(t, syscall.SIGHUP, sig)
	case <-time.After(5 * time.Second):
		t.Fatal("the signal was not caught")
	}
}
