package router_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/core/router"
)

// TestForwardedPermitRequestIsGranted checks that a router grants a permit request that
// another router has forwarded, even if its own host list names another router as
// the one that grants permits. It would otherwise be forwarded back and forth while
// the routers' lists differ.
func TestForwardedPermitRequestIsGranted(t *testing.T) {
	for _, own := range []fleet.ProcessID{"entry-1", "entry-2"} {
		s := router.New(router.Options{Process: own, HostLag: time.Second, LoadTime: time.Second})
		now := time.Date(2026, time.May, 1, 8, 0, 0, 0, time.UTC)
		req := permit.Request{ID: "ask", Endpoint: "e1", Model: "m@1", Deadline: now.Add(time.Minute), Expected: time.Second}
		granted := false
		for range 3 * permit.TTL / permit.RenewPeriod {
			now = now.Add(permit.RenewPeriod)
			list := fleet.HostList{AsOf: now, Hosts: []fleet.Host{
				{ID: "entry-1", Role: fleet.HostRoleEntry, State: fleet.HostLive},
				{ID: "entry-2", Role: fleet.HostRoleEntry, State: fleet.HostLive},
			}}
			s.Apply(now, router.HostsListed{List: list})
			for _, eff := range s.Apply(now, router.PermitRequested{StreamID: 1, Request: req, Forwarded: true}) {
				answer, ok := eff.(router.AnswerPermit)
				granted = granted || (ok && answer.Granted)
			}
		}
		require.True(t, granted, "by %s", own)
	}
}
