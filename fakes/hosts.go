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
	// Hosts is the list to begin with.
	Hosts []fleet.Host
	// Lag is how long a change stays unseen.
	Lag time.Duration
}

// HostsFaults are the faults of a Hosts.
type HostsFaults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage,omitempty"`
	// Silent swallows calls.
	Silent bool `json:"silent,omitempty"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay-ns,omitempty"`
}

// Hosts stands in for the platform's list of hosts.
type Hosts struct {
	*server
	lag time.Duration

	mu     sync.Mutex
	faults HostsFaults
	// lists are the list after each change, oldest first.
	history []fleet.HostList
}

// NewHosts returns a list that doesn't listen yet.
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

// SetFaults replaces the faults.
func (h *Hosts) SetFaults(faults HostsFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = faults
}

// HostsReport is what GET /control answers; Current doesn't lag.
type HostsReport struct {
	Faults  HostsFaults    `json:"faults"`
	Current fleet.HostList `json:"current"`
}

// Report returns the faults and the list as it is.
func (h *Hosts) Report() HostsReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HostsReport{Faults: h.faults, Current: h.history[len(h.history)-1]}
}

// Add puts a host on the list or replaces it.
func (h *Hosts) Add(host fleet.Host) {
	h.update(func(hosts []fleet.Host) []fleet.Host {
		return append(withoutHost(hosts, host.ID), host)
	})
}

// SetLeaving marks a host as leaving.
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

// Remove takes a host off the list.
func (h *Hosts) Remove(id fleet.HostID) {
	h.update(func(hosts []fleet.Host) []fleet.Host { return withoutHost(hosts, id) })
}

// change makes a new list from a copy of the last.
func (h *Hosts) update(edit func([]fleet.Host) []fleet.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := edit(slices.Clone(h.history[len(h.history)-1].Hosts))
	h.history = append(h.history, fleet.HostList{AsOf: time.Now(), Hosts: sortHosts(hosts)})
}

func withoutHost(hosts []fleet.Host, id fleet.HostID) []fleet.Host {
	return slices.DeleteFunc(hosts, func(host fleet.Host) bool { return host.ID == id })
}

func sortHosts(hosts []fleet.Host) []fleet.Host {
	slices.SortFunc(hosts, func(a, b fleet.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

// List returns the list as callers see it: as of Lag ago.
func (h *Hosts) List() fleet.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	asOf := time.Now().Add(-h.lag)
	for len(h.history) > 1 && !h.history[1].AsOf.After(asOf) {
		h.history = h.history[1:]
	}
	return fleet.HostList{AsOf: asOf, Hosts: slices.Clone(h.history[0].Hosts)}
}

func (h *Hosts) commonFaults() commonFaults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return commonFaults{outage: h.faults.Outage, silent: h.faults.Silent, delay: h.faults.Delay}
}

func (h *Hosts) serveList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.List())
}

// servePut adds or replaces the host in the body.
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
