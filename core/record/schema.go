package record

import (
	"encoding/json"
	"reflect"

	"chervilreach/core/fleet"
)

// The supported schema versions. Accepted objects are stored in the newest one.
const (
	schemaV1     = 1
	schemaNewest = 2
)

// header contains the fields that all records have. The struct tag "required" here
// and below marks the fields that checkTypes reports if they are missing.
type header struct {
	Schema  int    `json:"schema" required:"yes"`
	Record  Type   `json:"record" required:"yes"`
	Name    string `json:"name" required:"yes"`
	Deleted bool   `json:"deleted,omitempty"`
}

// recordHeader returns h. As header is embedded in the types of records, it
// implements the method of normalized for them.
func (h *header) recordHeader() *header { return h }

// normalized is a decoded record in the newest schema version.
type normalized interface {
	recordHeader() *header
	// check returns the problems of the record's values that can be found without
	// the other records.
	check() []Problem
}

// upgrader is a decoded record in an older schema version.
type upgrader interface {
	// upgrade converts the record to the newest version. Fields that the older
	// version does not have are copied from prev, the accepted or stored record
	// that this one replaces; prev may be nil.
	upgrade(prev normalized) normalized
}

// member is the record of a member.
type member struct {
	header
	KeyHashes  []string `json:"key-hashes" required:"yes"`
	Rights     []right  `json:"rights" required:"yes"`
	MaxRunning int      `json:"running,omitempty"`
}

// right is an entry of a member record's "rights". It has the same fields as Right,
// to which it is converted.
type right struct {
	Model    string            `json:"model,omitempty"`
	Versions []string          `json:"versions,omitempty"`
	Adapters []fleet.AdapterID `json:"adapters,omitempty"`
	Service  fleet.ServiceID   `json:"service,omitempty"`
}

// model is the record of a base model with all its versions.
type model struct {
	header
	DefaultKind fleet.KindID `json:"default-kind,omitempty"`
	Versions    []version    `json:"versions" required:"yes"`
}

// version is an entry of a model record's "versions".
type version struct {
	Version     string                   `json:"version" required:"yes"`
	Weights     size                     `json:"weights" required:"yes"`
	KVCache     size                     `json:"kv-cache,omitempty"`
	Adapters    map[fleet.AdapterID]size `json:"adapters,omitempty"`
	CachedOn    []fleet.HostID           `json:"cached-on,omitempty"`
	WarmLimit   int                      `json:"warm-limit" required:"yes"`
	WarmFloor   int                      `json:"warm-floor,omitempty"`
	ChecksFence bool                     `json:"fenced,omitempty"`
}

// kind is the record of a kind of request.
type kind struct {
	header
	Urgency    int      `json:"urgency"`
	Patience   duration `json:"patience" required:"yes"`
	Idempotent bool     `json:"idempotent" required:"yes"`
}

// service is the record of a plain service.
type service struct {
	header
	Endpoints []fleet.EndpointID `json:"endpoints" required:"yes"`
	Kind      fleet.KindID       `json:"kind" required:"yes"`
}

// deployment is the record of the settings that apply to all models.
type deployment struct {
	header
	TailWeight     float64 `json:"tail-weight" required:"yes"`
	LoadsPerSecond float64 `json:"loads-per-second" required:"yes"`
	LoadsAtOnce    int     `json:"loads-at-once" required:"yes"`
	// DefaultKind is the kind of requests for models that have no DefaultKind
	// themselves.
	DefaultKind fleet.KindID `json:"default-kind,omitempty"`
}

// deletion is a record of any type that requests the deletion of the accepted record of
// the same type and name.
type deletion struct{ header }

// check implements normalized.
func (*deletion) check() []Problem { return nil }

// newNormalized returns an empty record of the given type in the newest schema
// version, or nil if the type is unknown.
func newNormalized(t Type) normalized {
	switch t {
	case TypeMember:
		return &member{}
	case TypeModel:
		return &model{}
	case TypeKind:
		return &kind{}
	case TypeService:
		return &service{}
	case TypeDeployment:
		return &deployment{}
	}
	return nil
}

// newV1Record returns an empty record of the given type in schema version 1, or
// nil if the type is unknown.
func newV1Record(t Type) upgrader {
	switch t {
	case TypeMember:
		return &memberV1{}
	case TypeModel:
		return &modelV1{}
	case TypeKind:
		return &kindV1{}
	case TypeService:
		return &serviceV1{}
	case TypeDeployment:
		return &deploymentV1{}
	}
	return nil
}

// decode decodes and checks the record without regard to other records. The
// result is a normalized, or an upgrader if the record has an older schema version.
// It is nil if the header, the fields or their types are invalid.
func (r Raw) decode() (any, []Problem) {
	if p, ok := r.checkHeader(); !ok {
		return nil, []Problem{p}
	}
	var out any
	switch {
	case r.Deleted:
		out = &deletion{}
	case r.Schema == schemaV1:
		out = newV1Record(r.Type)
	default:
		out = newNormalized(r.Type)
	}
	if problems := checkTypes(&r.root, reflect.TypeOf(out).Elem()); len(problems) > 0 {
		return nil, problems
	}
	if err := json.Unmarshal(standardJSON(r.root), out); err != nil {
		return nil, []Problem{{Code: CodeSyntax, Cause: err.Error()}}
	}
	return out, checkRecord(out, r.Name)
}

// checkHeader reports whether the schema version and the type of the record are
// supported. If not, it returns the problem.
func (r Raw) checkHeader() (Problem, bool) {
	switch {
	case r.root.Find("/schema") == nil:
		return Problem{Code: CodeMissingField, Field: "/schema", Cause: "is missing", Expected: "1 or 2"}, false
	case r.Schema > schemaNewest:
		return Problem{
			Code: CodeUnknownSchema, Field: "/schema", Cause: "is a newer version than this program knows", Expected: "1 or 2, or a newer program",
		}, false
	case r.Schema < schemaV1:
		return Problem{Code: CodeUnknownSchema, Field: "/schema", Cause: "is no schema version", Expected: "1 or 2"}, false
	case newNormalized(r.Type) == nil:
		return badValue("/record", "is unknown", "one of member, model, kind, service, deployment"), false
	}
	return Problem{}, true
}

// checkRecord returns the problems of the name and the values of a decoded record.
// A record in an older schema version is checked after an upgrade.
func checkRecord(decoded any, name string) []Problem {
	rec, ok := decoded.(normalized)
	if old, isOld := decoded.(upgrader); isOld {
		rec, ok = old.upgrade(nil), true
	}
	if !ok {
		return nil
	}
	return append(checkName("/name", name), rec.check()...)
}

// normalize returns the record in the newest schema version, or its problems. For
// a record in an older version, prev is the record that it replaces, or nil; see
// upgrader.
func (r Raw) normalize(prev normalized) (normalized, []Problem) {
	decoded, problems := r.decode()
	if len(r.Problems) > 0 || len(problems) > 0 {
		return nil, append(append([]Problem(nil), r.Problems...), problems...)
	}
	if old, ok := decoded.(upgrader); ok {
		rec := old.upgrade(prev)
		return rec, rec.check()
	}
	rec, _ := decoded.(normalized)
	return rec, nil
}
