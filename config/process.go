package config

import (
	"net/netip"
	"time"

	"chervilreach/core/fleet"
)

// Process is the section "process": which process this is and where others
// reach it.
type Process struct {
	// ID names the process; when left out it follows from the role and the host.
	ID fleet.ProcessID `json:"id"`
	// Host is the platform's name of the host.
	Host          fleet.HostID        `json:"host" need:"router,agent"`
	FailureDomain fleet.FailureDomain `json:"failure-domain" need:"router,agent"`
	// Wire is where the process listens for other processes of the system.
	Wire netip.AddrPort `json:"wire" need:"router,agent"`
	// Admin is where the process serves metrics, health and its time line.
	Admin netip.AddrPort `json:"admin" need:"router,agent"`
	// DrainTimeout is the longest time that a shutdown waits for requests in
	// progress.
	DrainTimeout time.Duration `json:"drain-timeout" default:"60s"`
	// Memory is the most that the process may take; 0 for no bound.
	Memory fleet.Bytes `json:"memory"`
}

func (p Process) check(f *faults) {
	f.name("process.id", string(p.ID))
	f.name("process.host", string(p.Host))
	f.name("process.failure-domain", string(p.FailureDomain))
	f.between("process.drain-timeout", p.DrainTimeout, time.Second, time.Hour)
	if p.Wire.IsValid() && p.Wire == p.Admin {
		f.add(ErrBadValue, "process.admin", "an address other than process.wire")
	}
}

// derivedID returns the ID of a process that was given none.
func (p Process) derivedID(r role) fleet.ProcessID {
	return fleet.ProcessID(string(r) + "-" + string(p.Host))
}
