// Package accept distributes the configuration. It validates the records that operators
// write to the key-value service, proposes the valid ones as a new accepted revision,
// follows the accepted configuration in the service or through peers, and provides it to
// the rest of the process. The accepted revision that a process applies never decreases.
//
// The service holds three values for each record: the raw record as written by an
// operator, the accepted record that is in effect, and a status. A head value holds the
// current accepted revision. Every proposal replaces the head by compare-and-swap, so
// the accepted revisions form a single sequence however many processes propose.
package accept

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/etcd"
)

// Prefixes of keys in the key-value service. The type and the name of the record follow,
// as in "/chervilreach/raw/model/notice".
const (
	PrefixRaw      = "/chervilreach/raw/"
	PrefixAccepted = "/chervilreach/accepted/"
	PrefixStatus   = "/chervilreach/status/"
	// headSuffix follows PrefixRaw or PrefixAccepted in the key of a head. It can't be
	// the key of a record, because those have a type and a name.
	headSuffix = "head"
)

// KV contains the operations of the key-value service that this package uses.
// *etcd.Client implements it.
type KV interface {
	Get(ctx context.Context, key string) (etcd.Entry, error)
	List(ctx context.Context, prefix string) ([]etcd.Entry, fleet.Revision, error)
	Write(ctx context.Context, puts []etcd.Put) (fleet.Revision, error)
	Watch(ctx context.Context, prefix string, from fleet.Revision, fn func([]etcd.Change)) error
}

// Head is the JSON value of AcceptedHeadKey. It identifies the current accepted
// revision.
type Head struct {
	Revision fleet.Revision `json:"revision"`
	// Previous is the accepted revision that the proposal was based on.
	Previous fleet.Revision `json:"previous"`
	// WriteID is the random ID of the transaction that wrote the head. A proposer that
	// did not get an answer finds out by it whether its transaction was applied.
	WriteID string `json:"write-id"`
	// Digest is the digest of the whole accepted configuration; see record.State.Digest.
	Digest string `json:"digest"`
}

// RawKey returns the key of the raw record.
func RawKey(k record.Key) string { return PrefixRaw + k.Path() }

// RawHeadKey returns the key of the RawHead. Each write of raw records also changes it,
// so that reading this one value shows whether there are new ones.
func RawHeadKey() string { return PrefixRaw + headSuffix }

// AcceptedKey returns the key of the accepted record.
func AcceptedKey(k record.Key) string { return PrefixAccepted + k.Path() }

// AcceptedHeadKey returns the key of the Head.
func AcceptedHeadKey() string { return PrefixAccepted + headSuffix }

// StatusKey returns the key of the status of the record.
func StatusKey(k record.Key) string { return PrefixStatus + k.Path() }

// RecordKey returns the type and the name of the record that a key with the given prefix
// belongs to. It returns false if the key does not have the prefix or is not the key of
// a record.
func RecordKey(prefix, key string) (record.Key, bool) {
	t, name, ok := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	return record.Key{Type: record.Type(t), Name: name}, ok && strings.HasPrefix(key, prefix)
}

// DecodeStatus decodes the status of a record from JSON.
func DecodeStatus(value []byte) (record.Status, error) {
	var s record.Status
	if err := json.Unmarshal(value, &s); err != nil {
		return record.Status{}, fmt.Errorf("read status: %w", err)
	}
	return s, nil
}

// DecodeState returns the accepted configuration that the entries under PrefixAccepted
// contain. Without a head among them it is the empty state.
func DecodeState(entries []etcd.Entry) (*record.State, error) {
	d, err := decodeDelta(nil, entries)
	if err != nil {
		return nil, err
	}
	var empty *record.State
	return empty.Apply(d)
}

// decodeDelta returns the delta from the state to the accepted configuration that the
// entries contain. The state may be nil. Without a head among the entries the delta has
// the revision of the state.
func decodeDelta(state *record.State, entries []etcd.Entry) (record.Delta, error) {
	d := record.Delta{From: state.Revision(), Digest: state.Digest()}
	for _, e := range entries {
		if e.Key == AcceptedHeadKey() {
			head, err := decodeHead(e)
			if err != nil {
				return d, err
			}
			d.Revision, d.Digest = head.Revision, head.Digest
			continue
		}
		var o record.Object
		if err := json.Unmarshal(e.Value, &o); err != nil {
			return d, fmt.Errorf("read %s: %w", e.Key, err)
		}
		if o.AcceptedRevision > state.Revision() {
			d.Objects = append(d.Objects, o)
		}
	}
	return d, nil
}

// decodeHead decodes the Head from the entry of AcceptedHeadKey.
func decodeHead(e etcd.Entry) (Head, error) {
	var h Head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return Head{}, fmt.Errorf("read %s: %w", e.Key, err)
	}
	return h, nil
}
