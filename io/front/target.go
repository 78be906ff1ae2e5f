package front

import (
	"slices"
	"strings"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// anyModel is the wildcard in a right that matches every model.
const anyModel = "*"

// modelName is the parsed value of the field "model": name[@version][:adapter]. Absent parts
// are empty.
type modelName struct {
	name    string
	version string
	adapter fleet.AdapterID
}

// parseModelName parses the value of the field "model". It refuses an empty name, and an
// empty version or adapter after its separator.
func parseModelName(text string) (modelName, error) {
	base, adapter, hasAdapter := strings.Cut(text, ":")
	name, version, hasVersion := strings.Cut(base, "@")
	if name == "" || hasVersion && version == "" || hasAdapter && adapter == "" {
		return modelName{}, newRefusedError(fleet.CodeBadRequest,
			`field "model": want "name", "name@version", "name:adapter" or "name@version:adapter"`)
	}
	return modelName{name: name, version: version, adapter: fleet.AdapterID(adapter)}, nil
}

// engineModelName returns the name of a model and its adapter that is sent to the engine.
func engineModelName(t fleet.Target) string {
	if t.Adapter == "" {
		return string(t.Model)
	}
	return string(t.Model) + ":" + string(t.Adapter)
}

// resolveModel returns the target that text, the value of the field "model", refers to.
// Without a version in text, it is the highest version that has the adapter and that the
// member may use.
func (x *index) resolveModel(m *record.Member, text string) (fleet.Target, error) {
	wanted, err := parseModelName(text)
	if err != nil {
		return fleet.Target{}, err
	}
	exists := false
	for _, id := range x.versions[wanted.name] {
		_, version := id.Split()
		if wanted.version != "" && version != wanted.version {
			continue
		}
		if !x.hasAdapter(id, wanted.adapter) {
			continue
		}
		exists = true
		if mayUse(m, wanted.name, version, wanted.adapter) {
			return fleet.Target{Model: id, Adapter: wanted.adapter}, nil
		}
	}
	if exists {
		return fleet.Target{}, newRefusedError(fleet.CodeNoRight, "no right to use model "+quote(text))
	}
	return fleet.Target{}, newRefusedError(fleet.CodeUnknownModel, "no model "+quote(text))
}

// hasAdapter reports whether a model has an adapter. It is true for the empty adapter, which
// means none.
func (x *index) hasAdapter(id fleet.ModelID, adapter fleet.AdapterID) bool {
	if adapter == "" {
		return true
	}
	_, ok := x.config.Models[id].Adapters[adapter]
	return ok
}

// resolveService returns the record of a service. It refuses an unknown service and one that
// the member may not use.
func (x *index) resolveService(m *record.Member, id fleet.ServiceID) (record.Service, error) {
	service, ok := x.config.Services[id]
	if !ok {
		return record.Service{}, newRefusedError(fleet.CodeUnknownService, "no service "+quote(string(id)))
	}
	allowed := slices.ContainsFunc(m.Rights, func(r record.Right) bool { return r.Service == id })
	if !allowed {
		return record.Service{}, newRefusedError(fleet.CodeNoRight, "no right to use service "+quote(string(id)))
	}
	return service, nil
}

// mayUse reports whether one of the member's rights allows the use of a version of a model
// with an adapter; the empty adapter means none.
func mayUse(m *record.Member, name, version string, adapter fleet.AdapterID) bool {
	return slices.ContainsFunc(m.Rights, func(r record.Right) bool {
		return rightCovers(r, name, version, adapter)
	})
}

// rightCovers reports whether a right allows the use of a version of a model with an adapter.
// A right that is restricted to some adapters also allows the model without an adapter.
func rightCovers(r record.Right, name, version string, adapter fleet.AdapterID) bool {
	if r.Model != anyModel && r.Model != name {
		return false
	}
	if len(r.Versions) > 0 && !slices.Contains(r.Versions, version) {
		return false
	}
	return adapter == "" || len(r.Adapters) == 0 || slices.Contains(r.Adapters, adapter)
}
