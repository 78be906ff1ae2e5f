// Package etcd is a client of the platform's key-value service. It uses the JSON
// gateway of the etcd v3 protocol (POST /v3/kv/range, /v3/kv/txn, /v3/watch,
// /v3/lease/grant, /v3/lease/keepalive, /v3/lease/revoke).
package etcd

import (
	"errors"

	"chervilreach/core/fleet"
)

// Errors that callers test with errors.Is.
var (
	// ErrNotFound reports that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports that a key does not have the expected revision, so that
	// nothing was written.
	ErrConflict = errors.New("key changed since it was read")
	// ErrOutcomeUnknown reports that a write may or may not have taken effect, or may
	// still take effect.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable reports that a read failed or that a write was never sent.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrRejected reports that the service refused a request as invalid, so that it
	// had no effect.
	ErrRejected = errors.New("request rejected")
)

// Entry is a key with its value and the revision that last changed it.
type Entry struct {
	Key      string
	Value    []byte
	Revision fleet.Revision
}

// Put is one write in a transaction: it sets or deletes a key.
type Put struct {
	Key   string
	Value []byte
	// ExpectRevision is the revision that the key must have; 0 means that it must not exist.
	ExpectRevision fleet.Revision
	// Delete deletes the key; Value and Lease are ignored then.
	Delete bool
	// Lease is the lease to which the key is attached: the key is deleted when the
	// lease ends. 0 attaches it to none.
	Lease LeaseID
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Change is one change of a watched key. If Deleted is true, the key was deleted and
// Value is nil.
type Change struct {
	Entry
	Deleted bool
}
