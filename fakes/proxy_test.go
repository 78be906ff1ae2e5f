package fakes_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
	"chervilreach/io/engine"
	"chervilreach/io/etcd"
)

// Addresses in the in-memory network.
var (
	targetAddr = netip.MustParseAddrPort("127.0.0.1:9000")
	proxyAddr  = netip.MustParseAddrPort("127.0.0.1:9001")
)

// TestProxyOnNewConnections sets a fault before an order is sent, and checks the outcome
// that the client reports and whether the order was executed.
func TestProxyOnNewConnections(t *testing.T) {
	cases := map[string]struct {
		faults    fakes.ProxyFaults
		outcome   fleet.Outcome
		err       error
		wantLoads int
	}{
		"none":      {outcome: fleet.OutcomeDone, wantLoads: 1},
		"to target": {faults: fakes.ProxyFaults{DropToTarget: true}, outcome: fleet.OutcomeUnknown, err: engine.ErrResponseLost},
		"to caller": {faults: fakes.ProxyFaults{DropToCaller: true}, outcome: fleet.OutcomeUnknown, err: engine.ErrResponseLost, wantLoads: 1},
		"refuse":    {faults: fakes.ProxyFaults{Refuse: true}, outcome: fleet.OutcomeFailed, err: engine.ErrUnreachable},
		"delay":     {faults: fakes.ProxyFaults{Delay: time.Second}, outcome: fleet.OutcomeDone, wantLoads: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakes.Net{}
				fake := fakes.NewEngine(fakes.EngineOptions{})
				require.NoError(t, fake.StartIn(network, targetAddr))
				proxy := fakes.NewProxyIn(network, targetAddr)
				require.NoError(t, proxy.Start(proxyAddr))
				client := engine.NewWithOptions(proxyAddr, engine.Options{Dial: network.Dial, TotalTimeout: time.Minute})
				t.Cleanup(func() {
					client.Close()
					proxy.Close()
					fake.Close()
					synctest.Wait()
				})
				require.NoError(t, proxy.SetFaults(tc.faults))
				outcome, err := client.Order(t.Context(), fleet.Order{ID: "o", Action: fleet.ActionLoadModel, Model: "m@1"})
				require.Equal(t, tc.outcome, outcome)
				require.ErrorIs(t, err, tc.err)
				require.Len(t, fake.Loads(), tc.wantLoads)
				require.NoError(t, proxy.SetFaults(fakes.ProxyFaults{}))
				_, err = client.State(t.Context())
				require.NoError(t, err, "new connections work")
			})
		})
	}
}

// TestProxyOnOpenConnections injects faults into the open connection of a watch.
func TestProxyOnOpenConnections(t *testing.T) {
	cases := map[string]struct {
		inject func(*fakes.Proxy)
		want   error
	}{
		"silence": {inject: (*fakes.Proxy).BlackholeConns, want: etcd.ErrIdleTimeout},
		"reset":   {inject: (*fakes.Proxy).ResetConns, want: etcd.ErrUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakes.Net{}
				kv := fakes.NewKV(fakes.KVOptions{})
				require.NoError(t, kv.StartIn(network, targetAddr))
				proxy := fakes.NewProxyIn(network, targetAddr)
				require.NoError(t, proxy.Start(proxyAddr))
				client := etcd.New([]netip.AddrPort{proxyAddr}, etcd.Options{Dial: network.Dial})
				t.Cleanup(func() {
					client.Close()
					proxy.Close()
					kv.Close()
					synctest.Wait()
				})
				err := client.Watch(t.Context(), "/", 0, func([]etcd.Change) { tc.inject(proxy) })
				require.ErrorIs(t, err, tc.want)
				_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a"}})
				require.NoError(t, err, "new connections work")
			})
		})
	}
}

// TestProxyOverTCP checks ResetConns and Refuse with TCP connections instead of those of the
// in-memory network.
func TestProxyOverTCP(t *testing.T) {
	kv := fakes.NewKV(fakes.KVOptions{})
	require.NoError(t, kv.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	proxy := fakes.NewProxy(kv.Addr())
	require.NoError(t, proxy.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	client := etcd.New([]netip.AddrPort{proxy.Addr()}, etcd.Options{Timeout: time.Minute, WatchIdleTimeout: time.Minute})
	t.Cleanup(func() {
		client.Close()
		proxy.Close()
		kv.Close()
	})
	err := client.Watch(t.Context(), "/", 0, func([]etcd.Change) { proxy.ResetConns() })
	require.ErrorIs(t, err, etcd.ErrUnavailable)
	rev, err := client.Write(t.Context(), []etcd.Put{{Key: "/a"}})
	require.NoError(t, err)
	require.NoError(t, proxy.SetFaults(fakes.ProxyFaults{Refuse: true}))
	proxy.ResetConns()
	_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a", ExpectRevision: rev}})
	require.Error(t, err)
	require.NoError(t, proxy.SetFaults(fakes.ProxyFaults{}))
	_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a", ExpectRevision: rev}})
	require.NoError(t, err)
}

// TestControl checks that faults can be set over HTTP.
func TestControl(t *testing.T) {
	kv := fakes.NewKV(fakes.KVOptions{})
	require.NoError(t, kv.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	defer kv.Close()
	post := func(path, body string) (int, string) {
		resp, err := http.Post("http://"+kv.Addr().String()+path, "application/json", stringReader(body))
		require.NoError(t, err)
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(raw)
	}
	status, body := post("/control", `{"outage":true}`)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"outage":true`)
	status, _ = post("/v3/kv/range", `{"key":"YQ=="}`)
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, _ = post("/control", `{"outge":true}`)
	require.Equal(t, http.StatusBadRequest, status, "an unknown fault is rejected")
}
