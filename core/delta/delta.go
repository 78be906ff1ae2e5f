// Package delta describes a version of a document by its differences from the version before, so
// that processes which have the older one need not receive the whole document.
package delta

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// recordEnd ends the records of a document, the smallest parts that a delta copies.
const recordEnd = '}'

// ErrMismatch means that a delta was made for another document, or is malformed.
var ErrMismatch = errors.New("delta does not fit the document")

// Edit appends a range of the older document to the newer one, and then the bytes of Insert.
type Edit struct {
	Offset, Length int
	Insert         []byte
}

// Delta turns one version of a document into a newer one.
type Delta struct {
	// From and To are the versions.
	From, To int64
	Edits    []Edit
	// Sum is the hash of the newer document.
	Sum uint64
}

// Size returns the approximate number of bytes of the delta when encoded.
func (d Delta) Size() int {
	const editOverhead = 10
	n := 0
	for _, e := range d.Edits {
		n += editOverhead + len(e.Insert)
	}
	return n
}

// Diff returns the delta between two versions of a document. It keeps no reference to them.
func Diff(from, to int64, older, newer []byte) Delta {
	d := Delta{From: from, To: to, Sum: xxhash.Sum64(newer)}
	e := editor{edits: make([]Edit, 0, 2)}
	var index map[uint64][]span
	next, oldRest := 0, older
	for rest := newer; len(rest) > 0; {
		rec := firstRecord(rest)
		rest = rest[len(rec):]
		if bytes.HasPrefix(oldRest, rec) {
			e.copy(next, len(rec))
		} else {
			if index == nil {
				index = indexRecords(older)
			}
			at, ok := find(index, older, rec, next)
			if !ok {
				e.insert(rec)
				continue
			}
			next = at
			e.copy(next, len(rec))
		}
		next += len(rec)
		oldRest = older[next:]
	}
	d.Edits = e.edits
	return d
}

// Apply returns the newer document. Its errors wrap ErrMismatch.
func (d Delta) Apply(older []byte) ([]byte, error) {
	size := 0
	for _, e := range d.Edits {
		if e.Offset < 0 || e.Length < 0 || e.Offset > len(older) || e.Length > len(older)-e.Offset {
			return nil, fmt.Errorf("range %d+%d of %d bytes: %w", e.Offset, e.Length, len(older), ErrMismatch)
		}
		size += e.Length + len(e.Insert)
	}
	newer := make([]byte, 0, size)
	for _, e := range d.Edits {
		newer = append(newer, older[e.Offset:e.Offset+e.Length]...)
		newer = append(newer, e.Insert...)
	}
	if xxhash.Sum64(newer) != d.Sum {
		return nil, fmt.Errorf("hash differs: %w", ErrMismatch)
	}
	return newer, nil
}

// span is a range of a document.
type span struct{ start, end int }

// editor collects edits and merges adjacent ones.
type editor struct{ edits []Edit }

func (e *editor) copy(offset, length int) {
	if n := len(e.edits); n > 0 {
		if last := &e.edits[n-1]; len(last.Insert) == 0 && last.Offset+last.Length == offset {
			last.Length += length
			return
		}
	}
	e.edits = append(e.edits, Edit{Offset: offset, Length: length})
}

func (e *editor) insert(rec []byte) {
	if len(e.edits) == 0 {
		e.edits = append(e.edits, Edit{})
	}
	last := &e.edits[len(e.edits)-1]
	last.Insert = append(last.Insert, rec...)
}

// firstRecord returns the bytes up to and including the first recordEnd.
func firstRecord(doc []byte) []byte {
	if i := bytes.IndexByte(doc, recordEnd); i >= 0 {
		return doc[:i+1]
	}
	return doc
}

// indexRecords returns the places of all records by their hash.
func indexRecords(doc []byte) map[uint64][]span {
	index := make(map[uint64][]span)
	for start := 0; start < len(doc); {
		rec := firstRecord(doc[start:])
		sum := xxhash.Sum64(rec)
		index[sum] = append(index[sum], span{start, start + len(rec)})
		start += len(rec)
	}
	return index
}

// find returns the place of a record in a document: the first one from the offset after on, or else
// the first one.
func find(index map[uint64][]span, doc, rec []byte, after int) (int, bool) {
	found := -1
	for _, s := range index[xxhash.Sum64(rec)] {
		if !bytes.Equal(doc[s.start:s.end], rec) {
			continue
		}
		if s.start >= after {
			return s.start, true
		}
		if found < 0 {
			found = s.start
		}
	}
	return found, found >= 0
}
