package delta

// maxDeltas is the number of versions for which a History has deltas.
const maxDeltas = 32

// History keeps the latest version of a document and the deltas from the versions before. It is
// not safe for concurrent use.
type History struct {
	version  int64
	document []byte
	// deltas lead to the latest version, the oldest first.
	deltas []Delta
}

// Latest returns the latest version; 0 and nil if there is none.
func (h *History) Latest() (int64, []byte) { return h.version, h.document }

// Add sets a newer version. Older ones and the same are ignored. The document must not be
// changed afterwards.
func (h *History) Add(version int64, document []byte) {
	if version <= h.version {
		return
	}
	if h.version > 0 {
		h.deltas = append(h.deltas, Diff(h.version, version, h.document, document))
		h.deltas = h.deltas[max(len(h.deltas)-maxDeltas, 0):]
	}
	h.version, h.document = version, document
}

// Since returns the deltas that lead from a version to the latest one. It returns false if there are
// none, or if the whole document is smaller.
func (h *History) Since(version int64) ([]Delta, bool) {
	for i, d := range h.deltas {
		if d.From != version {
			continue
		}
		list := h.deltas[i:]
		size := 0
		for _, d := range list {
			size += d.Size()
		}
		return list, size < len(h.document)
	}
	return nil, false
}
