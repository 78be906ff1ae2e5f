package record

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"chervilreach/core/fleet"
)

// Limits of the input.
const (
	// MaxFileBytes is the maximum size of a file of records, in bytes.
	MaxFileBytes = 1 << 20
	// MaxRecordBytes is the maximum size of a single record, in bytes. It is far
	// below the maximum size of a value in the key-value service.
	MaxRecordBytes = 256 << 10
	// maxBrackets is the maximum number of opening brackets in a text. It limits
	// the recursion depth of the JSON library, whose parser could otherwise
	// overflow the stack.
	maxBrackets = 50_000
)

// Type is the type of a record. It is the value of the field "record".
type Type string

// The types of records.
const (
	TypeMember     Type = "member"
	TypeModel      Type = "model"
	TypeKind       Type = "kind"
	TypeService    Type = "service"
	TypeDeployment Type = "deployment"
)

// Types returns all types of records in the order for display.
func Types() []Type {
	return []Type{TypeDeployment, TypeKind, TypeModel, TypeService, TypeMember}
}

// Key identifies a record.
type Key struct {
	Type Type   `json:"record"`
	Name string `json:"name"`
}

// String returns the key as it is shown in messages, such as "model a".
func (k Key) String() string { return string(k.Type) + " " + k.Name }

// Path returns the key in the form "type/name", with which the keys of the record
// in the key-value service end.
func (k Key) Path() string { return string(k.Type) + "/" + k.Name }

// Compare orders keys by type, then by name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Type, other.Type), cmp.Compare(k.Name, other.Name))
}

// Raw is a record as an operator wrote it, in the schema version it was written
// in.
type Raw struct {
	Key
	// Schema is the schema version; 0 if it could not be read.
	Schema int
	// Deleted is set if the record requests the deletion of the accepted record.
	Deleted bool
	// Revision is the revision of the value in the key-value service; 0 if the
	// record was read from a file.
	Revision fleet.Revision
	// Text is the record as written, with the comments inside it. It is nil if a
	// stored value is larger than MaxRecordBytes.
	Text []byte
	// Problems are the problems that can be found without the other records.
	Problems []Problem

	// file is the value of Error.File for problems of the record.
	file string
	// source is the text of the whole file or stored value. The offsets in root,
	// the parsed record, refer to it.
	source []byte
	root   hujson.Value
}

// Err returns an error that joins an *Error for each of the record's Problems, or
// nil if there are none.
func (r Raw) Err() error {
	errs := make([]error, 0, len(r.Problems))
	for _, p := range r.Problems {
		errs = append(errs, r.ProblemError(p))
	}
	return errors.Join(errs...)
}

// ProblemError returns p, a problem of the record, as an error with the file, line and
// column.
func (r Raw) ProblemError(p Problem) *Error {
	return &Error{Key: r.Key, File: r.file, Problem: r.locate(p)}
}

// locate returns p with the line and column of its field filled in, unless they
// are known already. If the record does not contain the field, p.Field is first
// converted to the record's schema version with fieldAsWritten. If the record does
// not contain that field either, the position is that of the closest enclosing
// value that it does contain.
func (r Raw) locate(p Problem) Problem {
	if p.Line > 0 || r.root.Value == nil {
		return p
	}
	if r.root.Find(p.Field) == nil {
		p.Field = r.fieldAsWritten(p.Field)
	}
	offset := r.root.StartOffset
	for ptr := p.Field; ptr != ""; ptr = ptr[:strings.LastIndexByte(ptr, '/')] {
		if v := r.root.Find(ptr); v != nil {
			offset = v.StartOffset
			break
		}
	}
	p.Line, p.Column = position(r.source, offset)
	return p
}

// Parse parses the records of a file, which contains one record, an array of
// records, or an object whose only field "records" is such an array. Comments and
// trailing commas are allowed. The name of the file is only used in errors. Parse
// returns all records that it finds, invalid ones included, and an error that
// joins an *Error for each problem.
func Parse(name string, data []byte) ([]Raw, error) {
	if len(data) > MaxFileBytes {
		return nil, &Error{File: name, Problem: Problem{
			Code: CodeSyntax, Cause: fmt.Sprintf("has %d bytes", len(data)), Expected: fmt.Sprintf("at most %d", MaxFileBytes),
		}}
	}
	root, problem := parseText(data)
	if problem != nil {
		return nil, &Error{File: name, Problem: *problem}
	}
	var raws []Raw
	var errs []error
	seen := map[Key]bool{}
	for _, v := range recordValues(root) {
		raw := newRaw(name, data, v)
		if seen[raw.Key] {
			raw.Problems = append(raw.Problems, Problem{Code: CodeConflict, Cause: "stands twice in this file", Expected: "each record once"})
		}
		seen[raw.Key] = true
		errs = append(errs, raw.Err())
		raws = append(raws, raw)
	}
	return raws, errors.Join(errs...)
}

// ParseStored parses the record that the key-value service stores for a key, as
// of the given revision. The returned Raw always has that key. If the value is
// invalid, the reasons are in its Problems.
func ParseStored(key Key, value []byte, revision fleet.Revision) Raw {
	name := key.Path()
	invalid := Raw{Key: key, Revision: revision, Text: value, file: name}
	if len(value) > MaxRecordBytes {
		invalid.Text = nil
		invalid.Problems = []Problem{{Code: CodeSyntax, Cause: fmt.Sprintf("has %d bytes", len(value)), Expected: fmt.Sprintf("at most %d", MaxRecordBytes)}}
		return invalid
	}
	root, problem := parseText(value)
	if problem != nil {
		invalid.Problems = []Problem{*problem}
		return invalid
	}
	raw := newRaw(name, value, root)
	raw.Revision = revision
	if raw.Key != key {
		raw.Problems = append(raw.Problems, badValue("/name", "names "+raw.String(), key.String()+" as in the key"))
		raw.Key = key
	}
	return raw
}

// recordValues returns the parsed value of each record of a parsed file.
func recordValues(root hujson.Value) []hujson.Value {
	if obj, ok := root.Value.(*hujson.Object); ok && len(obj.Members) == 1 && fieldName(obj.Members[0]) == "records" {
		root = obj.Members[0].Value
	}
	if list, ok := root.Value.(*hujson.Array); ok {
		return list.Elements
	}
	return []hujson.Value{root}
}

// newRaw decodes and checks the record v, which was parsed from source. Problems
// that it finds are in the Problems of the returned Raw.
func newRaw(file string, source []byte, v hujson.Value) Raw {
	raw := Raw{file: file, source: source, root: v, Text: bytes.TrimSpace(source[v.StartOffset:v.EndOffset])}
	if _, ok := v.Value.(*hujson.Object); !ok {
		raw.Problems = []Problem{{Code: CodeSyntax, Cause: "is not an object", Expected: "a record in braces"}}
		return raw
	}
	if len(raw.Text) > MaxRecordBytes {
		raw.Problems = []Problem{{Code: CodeSyntax, Cause: fmt.Sprintf("has %d bytes", len(raw.Text)), Expected: fmt.Sprintf("at most %d", MaxRecordBytes)}}
		return raw
	}
	head := lenientHeader(v)
	raw.Key = Key{Type: head.Record, Name: head.Name}
	raw.Schema, raw.Deleted = head.Schema, head.Deleted
	_, raw.Problems = raw.decode()
	return raw
}

// lenientHeader decodes the fields that all records have and ignores all others
// as well as errors, so that even errors about records in a newer schema version
// can name the record.
func lenientHeader(v hujson.Value) header {
	var head header
	for _, f := range []struct {
		ptr string
		out any
	}{{"/schema", &head.Schema}, {"/record", &head.Record}, {"/name", &head.Name}, {"/deleted", &head.Deleted}} {
		if found := v.Find(f.ptr); found != nil {
			// checkTypes reports values of the wrong type.
			_ = json.Unmarshal(standardJSON(*found), f.out)
		}
	}
	return head
}

// standardJSON returns the value as standard JSON, without comments and trailing
// commas.
func standardJSON(v hujson.Value) []byte {
	v = v.Clone()
	v.Minimize()
	return v.Pack()
}

// parseText parses JSON with comments and trailing commas.
func parseText(text []byte) (hujson.Value, *Problem) {
	if n := bytes.Count(text, []byte("[")) + bytes.Count(text, []byte("{")); n > maxBrackets {
		return hujson.Value{}, &Problem{
			Code: CodeSyntax, Cause: fmt.Sprintf("has %d opening brackets", n), Expected: fmt.Sprintf("at most %d", maxBrackets),
		}
	}
	// The library requires a newline after a line comment, even at the end.
	root, err := hujson.Parse(append(bytes.Clone(text), '\n'))
	if err != nil {
		p := syntaxProblem(err)
		return hujson.Value{}, &p
	}
	return root, nil
}

// syntaxProblem converts an error of the JSON library to a problem. The library
// gives the position only in the text of the error.
func syntaxProblem(err error) Problem {
	p := Problem{Code: CodeSyntax, Cause: err.Error(), Expected: "JSON, perhaps with comments"}
	if n, _ := fmt.Sscanf(p.Cause, "hujson: line %d, column %d:", &p.Line, &p.Column); n == 2 {
		_, p.Cause, _ = strings.Cut(p.Cause, ": line ")
		_, p.Cause, _ = strings.Cut(p.Cause, ": ")
	}
	return p
}
