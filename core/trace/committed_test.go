package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"chervilreach/core/trace"

	"github.com/stretchr/testify/require"
)

// TestCommitted checks that the generator still produces the committed trace files byte for
// byte.
func TestCommitted(t *testing.T) {
	files, err := filepath.Glob("../../traces/*.jsonl")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			require.NoError(t, err)
			read, err := trace.Read(bytes.NewReader(raw))
			require.NoError(t, err)
			generated, err := trace.Generate(read.Header.Scenario, read.Header.Seed)
			require.NoError(t, err)
			var buf bytes.Buffer
			require.NoError(t, generated.Write(&buf))
			require.True(t, bytes.Equal(raw, buf.Bytes()), "the file differs from the generated trace")
		})
	}
}
