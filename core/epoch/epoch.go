// Package epoch orders the revisions of a store that may come back from an older copy of itself, and
// then gives revisions out again. A store counts such returns as its era.
package epoch

import (
	"cmp"
	"strconv"
)

// tokenRevisionBits is the number of bits of a Token that hold the revision. The eras up to 8,191 fit into the 53 bits
// that a decoder of JSON with floating-point numbers keeps.
const tokenRevisionBits = 40

// Revision is a revision of a store in one of its eras. Any revision of a later era is later than all of an
// earlier one. The zero value is before all others and stands for none.
type Revision struct {
	era, number int64
}

// At returns a revision in an era. A store without eras has era 0.
func At(era, number int64) Revision { return Revision{era, number} }

// Compare returns -1 if r is earlier than other, 1 if it is later, and 0 if they are the same.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.number, other.number))
}

// After reports whether r is later than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r stands for no revision.
func (r Revision) IsZero() bool { return r == Revision{} }

// Era returns the era.
func (r Revision) Era() int64 { return r.era }

// Wire returns the era and the number that the store gave the revision in it, for messages.
func (r Revision) Wire() (era, number int64) { return r.era, r.number }

// Previous returns the revision before r in its era.
func (r Revision) Previous() Revision { return Revision{r.era, r.number - 1} }

// InEra returns the revision with the number of r in another era. It is the same write only if the copy
// from which the store came back has it.
func (r Revision) InEra(era int64) Revision { return Revision{era, r.number} }

// Token returns an integer that is higher for later revisions, and in era 0 the number of the revision.
func (r Revision) Token() int64 { return r.era<<tokenRevisionBits + r.number }

// String returns the revision as ERA/NUMBER.
func (r Revision) String() string {
	return strconv.FormatInt(r.era, 10) + "/" + strconv.FormatInt(r.number, 10)
}

// MarshalText implements encoding.TextMarshaler, for logs.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Latest returns the later one of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
