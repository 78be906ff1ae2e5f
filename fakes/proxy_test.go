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

var (
	targetAddr = netip.MustParseAddrPort("127.0.0.1:9000")
	proxyAddr  = netip.MustParseAddrPort("127.0.0.1:9001")
)

func TestCutBeforeAnOrder(t *testing.T) {
	cases := map[string]struct {
		faults  fakes.ProxyFaults
		outcome fleet.Outcome
		err     error
		held    int
	}{
		"none":      {outcome: fleet.OutcomeDone, held: 1},
		"to target": {faults: fakes.ProxyFaults{DropToTarget: true}, outcome: fleet.OutcomeUnknown, err: engine.ErrResponseLost},
		"to caller": {faults: fakes.ProxyFaults{DropToCaller: true}, outcome: fleet.OutcomeUnknown, err: engine.ErrResponseLost, held: 1},
		"refuse":    {faults: fakes.ProxyFaults{Refuse: true}, outcome: fleet.OutcomeFailed, err: engine.ErrUnreachable},
		"delay":     {faults: fakes.ProxyFaults{Delay: time.Second}, outcome: fleet.OutcomeDone, held: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakes.Net{}
				fake := fakes.NewEngine(fakes.EngineOptions{})
				require.NoError(t, fake.StartIn(network, targetAddr))
				cut := fakes.NewProxyIn(network, targetAddr)
				require.NoError(t, cut.Start(proxyAddr))
				client := engine.NewWithOptions(proxyAddr, engine.Options{Dial: network.Dial, TotalTimeout: time.Minute})
				t.Cleanup(func() {
					client.Close()
					cut.Close()
					fake.Close()
					synctest.Wait()
				})
				require.NoError(t, cut.SetFaults(tc.faults))
				outcome, err := client.Order(t.Context(), fleet.Order{ID: "o", Action: fleet.ActionLoadModel, Model: "m@1"})
				require.Equal(t, tc.outcome, outcome)
				require.ErrorIs(t, err, tc.err)
				require.Len(t, fake.Loads(), tc.held)
				require.NoError(t, cut.SetFaults(fakes.ProxyFaults{}))
				_, err = client.State(t.Context())
				require.NoError(t, err, "new connections work")
			})
		})
	}
}

func TestCutStrikesOpenConnections(t *testing.T) {
	cases := map[string]struct {
		strike func(*fakes.Proxy)
		want   error
	}{
		"silence": {strike: (*fakes.Proxy).BlackholeConns, want: etcd.ErrIdleTimeout},
		"reset":   {strike: (*fakes.Proxy).ResetConns, want: etcd.ErrUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakes.Net{}
				kv := fakes.NewKV(fakes.KVOptions{})
				require.NoError(t, kv.StartIn(network, targetAddr))
				cut := fakes.NewProxyIn(network, targetAddr)
				require.NoError(t, cut.Start(proxyAddr))
				client := etcd.New([]netip.AddrPort{proxyAddr}, etcd.Options{Dial: network.Dial})
				t.Cleanup(func() {
					client.Close()
					cut.Close()
					kv.Close()
					synctest.Wait()
				})
				err := client.Watch(t.Context(), "/", 0, func([]etcd.Change) { tc.strike(cut) })
				require.ErrorIs(t, err, tc.want)
				_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a"}})
				require.NoError(t, err, "new connections work")
			})
		})
	}
}

func TestCutOverTCP(t *testing.T) {
	kv := fakes.NewKV(fakes.KVOptions{})
	require.NoError(t, kv.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	cut := fakes.NewProxy(kv.Addr())
	require.NoError(t, cut.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	client := etcd.New([]netip.AddrPort{cut.Addr()}, etcd.Options{Timeout: time.Minute, WatchIdleTimeout: time.Minute})
	t.Cleanup(func() {
		client.Close()
		cut.Close()
		kv.Close()
	})
	err := client.Watch(t.Context(), "/", 0, func([]etcd.Change) { cut.ResetConns() })
	require.ErrorIs(t, err, etcd.ErrUnavailable)
	rev, err := client.Write(t.Context(), []etcd.Put{{Key: "/a"}})
	require.NoError(t, err)
	require.NoError(t, cut.SetFaults(fakes.ProxyFaults{Refuse: true}))
	cut.ResetConns()
	_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a", Expect: rev}})
	require.Error(t, err)
	require.NoError(t, cut.SetFaults(fakes.ProxyFaults{}))
	_, err = client.Write(t.Context(), []etcd.Put{{Key: "/a", Expect: rev}})
	require.NoError(t, err)
}

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
	require.Equal(t, http.StatusBadRequest, status, "a misspelt fault is no fault")
}
