package record

import (
	"fmt"
	"slices"
	"strconv"

	"chervilreach/core/fleet"
)

// conflict is a problem of the record with the given key that is caused by
// another record: a reference to a record that does not exist, or a value that
// only one record may use.
type conflict struct {
	key Key
	Problem
}

// crossCheck holds the progress of one call of State.crossCheck.
type crossCheck struct {
	state *State
	// key is the key of the record being checked.
	key       Key
	conflicts []conflict
	// keyHashes and endpoints map each key hash and endpoint to the first record
	// that uses it.
	keyHashes map[string]Key
	endpoints map[fleet.EndpointID]Key
	// firstDeployment is the key of the first deployment record, or the zero Key.
	firstDeployment Key
}

// crossCheck returns the conflicts between the records of the state, ordered by
// the key of the record in which they were found.
func (s *State) crossCheck() []conflict {
	c := crossCheck{state: s, keyHashes: map[string]Key{}, endpoints: map[fleet.EndpointID]Key{}}
	for _, o := range s.Objects() {
		c.key = o.Key
		switch rec := o.normalized.(type) {
		case *member:
			c.checkMember(rec)
		case *model:
			c.checkReference("/default-kind", TypeKind, string(rec.DefaultKind))
		case *service:
			c.checkService(rec)
		case *deployment:
			c.checkReference("/default-kind", TypeKind, string(rec.DefaultKind))
			c.checkDeployment()
		}
	}
	return c.conflicts
}

// addConflict adds a conflict with code CodeConflict to the record being checked.
func (c *crossCheck) addConflict(field, cause, expected string) {
	c.conflicts = append(c.conflicts, conflict{key: c.key, Problem: Problem{
		Code: CodeConflict, Field: field, Cause: cause, Expected: expected,
	}})
}

// lookup returns a record of the state and reports whether it exists and is not
// deleted.
func (c *crossCheck) lookup(t Type, name string) (normalized, bool) {
	o, ok := c.state.Object(Key{Type: t, Name: name})
	return o.normalized, ok && o.normalized != nil
}

// checkReference adds a conflict with code CodeUnknownReference if the record that the
// field refers to does not exist. An empty name is no reference.
func (c *crossCheck) checkReference(field string, t Type, name string) {
	if name == "" {
		return
	}
	if _, ok := c.lookup(t, name); !ok {
		c.conflicts = append(c.conflicts, conflict{key: c.key, Problem: Problem{
			Code: CodeUnknownReference, Field: field, Cause: "names unknown " + string(t) + " " + strconv.Quote(name),
			Expected: "a " + string(t) + " that has an accepted record",
		}})
	}
}

// checkMember checks that no other member has the same key hash and that the models,
// services, versions and adapters of the member's rights exist.
func (c *crossCheck) checkMember(m *member) {
	for i, h := range m.KeyHashes {
		if first, taken := c.keyHashes[h]; taken && first != c.key {
			c.addConflict(fmt.Sprintf("/key-hashes/%d", i), "is also a key of "+first.String(), "a key of this member alone")
			continue
		}
		c.keyHashes[h] = c.key
	}
	for i, r := range m.Rights {
		if r.Service != "" {
			c.checkReference(fmt.Sprintf("/rights/%d/service", i), TypeService, string(r.Service))
		}
		if r.Model == "" || r.Model == anyModel {
			continue
		}
		rec, _ := c.lookup(TypeModel, r.Model)
		base, ok := rec.(*model)
		if !ok {
			c.checkReference(fmt.Sprintf("/rights/%d/model", i), TypeModel, r.Model)
			continue
		}
		c.checkRestrictions(i, r, base)
	}
}

// checkRestrictions checks that the versions and adapters to which the member's
// nth right is restricted exist in the model base.
func (c *crossCheck) checkRestrictions(n int, r right, base *model) {
	for i, name := range r.Versions {
		if !slices.ContainsFunc(base.Versions, func(v version) bool { return v.Version == name }) {
			c.addConflict(fmt.Sprintf("/rights/%d/versions/%d", n, i), "names unknown version "+strconv.Quote(name), "a version of model "+base.Name)
		}
	}
	for i, id := range r.Adapters {
		known := slices.ContainsFunc(base.Versions, func(v version) bool {
			_, has := v.Adapters[id]
			return has && (len(r.Versions) == 0 || slices.Contains(r.Versions, v.Version))
		})
		if !known {
			c.addConflict(fmt.Sprintf("/rights/%d/adapters/%d", n, i), "names unknown adapter "+strconv.Quote(string(id)), "an adapter of model "+base.Name)
		}
	}
}

// checkService checks that the kind exists and that each endpoint runs no other
// service.
func (c *crossCheck) checkService(s *service) {
	c.checkReference("/kind", TypeKind, string(s.Kind))
	for i, e := range s.Endpoints {
		if first, taken := c.endpoints[e]; taken {
			c.addConflict(fmt.Sprintf("/endpoints/%d", i), "already runs "+first.String(), "an endpoint of this service alone")
			continue
		}
		c.endpoints[e] = c.key
	}
}

// checkDeployment checks that there is only one deployment record.
func (c *crossCheck) checkDeployment() {
	if c.firstDeployment != (Key{}) {
		c.addConflict("/name", "is a second deployment beside "+c.firstDeployment.Name, "one deployment")
		return
	}
	c.firstDeployment = c.key
}
