package poison

import (
	"crypto/sha256"
	"encoding/binary"
)

// RequestPart returns the part that stands for a whole request of a service, the same for all attempts
// at it and for its repeats. fields are what tells it from others, such as its caller and its path, in a
// fixed order. Callers choose all of this, so the hash is one for which they can't find a request that
// collides with another caller's.
func RequestPart(service string, fields []string, body []byte) Part {
	h := sha256.New()
	for _, field := range append([]string{service}, fields...) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		// Writes to a hash never fail.
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	return Part(binary.BigEndian.Uint64(h.Sum(nil)))
}
