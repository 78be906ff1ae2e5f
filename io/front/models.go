package front

import (
	"cmp"
	"slices"

	"chervilreach/core/record"
)

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string      `json:"object" enum:"list"`
	Data   []ModelItem `json:"data"`
}

// ModelItem is a model, or a model with an adapter, that a member may use.
type ModelItem struct {
	// ID is the value for the field "model" of a completion request.
	ID      string `json:"id"`
	Object  string `json:"object" enum:"model"`
	Created int64  `json:"created" doc:"always 0"`
	OwnedBy string `json:"owned_by"`
}

// listModels returns the models and adapters that a member may use, sorted by ID.
func (x *index) listModels(m *record.Member) ModelList {
	list := ModelList{Object: "list", Data: []ModelItem{}}
	add := func(id string) {
		list.Data = append(list.Data, ModelItem{ID: id, Object: "model", OwnedBy: "chervilreach"})
	}
	for id, model := range x.config.Models {
		name, version := id.Split()
		if mayUse(m, name, version, "") {
			add(string(id))
		}
		for adapter := range model.Adapters {
			if mayUse(m, name, version, adapter) {
				add(string(id) + ":" + string(adapter))
			}
		}
	}
	slices.SortFunc(list.Data, func(a, b ModelItem) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
