package record

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Errors that an *Error matches with errors.Is. It always matches ErrInvalid and
// may match one of the others in addition.
var (
	// ErrInvalid means that a record can't be accepted as it is written.
	ErrInvalid = errors.New("invalid record")
	// ErrUnknownSchema means that the schema version of a record is not supported.
	ErrUnknownSchema = errors.New("unknown schema version")
	// ErrUnknownField means that a record has a field that its schema version does
	// not define.
	ErrUnknownField = errors.New("unknown field")
	// ErrConflict means that a record conflicts with another one or refers to one
	// that does not exist.
	ErrConflict = errors.New("conflict with another record")
)

// Code is the category of a problem.
type Code string

// The categories of problems.
const (
	CodeSyntax        Code = "syntax"
	CodeUnknownSchema Code = "unknown-schema"
	CodeUnknownField  Code = "unknown-field"
	CodeMissingField  Code = "missing-field"
	CodeBadValue      Code = "bad-value"
	// CodeUnknownReference means that a field names a record that does not exist.
	CodeUnknownReference Code = "unknown-reference"
	CodeConflict         Code = "conflict"
)

// Problem is one reason why a record is not accepted.
type Problem struct {
	Code Code `json:"code"`
	// Field is the JSON pointer (RFC 6901) to the field; empty means the whole
	// record.
	Field string `json:"field,omitempty"`
	// Cause is a clause whose subject is the field or the record, such as "is
	// missing". Expected describes what is valid instead.
	Cause    string `json:"cause"`
	Expected string `json:"expected,omitempty"`
	// Line and Column start at 1; they are 0 if the position is not known.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// String implements fmt.Stringer.
func (p Problem) String() string {
	var b strings.Builder
	if p.Field != "" {
		fmt.Fprintf(&b, "field %s ", strings.TrimPrefix(p.Field, "/"))
	}
	b.WriteString(p.Cause)
	if p.Expected != "" {
		b.WriteString("; expected " + p.Expected)
	}
	return b.String()
}

// Error is a problem of a record, with the source and the key of the record.
type Error struct {
	// Key identifies the record; the zero Key means that it could not be read.
	Key
	// File is the file that contains the record, or the part of its key in the
	// key-value service that Key.Path returns.
	File string
	Problem
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
	}
	b.WriteString(": ")
	if e.Key != (Key{}) {
		b.WriteString(e.Key.String() + ": ")
	}
	b.WriteString(e.Problem.String())
	return b.String()
}

// Is implements the method that errors.Is calls. Every Error matches ErrInvalid;
// its Code decides whether it also matches ErrUnknownSchema, ErrUnknownField or
// ErrConflict.
func (e *Error) Is(target error) bool {
	switch target {
	case ErrInvalid:
		return true
	case ErrUnknownSchema:
		return e.Code == CodeUnknownSchema
	case ErrUnknownField:
		return e.Code == CodeUnknownField
	case ErrConflict:
		return e.Code == CodeConflict || e.Code == CodeUnknownReference
	}
	return false
}

// badValue returns a problem with code CodeBadValue; field is a JSON pointer.
func badValue(field, cause, expected string) Problem {
	return Problem{Code: CodeBadValue, Field: field, Cause: cause, Expected: expected}
}

// position converts a byte offset in text to a line and a column. Both start at
// 1; columns are counted in bytes.
func position(text []byte, offset int) (line, column int) {
	before := text[:min(offset, len(text))]
	line = bytes.Count(before, []byte("\n")) + 1
	return line, len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
}
