package config

import (
	"net/netip"
	"time"

	"chervilreach/core/fleet"
)

// Process is the section "process": the name, addresses and limits of the process.
type Process struct {
	// ID is the name of the process. The default consists of the role and the host, such as
	// "router-derby-1".
	ID fleet.ProcessID `json:"id"`
	// Host is the platform's name of the host.
	Host fleet.HostID `json:"host" need:"router,agent"`
	// FailureDomain is the failure domain of the host.
	FailureDomain fleet.FailureDomain `json:"failure-domain" need:"router,agent"`
	// Wire is the address on which the process listens for connections of other chervilreach
	// processes.
	Wire netip.AddrPort `json:"wire" need:"router,agent"`
	// Admin is the address on which the process serves its metrics, health, status and
	// timeline.
	Admin netip.AddrPort `json:"admin" need:"router,agent"`
	// DrainTimeout is the maximum time that a shutdown waits for requests in progress.
	DrainTimeout time.Duration `json:"drain-timeout" default:"60s" fallback:"true"`
	// Memory is the memory available to the process; 0 means no limit. It has an effect on the
	// users' platform only.
	Memory fleet.Bytes `json:"memory" fallback:"true"`
}

// check validates the values that are set.
func (p Process) check(f *fieldErrors) {
	f.checkName("process.id", string(p.ID))
	f.checkName("process.host", string(p.Host))
	f.checkName("process.failure-domain", string(p.FailureDomain))
	f.checkDuration("process.drain-timeout", p.DrainTimeout, time.Second, time.Hour)
	if p.Wire.IsValid() && p.Wire == p.Admin {
		f.add(ErrBadValue, "process.admin", "an address other than process.wire")
	}
}

// defaultID returns the ID of a process whose settings do not set one.
func (p Process) defaultID(r role) fleet.ProcessID {
	return fleet.ProcessID(string(r) + "-" + string(p.Host))
}
