package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/fakes"
	"chervilreach/io/engine"
)

// TestEndlessAnswer checks the memory that a call takes whose answer never ends.
func TestEndlessAnswer(t *testing.T) {
	const (
		maxGrowth = 8 << 20
		timeout   = 500 * time.Millisecond
	)
	for name, a := range fakes.EndlessAnswers() {
		t.Run(name, func(t *testing.T) {
			server, err := fakes.StartEndless(a)
			require.NoError(t, err)
			t.Cleanup(func() { assert.NoError(t, server.Close()) })
			var took time.Duration
			growth := fakes.HeapGrowth(func() {
				startedAt := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				c := engine.New(server.Addr)
				defer c.Close()
				_, err := c.State(ctx)
				took = time.Since(startedAt)
				assert.Error(t, err)
			})
			t.Logf("heap grew by %.1f MB", float64(growth)/(1<<20))
			assert.Less(t, growth, uint64(maxGrowth))
			assert.Less(t, took, 2*timeout)
		})
	}
}
