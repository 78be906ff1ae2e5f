package config

import (
	"net/netip"
	"time"
)

// Bounds of Hosts.Period.
const (
	minHostsPeriod = 50 * time.Millisecond
	maxHostsPeriod = time.Minute
)

// Hosts is the section "hosts": how the process reads the platform's list of hosts, which
// contains live hosts and those that are leaving.
type Hosts struct {
	// Address is the address of the server of the list.
	Address netip.AddrPort `json:"address" need:"router,agent"`
	// Period is the time between two reads of the list.
	Period time.Duration `json:"period" default:"1s"`
}

// check validates the values that are set.
func (h Hosts) check(f *fieldErrors) {
	f.checkTarget("hosts.address", h.Address)
	f.checkDuration("hosts.period", h.Period, minHostsPeriod, maxHostsPeriod)
}
