package fakes

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"chervilreach/core/fleet"
)

// HostsOptions configure a Hosts.
type HostsOptions struct {
	// Hosts is the initial list.
	Hosts []fleet.Host
	// Lag is the time from a change until the list contains it.
	Lag time.Duration
}

// HostsFaults are the faults that a Hosts injects.
type HostsFaults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage,omitempty"`
	// Silent accepts calls without executing or answering them.
	Silent bool `json:"silent,omitempty"`
	// Delay is added before every call is handled.
	Delay time.Duration `json:"delay-ns,omitempty"`
}

// Hosts is a stand-in for the platform's host list.
type Hosts struct {
	*server
	lag time.Duration

	mu     sync.Mutex
	faults HostsFaults
	// history contains the list after each change, oldest first. Lists that no caller can
	// see any more are removed.
	history []fleet.HostList
}

// NewHosts returns a host list that does not listen until Start or StartIn.
func NewHosts(opts HostsOptions) *Hosts {
	h := &Hosts{lag: opts.Lag}
	h.history = []fleet.HostList{{AsOf: time.Now().Add(-opts.Lag), Hosts: sortHosts(slices.Clone(opts.Hosts))}}
	mux := http.NewServeMux()
	h.server = newServer(mux)
	mux.HandleFunc("GET /v1/hosts", h.withFaults(h.commonFaults, h.serveList))
	mux.HandleFunc("PUT /control/hosts", h.servePut)
	mux.HandleFunc("DELETE /control/hosts/{id}", h.serveRemove)
	handleControl(mux, h.Report, h.SetFaults)
	return h
}

// SetFaults replaces all faults.
func (h *Hosts) SetFaults(faults HostsFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = faults
}

// HostsReport is the response body of GET /control. Current is the list without Lag.
type HostsReport struct {
	Faults  HostsFaults    `json:"faults"`
	Current fleet.HostList `json:"current"`
}

// Report returns the faults and the current list.
func (h *Hosts) Report() HostsReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HostsReport{Faults: h.faults, Current: h.history[len(h.history)-1]}
}

// Add adds a host, or replaces the one with the same ID.
func (h *Hosts) Add(host fleet.Host) {
	h.update(func(hosts []fleet.Host) []fleet.Host {
		return append(withoutHost(hosts, host.ID), host)
	})
}

// SetLeaving changes the state of a host to leaving.
func (h *Hosts) SetLeaving(id fleet.HostID) {
	h.update(func(hosts []fleet.Host) []fleet.Host {
		for i := range hosts {
			if hosts[i].ID == id {
				hosts[i].State = fleet.HostLeaving
			}
		}
		return hosts
	})
}

// Remove removes a host from the list.
func (h *Hosts) Remove(id fleet.HostID) {
	h.update(func(hosts []fleet.Host) []fleet.Host { return withoutHost(hosts, id) })
}

// update records a new list that edit returns for a copy of the current one.
func (h *Hosts) update(edit func([]fleet.Host) []fleet.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := edit(slices.Clone(h.history[len(h.history)-1].Hosts))
	h.history = append(h.history, fleet.HostList{AsOf: time.Now(), Hosts: sortHosts(hosts)})
}

// withoutHost removes the host with the given ID from hosts, in place.
func withoutHost(hosts []fleet.Host, id fleet.HostID) []fleet.Host {
	return slices.DeleteFunc(hosts, func(host fleet.Host) bool { return host.ID == id })
}

// sortHosts sorts hosts by ID, in place.
func sortHosts(hosts []fleet.Host) []fleet.Host {
	slices.SortFunc(hosts, func(a, b fleet.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

// List returns the list as of Lag ago, as GET /v1/hosts serves it.
func (h *Hosts) List() fleet.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	asOf := time.Now().Add(-h.lag)
	for len(h.history) > 1 && !h.history[1].AsOf.After(asOf) {
		h.history = h.history[1:]
	}
	return fleet.HostList{AsOf: asOf, Hosts: slices.Clone(h.history[0].Hosts)}
}

// commonFaults returns the current faults that apply to every call.
func (h *Hosts) commonFaults() commonFaults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return commonFaults{outage: h.faults.Outage, silent: h.faults.Silent, delay: h.faults.Delay}
}

func (h *Hosts) serveList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.List())
}

// servePut adds or replaces the host in the request body.
func (h *Hosts) servePut(w http.ResponseWriter, r *http.Request) {
	var host fleet.Host
	if !readJSON(w, r, &host) {
		return
	}
	h.Add(host)
	w.WriteHeader(http.StatusNoContent)
}

func (h *Hosts) serveRemove(w http.ResponseWriter, r *http.Request) {
	h.Remove(fleet.HostID(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}
