package place

import "chervilreach/core/fleet"

// Owner returns the router responsible for proposing the placement of a model,
// or an empty ID if there are no routers. The order of routers does not matter.
// Routers with different host lists may disagree on the owner; this costs only a
// failed write, as the compare-and-swap ensures safety. The owner is chosen by
// rendezvous hashing (Thaler and Ravishankar, 1998).
func Owner(model fleet.ModelID, routers []fleet.ProcessID) fleet.ProcessID {
	var owner fleet.ProcessID
	var highest uint64
	for _, r := range routers {
		w := rendezvousWeight(string(model), string(r))
		if owner == "" || w > highest || (w == highest && r < owner) {
			owner, highest = r, w
		}
	}
	return owner
}

// WriteOutcome is the result of a compare-and-swap whose response was lost.
type WriteOutcome string

// The outcomes of writes. A pending write may still take effect; it is safe to
// retry it with the same expected revision and write ID.
const (
	WriteApplied    WriteOutcome = "applied"
	WriteSuperseded WriteOutcome = "superseded"
	WritePending    WriteOutcome = "pending"
)

// ResolveWrite determines the outcome of writing a proposal from the placement that was
// read back. A superseded proposal may have been in force for some time, but
// is not now and can't be later.
func ResolveWrite(proposed, read Placement) WriteOutcome {
	switch {
	case read.WriteID == proposed.WriteID:
		return WriteApplied
	case read.Generation >= proposed.Generation:
		return WriteSuperseded
	default:
		return WritePending
	}
}
