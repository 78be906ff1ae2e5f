package record

import (
	"bytes"
	"encoding/json"
)

// Merge returns the text to store when the record written replaces the stored
// record before, which is the zero Raw if there is none. A record in an older
// schema version would drop the fields that this version does not have, so it is
// converted to the newest version and keeps these fields from before or, if that
// is invalid or not newer than the accepted record in state, from the accepted
// one. Other records are returned as written. If the stored or the accepted
// record has a schema version newer than this program supports, Merge returns a
// problem instead, because fields that the program can't read would be lost.
func Merge(written, before Raw, state *State) ([]byte, []Problem) {
	accepted, _ := state.Object(written.Key)
	if before.Schema > schemaNewest || accepted.newerSchema() {
		return nil, []Problem{{
			Code: CodeUnknownSchema, Field: "/schema", Cause: "would replace a record of a newer version than this program knows",
			Expected: "a newer program",
		}}
	}
	base := accepted.normalized
	if before.Revision > accepted.RawRevision {
		if rec, problems := before.normalize(base); len(problems) == 0 {
			base = rec
		}
	}
	if _, deleted := base.(*deletion); deleted {
		base = nil
	}
	if written.Schema != schemaV1 || written.Deleted || base == nil {
		return written.Text, written.Problems
	}
	rec, problems := written.normalize(base)
	if len(problems) > 0 {
		return nil, problems
	}
	text, err := json.MarshalIndent(rec, "", "  ")
	if err != nil {
		return nil, []Problem{{Code: CodeBadValue, Cause: err.Error()}}
	}
	return text, nil
}

// Text returns the object as the text of a record in the newest schema version,
// indented. The text of a deleted object is a record with deleted set.
func (o Object) Text() []byte {
	if o.Deleted {
		text, err := json.Marshal(header{Schema: schemaNewest, Record: o.Type, Name: o.Name, Deleted: true})
		if err != nil {
			return nil
		}
		return text
	}
	var b bytes.Buffer
	if err := json.Indent(&b, o.Value, "", "  "); err != nil {
		return o.Value
	}
	return b.Bytes()
}
