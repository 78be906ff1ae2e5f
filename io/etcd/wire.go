package etcd

import (
	"encoding/json"

	"chervilreach/core/fleet"
)

// The types below are the messages of etcd's JSON gateway that the client uses, with
// the fields that it needs. In JSON, keys and values are base64 and 64-bit integers
// are strings.

// Header is contained in every answer. Revision is the current revision of the service.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is a key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or all keys in [Key, RangeEnd) if RangeEnd is set.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the answer to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is a condition of a transaction: the Target of the key, here its
// modification revision, must have the Result, here equality, against ModRevision.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Values of Compare.Target and Compare.Result.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// PutRequest sets a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a transaction. The operations in Success are applied if all
// conditions in Compare hold.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse is the answer to a TxnRequest. Succeeded reports whether all conditions
// held.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseGrantRequest creates a lease. TTL is in seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseRequest identifies a lease to keep alive or to revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse is the answer to a request on a lease. TTL is in seconds, and 0 if the
// lease does not exist.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchCreateRequest starts a watch on the keys in [Key, RangeEnd) with the changes of
// StartRevision; 0 starts with the next change. ProgressNotify requests a message at
// intervals while there are no changes.
type WatchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest is the only message that the client sends on a watch stream.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchEvent is one change. Type is EventDelete, or empty for a put.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// EventDelete is the Type of events that delete a key.
const EventDelete = "DELETE"

// WatchResponse is one message of the service on a watch stream. Created is set in the
// first one, and Canceled in the last one if the service ends the watch. If it ends
// because StartRevision has been compacted, CompactRevision is set.
type WatchResponse struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchMessage is the JSON envelope of a WatchResponse. Error is set if the service
// refuses the watch.
type WatchMessage struct {
	Result WatchResponse   `json:"result"`
	Error  json.RawMessage `json:"error,omitempty"`
}

// PrefixEnd returns the RangeEnd of the range that contains all keys under a prefix:
// the lowest key that sorts after all of them, or a zero byte, which means no end.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// entry returns kv as an Entry.
func (kv KeyValue) entry() Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, Revision: fleet.Revision(kv.ModRevision)}
}
