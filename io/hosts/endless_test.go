package hosts_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
	"chervilreach/io/hosts"
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
				c := hosts.New(server.Addr)
				defer c.Close()
				_, err := c.List(ctx)
				took = time.Since(startedAt)
				assert.Error(t, err)
			})
			t.Logf("heap grew by %.1f MB", float64(growth)/(1<<20))
			assert.Less(t, growth, uint64(maxGrowth))
			assert.Less(t, took, 2*timeout)
		})
	}
}

// TestListAtTarget checks that the list of the largest fleet is within the bound of an answer.
func TestListAtTarget(t *testing.T) {
	const hostCount = 330 + 6000
	var want fleet.HostList
	for n := range hostCount {
		name := fmt.Sprintf("northampton-hall-endpoint-%d", n)
		addr := netip.AddrFrom4([4]byte{10, 100, byte(n >> 8), byte(n)})
		want.Hosts = append(want.Hosts, fleet.Host{
			ID: fleet.HostID(name), Role: fleet.HostRoleEndpoint, Endpoint: fleet.EndpointID(name), FailureDomain: "Northampton",
			WireAddr: netip.AddrPortFrom(addr, 17400), AdminAddr: netip.AddrPortFrom(addr, 17401), State: fleet.HostLive,
		})
	}
	text, err := json.Marshal(want)
	require.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(text) }))
	defer server.Close()
	c := hosts.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer c.Close()
	got, err := c.List(t.Context())
	require.NoError(t, err)
	assert.Equal(t, want, got)
}
