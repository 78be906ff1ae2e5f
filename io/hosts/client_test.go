package hosts_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
	"chervilreach/io/hosts"
)

// TestList checks that the client returns the list as published, with its lag, and fails
// within its timeout.
func TestList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, addr := &fakes.Net{}, netip.MustParseAddrPort("127.0.0.1:9000")
		fake := fakes.NewHosts(fakes.HostsOptions{
			Hosts: []fleet.Host{{ID: "b", State: fleet.HostLive}, {ID: "c", State: fleet.HostLive}},
			Lag:   time.Minute,
		})
		require.NoError(t, fake.StartIn(network, addr))
		client := hosts.NewWithOptions(addr, hosts.Options{Dial: network.Dial})
		t.Cleanup(func() {
			client.Close()
			fake.Close()
			synctest.Wait()
		})
		fake.Add(fleet.Host{ID: "a", State: fleet.HostLive})
		fake.SetLeaving("b")
		fake.Remove("c")
		list, err := client.List(t.Context())
		require.NoError(t, err)
		require.Len(t, list.Hosts, 2, "the list lags behind the changes")
		require.Equal(t, fleet.HostLive, list.Hosts[0].State)
		time.Sleep(time.Minute)
		list, err = client.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, []fleet.Host{{ID: "a", State: fleet.HostLive}, {ID: "b", State: fleet.HostLeaving}}, list.Hosts)

		for name, faults := range map[string]fakes.HostsFaults{
			"outage": {Outage: true}, "silent": {Silent: true}, "slow": {Delay: time.Minute},
		} {
			fake.SetFaults(faults)
			began := time.Now()
			_, err = client.List(t.Context())
			require.ErrorIs(t, err, hosts.ErrUnavailable, name)
			require.LessOrEqual(t, time.Since(began), hosts.DefaultTimeout, name)
		}
	})
}
