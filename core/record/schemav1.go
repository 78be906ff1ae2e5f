package record

import (
	"slices"
	"strings"
	"time"

	"chervilreach/core/fleet"
)

// Conversion of fields of schema version 1 to version 2.
const (
	// urgentThreshold is the urgency above which a kind counts as urgent in version 1.
	urgentThreshold = 5
	// urgencyUrgent and urgencyOrdinary are the urgencies that urgent and other kinds
	// get if the replaced record has none that agrees.
	urgencyUrgent   = 10
	urgencyOrdinary = 0
	// tailThreshold is the tail weight above which a deployment counts as one that
	// prefers "tail" in version 1.
	tailThreshold = 0.5
	// preferTailWeight and preferIdleWeight are the tail weights that preferTail and
	// preferIdle give if the replaced record has none that agrees.
	preferTailWeight = 0.8
	preferIdleWeight = 0.2
	// preferTail and preferIdle are the values of "prefer" in version 1.
	preferTail = "tail"
	preferIdle = "idle"
)

// memberV1 is the record of a member in schema version 1. It has only one key, and
// its rights are a list of model names. The upgrade keeps the other keys, the
// restrictions of rights to versions and adapters, the rights to services and the
// limit of requests in progress. A key that the member did not have replaces the
// first one. Of several rights to the same model only the first is kept.
type memberV1 struct {
	header
	KeyHash string   `json:"key-hash" required:"yes"`
	Models  []string `json:"models" required:"yes"`
}

// upgrade implements upgrader.
func (m *memberV1) upgrade(prev normalized) normalized {
	next := &member{header: m.header, KeyHashes: []string{m.KeyHash}}
	next.Schema = schemaNewest
	before, ok := prev.(*member)
	if !ok {
		before = &member{}
	}
	next.MaxRunning = before.MaxRunning
	if slices.Contains(before.KeyHashes, m.KeyHash) {
		next.KeyHashes = before.KeyHashes
	} else if len(before.KeyHashes) > 1 {
		next.KeyHashes = append(next.KeyHashes, before.KeyHashes[1:]...)
	}
	for _, name := range m.Models {
		kept := slices.IndexFunc(before.Rights, func(r right) bool { return r.Model == name })
		if kept < 0 {
			next.Rights = append(next.Rights, right{Model: name})
			continue
		}
		next.Rights = append(next.Rights, before.Rights[kept])
	}
	for _, r := range before.Rights {
		if r.Service != "" {
			next.Rights = append(next.Rights, r)
		}
	}
	return next
}

// modelV1 is the record of a base model in schema version 1. It has only one
// version of the model and one size for all adapters. The upgrade keeps the other
// versions, the fields that version 1 does not have, such as warm-floor and
// cached-on, and the sizes of the adapters that existed before.
type modelV1 struct {
	header
	Version    string            `json:"version" required:"yes"`
	Copies     int               `json:"copies" required:"yes"`
	SizeMiB    int64             `json:"size-mib" required:"yes"`
	Adapters   []fleet.AdapterID `json:"adapters,omitempty"`
	AdapterMiB int64             `json:"adapter-mib,omitempty"`
}

// upgrade implements upgrader.
func (m *modelV1) upgrade(prev normalized) normalized {
	next := &model{header: m.header}
	next.Schema = schemaNewest
	if before, ok := prev.(*model); ok {
		next.DefaultKind = before.DefaultKind
		next.Versions = slices.Clone(before.Versions)
	}
	i := slices.IndexFunc(next.Versions, func(v version) bool { return v.Version == m.Version })
	if i < 0 {
		i = len(next.Versions)
		next.Versions = append(next.Versions, version{Version: m.Version})
	}
	v := &next.Versions[i]
	v.Weights = sizeFromMiB(m.SizeMiB)
	v.WarmLimit = m.Copies
	before := v.Adapters
	v.Adapters = make(map[fleet.AdapterID]size, len(m.Adapters))
	for _, id := range m.Adapters {
		v.Adapters[id] = sizeFromMiB(m.AdapterMiB)
		if kept, ok := before[id]; ok {
			v.Adapters[id] = kept
		}
	}
	return next
}

// sizeFromMiB converts a number of MiB to a size. It returns -1, which
// version.check rejects, if the number is negative or the size exceeds maxSize.
func sizeFromMiB(n int64) size {
	if n < 0 || n > int64(maxSize)/int64(fleet.MiB) {
		return -1
	}
	return size(n * int64(fleet.MiB))
}

// kindV1 is the record of a kind of request in schema version 1. It has only the
// flag urgent instead of a number. The upgrade keeps the urgency of the replaced
// record if it agrees with the flag, that is, if it is above urgentThreshold exactly
// when the flag is set.
type kindV1 struct {
	header
	Urgent     bool  `json:"urgent" required:"yes"`
	PatienceMS int64 `json:"patience-ms" required:"yes"`
	Idempotent bool  `json:"idempotent" required:"yes"`
}

// upgrade implements upgrader.
func (k *kindV1) upgrade(prev normalized) normalized {
	next := &kind{header: k.header, Idempotent: k.Idempotent, Urgency: urgencyOrdinary}
	next.Schema = schemaNewest
	next.Patience = -1
	if k.PatienceMS >= 0 && k.PatienceMS <= maxPatience.Milliseconds() {
		next.Patience = duration(time.Duration(k.PatienceMS) * time.Millisecond)
	}
	if k.Urgent {
		next.Urgency = urgencyUrgent
	}
	if before, ok := prev.(*kind); ok && (before.Urgency > urgentThreshold) == k.Urgent {
		next.Urgency = before.Urgency
	}
	return next
}

// serviceV1 is the record of a plain service in schema version 1, which has the
// same fields as in the newest version.
type serviceV1 struct{ service }

// upgrade implements upgrader.
func (s *serviceV1) upgrade(normalized) normalized {
	next := s.service
	next.Schema = schemaNewest
	return &next
}

// deploymentV1 is the deployment record in schema version 1. It has "prefer", with
// the value "tail" or "idle", instead of the tail weight. The upgrade keeps the
// tail weight of the replaced record if it agrees with "prefer", that is, if it is
// above tailThreshold exactly when the value is "tail".
type deploymentV1 struct {
	header
	Prefer         string  `json:"prefer" required:"yes"`
	LoadsPerSecond float64 `json:"loads-per-second" required:"yes"`
	LoadsAtOnce    int     `json:"loads-at-once" required:"yes"`
}

// upgrade implements upgrader.
func (d *deploymentV1) upgrade(prev normalized) normalized {
	next := &deployment{header: d.header, LoadsPerSecond: d.LoadsPerSecond, LoadsAtOnce: d.LoadsAtOnce}
	next.Schema = schemaNewest
	before, kept := prev.(*deployment)
	if kept {
		next.DefaultKind = before.DefaultKind
	}
	switch d.Prefer {
	case preferTail:
		next.TailWeight = preferTailWeight
	case preferIdle:
		next.TailWeight = preferIdleWeight
	default:
		next.TailWeight = -1
		return next
	}
	if kept && (before.TailWeight > tailThreshold) == (d.Prefer == preferTail) {
		next.TailWeight = before.TailWeight
	}
	return next
}

// fieldAsWritten converts the JSON pointer of a field in the newest schema version
// to the one in the record's own version, so that problems name the field that the
// operator wrote.
func (r Raw) fieldAsWritten(field string) string {
	if r.Schema != schemaV1 {
		return field
	}
	parts := strings.Split(field, "/")
	if len(parts) < 2 {
		return field
	}
	switch r.Type {
	case TypeModel:
		return modelV1Field(parts)
	case TypeMember:
		return memberV1Field(parts)
	case TypeKind:
		if parts[1] == "patience" {
			return "/patience-ms"
		}
	case TypeDeployment:
		if parts[1] == "tail-weight" {
			return "/prefer"
		}
	}
	return field
}

// memberV1Field returns the pointer of the field in a memberV1; parts are those of
// the pointer in the newest version, split at "/".
func memberV1Field(parts []string) string {
	switch parts[1] {
	case "rights":
		return "/models"
	case "key-hashes":
		return "/key-hash"
	default:
		return "/" + parts[1]
	}
}

// modelV1Field returns the pointer of the field in a modelV1; parts are those of
// the pointer in the newest version, split at "/".
func modelV1Field(parts []string) string {
	if len(parts) < 4 || parts[1] != "versions" {
		return strings.Join(parts, "/")
	}
	switch parts[3] {
	case "weights":
		return "/size-mib"
	case "warm-limit", "warm-floor":
		return "/copies"
	case "adapters":
		return "/adapter-mib"
	default:
		return "/" + parts[3]
	}
}
