package fakes

import (
	"maps"
	"net/http"
	"sort"
	"sync"
	"time"

	"chervilreach/io/etcd"
)

// KVOptions configure a KV. The zero value selects the defaults.
type KVOptions struct {
	// ProgressInterval is the interval between progress notifications on watches; one
	// second if zero.
	ProgressInterval time.Duration
	// MaxHistory is the number of changes that are kept for watches that start in the past;
	// 10,000 if zero.
	MaxHistory int
}

// KVFaults are the faults that a KV injects.
type KVFaults struct {
	// Outage answers every call with status 503 and closes all watches.
	Outage bool `json:"outage,omitempty"`
	// Refuse stops listening and closes all connections.
	Refuse bool `json:"refuse,omitempty"`
	// Silent accepts calls without executing or answering them, and stalls all watches.
	// Calls and watches that it has affected stay stalled after the fault has been cleared;
	// new ones work.
	Silent bool `json:"silent,omitempty"`
	// LoseWriteAnswers is the number of writes that will be applied, but whose answers will
	// be lost: the connection is closed instead.
	LoseWriteAnswers int `json:"lose-writes,omitempty"`
	// Delay is added before every call is handled.
	Delay time.Duration `json:"delay-ns,omitempty"`
	// StaleWatch stops sending changes on watches, which still send progress notifications
	// with the old revision.
	StaleWatch bool `json:"stale-watch,omitempty"`
	// SilentWatch stops sending anything on watches. Watches that it has affected stay
	// stalled after the fault has been cleared.
	SilentWatch bool `json:"silent-watch,omitempty"`
	// StaleReads answers reads with the contents at the time when the fault was set.
	StaleReads bool `json:"stale-reads,omitempty"`
}

// kvItem is a key with its value and revisions.
type kvItem = etcd.KeyValue

// kvChange is a change with its revision.
type kvChange struct {
	rev   int64
	event etcd.WatchEvent
}

// kvLease is a lease. timer removes it, with its keys, when it expires.
type kvLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// KV is a stand-in for the platform's key-value service, with the JSON interface of etcd.
type KV struct {
	*server
	opts KVOptions

	mu sync.Mutex
	// rev is the revision of the last change.
	rev   int64
	items map[string]kvItem
	// staleItems and staleRev are the contents and the revision that reads return while the
	// fault StaleReads is set.
	staleItems map[string]kvItem
	staleRev   int64
	history    []kvChange
	// compactedRev is the revision of the last change that was removed from history.
	compactedRev int64
	leases       map[int64]*kvLease
	nextLeaseID  int64
	// changed is closed and replaced when a key or the faults change.
	changed chan struct{}
	faults  KVFaults
	calls   etcd.CallCounts
	// lastSilentWatch is the number of the last stalled watch, as counted by calls.Watch.
	// All watches up to it are stalled.
	lastSilentWatch int64
}

// NewKV returns an empty key-value service that does not listen until Start or StartIn.
func NewKV(opts KVOptions) *KV {
	if opts.ProgressInterval <= 0 {
		opts.ProgressInterval = time.Second
	}
	if opts.MaxHistory <= 0 {
		opts.MaxHistory = 10_000
	}
	kv := &KV{
		opts:    opts,
		rev:     1,
		items:   make(map[string]kvItem),
		leases:  make(map[int64]*kvLease),
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	kv.server = newServer(mux)
	for path, serve := range map[string]http.HandlerFunc{
		"/v3/kv/range":        kv.serveRange,
		"/v3/kv/txn":          kv.serveTxn,
		"/v3/lease/grant":     kv.serveGrant,
		"/v3/lease/keepalive": kv.serveKeepAlive,
		"/v3/lease/revoke":    kv.serveRevoke,
		"/v3/watch":           kv.serveWatch,
	} {
		mux.HandleFunc("POST "+path, kv.withFaults(kv.commonFaults, serve))
	}
	handleControl(mux, kv.Report, kv.SetFaults)
	return kv
}

// SetFaults replaces all faults.
func (kv *KV) SetFaults(faults KVFaults) {
	kv.mu.Lock()
	if faults.StaleReads && !kv.faults.StaleReads {
		kv.staleItems, kv.staleRev = maps.Clone(kv.items), kv.rev
	}
	if faults.Silent || faults.SilentWatch {
		kv.lastSilentWatch = kv.calls.Watch
	}
	wasRefusing := kv.faults.Refuse
	kv.faults = faults
	kv.notifyLocked()
	kv.mu.Unlock()
	switch {
	case faults.Refuse && !wasRefusing:
		kv.Refuse()
	case !faults.Refuse && wasRefusing:
		_ = kv.Listen()
	}
}

// KVReport is the response body of GET /control.
type KVReport struct {
	Faults   KVFaults        `json:"faults"`
	Calls    etcd.CallCounts `json:"calls"`
	Revision int64           `json:"revision"`
	KeyCount int             `json:"keys"`
}

// Report returns the faults and counters.
func (kv *KV) Report() KVReport {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return KVReport{Faults: kv.faults, Calls: kv.calls, Revision: kv.rev, KeyCount: len(kv.items)}
}

// CallCounts returns how many calls have been received, by kind. A watch counts as one call.
func (kv *KV) CallCounts() etcd.CallCounts {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.calls
}

// commonFaults returns the current faults that apply to every call.
func (kv *KV) commonFaults() commonFaults {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return commonFaults{outage: kv.faults.Outage, silent: kv.faults.Silent, delay: kv.faults.Delay}
}

// header returns a response header with the current revision. The caller holds kv.mu.
func (kv *KV) header() etcd.Header {
	return etcd.Header{Revision: kv.rev}
}

func (kv *KV) serveRange(w http.ResponseWriter, r *http.Request) {
	var req etcd.RangeRequest
	if !readJSON(w, r, &req) {
		return
	}
	writeJSON(w, http.StatusOK, kv.readRange(req))
}

// readRange returns the items of a range in the order of their keys. While the fault
// StaleReads is set, the items are those at the time when it was set.
func (kv *KV) readRange(req etcd.RangeRequest) etcd.RangeResponse {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.calls.Range++
	items, rev := kv.items, kv.rev
	if kv.faults.StaleReads {
		items, rev = kv.staleItems, kv.staleRev
	}
	resp := etcd.RangeResponse{Header: etcd.Header{Revision: rev}}
	for key, item := range items {
		if inRange(key, req.Key, req.RangeEnd) {
			resp.KVs = append(resp.KVs, item)
		}
	}
	sort.Slice(resp.KVs, func(i, j int) bool {
		return string(resp.KVs[i].Key) < string(resp.KVs[j].Key)
	})
	resp.Count = int64(len(resp.KVs))
	return resp
}

func (kv *KV) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req etcd.TxnRequest
	if !readJSON(w, r, &req) {
		return
	}
	resp, lost, err := kv.apply(req)
	if lost {
		abortHandler()
	}
	if err != nil {
		writeError(w, http.StatusNotFound, "not-found", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, resp)
}

// apply executes a transaction. dropAnswer reports whether the answer must be dropped because of
// the fault LoseWriteAnswers. A put with an unknown lease fails with errLeaseNotFound.
func (kv *KV) apply(req etcd.TxnRequest) (resp etcd.TxnResponse, dropAnswer bool, err error) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.calls.Txn++
	for _, cond := range req.Compare {
		if kv.items[string(cond.Key)].ModRevision != cond.ModRevision {
			return etcd.TxnResponse{Header: kv.header()}, false, nil
		}
	}
	for _, op := range req.Success {
		if op.Put != nil && op.Put.Lease != 0 && kv.leases[op.Put.Lease] == nil {
			return etcd.TxnResponse{}, false, errLeaseNotFound
		}
	}
	kv.commitLocked(req.Success)
	if kv.faults.LoseWriteAnswers > 0 {
		kv.faults.LoseWriteAnswers--
		dropAnswer = true
	}
	return etcd.TxnResponse{Header: kv.header(), Succeeded: true}, dropAnswer, nil
}

// commitLocked applies all operations as one new revision, and notifies the watches. It
// does nothing if no key changes.
func (kv *KV) commitLocked(ops []etcd.RequestOp) {
	rev := kv.rev + 1
	lengthBefore := len(kv.history)
	for _, op := range ops {
		switch {
		case op.Put != nil:
			kv.putLocked(rev, op.Put)
		case op.Delete != nil:
			kv.deleteLocked(rev, string(op.Delete.Key))
		}
	}
	if len(kv.history) == lengthBefore {
		return
	}
	kv.rev = rev
	for len(kv.history) > kv.opts.MaxHistory {
		kv.compactedRev = kv.history[0].rev
		kv.history = kv.history[1:]
	}
	kv.notifyLocked()
}

// putLocked creates or replaces a key.
func (kv *KV) putLocked(rev int64, put *etcd.PutRequest) {
	item := kvItem{Key: put.Key, Value: put.Value, CreateRevision: rev, ModRevision: rev, Version: 1, Lease: put.Lease}
	if old, ok := kv.items[string(put.Key)]; ok {
		item.CreateRevision, item.Version = old.CreateRevision, old.Version+1
	}
	kv.items[string(put.Key)] = item
	kv.history = append(kv.history, kvChange{rev: rev, event: etcd.WatchEvent{KV: item}})
}

// deleteLocked deletes a key if it exists.
func (kv *KV) deleteLocked(rev int64, key string) {
	if _, ok := kv.items[key]; !ok {
		return
	}
	delete(kv.items, key)
	deleted := kvItem{Key: []byte(key), ModRevision: rev}
	kv.history = append(kv.history, kvChange{rev: rev, event: etcd.WatchEvent{Type: etcd.EventDelete, KV: deleted}})
}

// notifyLocked wakes all watches, so that they check for changes and faults.
func (kv *KV) notifyLocked() {
	close(kv.changed)
	kv.changed = make(chan struct{})
}

// inRange reports whether key equals from, if end is empty, or is in [from, end). An end of
// one zero byte means no upper bound, as in etcd.
func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	toEnd := len(end) == 1 && end[0] == 0
	return key >= string(from) && (toEnd || key < string(end))
}
