package fakes

import (
	"encoding/json"
	"errors"
	"net/http"
	"sort"
	"time"

	"chervilreach/io/etcd"
)

// errLeaseNotFound has the error text of etcd.
var errLeaseNotFound = errors.New("etcdserver: requested lease not found")

// serveGrant grants a lease with the requested TTL.
func (kv *KV) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req etcd.LeaseGrantRequest
	if !readJSON(w, r, &req) {
		return
	}
	kv.mu.Lock()
	kv.calls.Grant++
	kv.nextLeaseID++
	id := kv.nextLeaseID
	ttl := time.Duration(req.TTL) * time.Second
	kv.leases[id] = &kvLease{
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { kv.expire(id) }),
	}
	resp := etcd.LeaseResponse{Header: kv.header(), ID: id, TTL: req.TTL}
	kv.mu.Unlock()
	writeJSON(w, http.StatusOK, resp)
}

// serveKeepAlive renews a lease. The TTL of the answer is 0 if the lease does not exist.
func (kv *KV) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req etcd.LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	kv.mu.Lock()
	kv.calls.KeepAlive++
	resp := etcd.LeaseResponse{Header: kv.header(), ID: req.ID}
	if lease := kv.leases[req.ID]; lease != nil {
		lease.timer.Reset(lease.ttl)
		resp.TTL = int64(lease.ttl / time.Second)
	}
	kv.mu.Unlock()
	writeJSON(w, http.StatusOK, etcd.KeepAliveResponse{Result: resp})
}

// serveRevoke removes a lease with its keys. It also succeeds if the lease does not exist.
func (kv *KV) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var req etcd.LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	kv.mu.Lock()
	kv.calls.Revoke++
	kv.removeLeaseLocked(req.ID)
	resp := etcd.LeaseResponse{Header: kv.header()}
	kv.mu.Unlock()
	writeJSON(w, http.StatusOK, resp)
}

// expire removes a lease whose TTL has passed without a renewal.
func (kv *KV) expire(id int64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.removeLeaseLocked(id)
}

// removeLeaseLocked removes a lease and deletes its keys in one revision.
func (kv *KV) removeLeaseLocked(id int64) {
	lease := kv.leases[id]
	if lease == nil {
		return
	}
	lease.timer.Stop()
	delete(kv.leases, id)
	var ops []etcd.RequestOp
	for _, item := range kv.items {
		if item.Lease == id {
			ops = append(ops, etcd.RequestOp{Delete: &etcd.DeleteRequest{Key: item.Key}})
		}
	}
	sort.Slice(ops, func(i, j int) bool { return string(ops[i].Delete.Key) < string(ops[j].Delete.Key) })
	kv.commitLocked(ops)
}

// serveWatch streams the changes of a range until the caller disconnects. It cancels the
// watch if the start revision has been compacted.
func (kv *KV) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req etcd.WatchRequest
	if !readJSON(w, r, &req) {
		return
	}
	kv.mu.Lock()
	kv.calls.Watch++
	watch := kv.calls.Watch
	if kv.faults.SilentWatch {
		kv.lastSilentWatch = watch
	}
	nextRev := req.Create.StartRevision
	if nextRev <= 0 {
		nextRev = kv.rev + 1
	}
	compacted := kv.compactedRev
	created := etcd.WatchResponse{Header: kv.header(), Created: true}
	kv.mu.Unlock()

	out := watchWriter{enc: json.NewEncoder(w), rc: http.NewResponseController(w)}
	w.Header().Set("Content-Type", "application/json")
	if nextRev <= compacted {
		out.send(etcd.WatchResponse{Canceled: true, CompactRevision: compacted})
		return
	}
	out.send(created)
	kv.streamChanges(r, &out, req.Create, watch, nextRev)
}

// streamChanges sends changes from revision nextRev on, and progress notifications. watch
// is the number of the watch as counted by calls.Watch, with which lastSilentWatch is
// compared.
func (kv *KV) streamChanges(r *http.Request, out *watchWriter, create etcd.WatchCreateRequest, watch, nextRev int64) {
	progress := time.NewTicker(kv.opts.ProgressInterval)
	defer progress.Stop()
	for {
		kv.mu.Lock()
		faults, changed, respHeader, silent := kv.faults, kv.changed, kv.header(), watch <= kv.lastSilentWatch
		var events []etcd.WatchEvent
		if !faults.StaleWatch && !silent {
			events = kv.changesLocked(create, nextRev)
			nextRev = kv.rev + 1
		}
		kv.mu.Unlock()
		if silent {
			kv.hang(r)
		}
		if faults.Outage {
			abortHandler()
		}
		if len(events) > 0 {
			out.send(etcd.WatchResponse{Header: respHeader, Events: events})
		}
		select {
		case <-changed:
		case <-progress.C:
			out.send(etcd.WatchResponse{Header: etcd.Header{Revision: nextRev - 1}})
		case <-r.Context().Done():
			return
		case <-kv.quit.Done():
			abortHandler()
		}
	}
}

// changesLocked returns the changes of the watched range from revision fromRev on.
func (kv *KV) changesLocked(create etcd.WatchCreateRequest, fromRev int64) []etcd.WatchEvent {
	start := sort.Search(len(kv.history), func(i int) bool { return kv.history[i].rev >= fromRev })
	var events []etcd.WatchEvent
	for _, change := range kv.history[start:] {
		if inRange(string(change.event.KV.Key), create.Key, create.RangeEnd) {
			events = append(events, change.event)
		}
	}
	return events
}

// watchWriter writes the messages of a watch and flushes after each.
type watchWriter struct {
	enc *json.Encoder
	rc  *http.ResponseController
}

func (out *watchWriter) send(resp etcd.WatchResponse) {
	if err := out.enc.Encode(etcd.WatchMessage{Result: resp}); err == nil {
		_ = out.rc.Flush()
	}
}
