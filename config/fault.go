package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/samber/lo"
)

// Errors that a *FieldError wraps.
var (
	// ErrSyntax means that the file is not valid JSON with comments.
	ErrSyntax = errors.New("syntax error")
	// ErrUnknownField means that the file has a field that does not exist.
	ErrUnknownField = errors.New("unknown field")
	// ErrBadValue means that a value has the wrong type or is out of range. It is also the
	// error for a field that occurs twice and for a file that is too large.
	ErrBadValue = errors.New("bad value")
	// ErrMissing means that a required field is not set.
	ErrMissing = errors.New("missing field")
)

// maxNameBytes is the maximum length of the name of a host, process, endpoint, service or
// failure domain.
const maxNameBytes = 128

// FieldError describes one error in a settings file. It wraps ErrSyntax, ErrUnknownField,
// ErrBadValue or ErrMissing.
type FieldError struct {
	// File, Line and Column are the position of the error. Lines and columns count from 1,
	// columns in characters. The position of a missing field is that of its section.
	File   string
	Line   int
	Column int
	// Field is the path of the field, such as "route.listen"; "file" for a syntax error.
	Field string
	// Want describes the expected value.
	Want string

	// cause is the sentinel error.
	cause error
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s, want %s", e.File, e.Line, e.Column, e.Field, e.cause, e.Want)
}

// Unwrap returns the sentinel error.
func (e *FieldError) Unwrap() error {
	return e.cause
}

// source is the file from which settings were read.
type source struct {
	name string
	data []byte
	// offsets holds the byte offset of each value in data, by path.
	offsets map[string]int
}

func newSource(name string, data []byte) *source {
	return &source{name: name, data: data, offsets: make(map[string]int)}
}

// has reports whether the file has a value at path.
func (s *source) has(path string) bool {
	_, ok := s.offsets[path]
	return ok
}

// fieldError returns the error for the value at a byte offset.
func (s *source) fieldError(cause error, offset int, path, want string) *FieldError {
	before := s.data[:min(offset, len(s.data))]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return &FieldError{
		File:   s.name,
		Line:   1 + bytes.Count(before, []byte{'\n'}),
		Column: 1 + utf8.RuneCount(before[lineStart:]),
		Field:  path,
		Want:   want,
		cause:  cause,
	}
}

// fieldErrors collects the errors of settings that were decoded without errors.
type fieldErrors struct {
	source *source
	list   []*FieldError
}

// add adds an error for the field at path. If the file does not have the field, the position
// of the error is that of the innermost enclosing value that the file has. cause is a sentinel
// error, want describes the expected value.
func (f *fieldErrors) add(cause error, path, want string) {
	enclosing := path
	for enclosing != "" && !f.source.has(enclosing) {
		enclosing = enclosing[:max(0, lastDot(enclosing))]
	}
	f.list = append(f.list, f.source.fieldError(cause, f.source.offsets[enclosing], path, want))
}

// checkName adds an error unless value is a valid name. The field may be missing from the
// file.
func (f *fieldErrors) checkName(path, value string) {
	if value == "" && !f.source.has(path) {
		return
	}
	if value == "" || len(value) > maxNameBytes || !lo.EveryBy([]byte(value), isNameByte) {
		f.add(ErrBadValue, path, "1 to 128 letters, digits, or any of - _ . :")
	}
}

// checkTarget adds an error if addr is unspecified, such as 0.0.0.0, as processes connect to
// it. The zero value, for a missing field, is valid.
func (f *fieldErrors) checkTarget(path string, addr netip.AddrPort) {
	if addr.IsValid() && addr.Addr().IsUnspecified() {
		f.add(ErrBadValue, path, "the address of a host, not "+addr.Addr().String())
	}
}

// checkDuration adds an error unless d is between the bounds, both included.
func (f *fieldErrors) checkDuration(path string, d, lower, upper time.Duration) {
	if d < lower || d > upper {
		f.add(ErrBadValue, path, fmt.Sprintf("a duration between %v and %v", lower, upper))
	}
}

// checkDistinct adds an error for each address that repeats an earlier one.
func (f *fieldErrors) checkDistinct(path string, addrs []netip.AddrPort) {
	for i, addr := range addrs {
		if slices.Contains(addrs[:i], addr) {
			f.add(ErrBadValue, elementPath(path, i), "each address once")
		}
	}
}

// joinFieldErrors returns the errors as one error, in the order of their positions in the file;
// nil if there are none.
func joinFieldErrors(list []*FieldError) error {
	if len(list) == 0 {
		return nil
	}
	slices.SortStableFunc(list, func(a, b *FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return errors.Join(lo.Map(list, func(e *FieldError, _ int) error { return e })...)
}

// elementPath returns the path of element i of the array at path.
func elementPath(path string, i int) string {
	return path + "." + strconv.Itoa(i)
}

// lastDot returns the index of the last dot in path; -1 if there is none.
func lastDot(path string) int {
	return bytes.LastIndexByte([]byte(path), '.')
}

// isNameByte reports whether a name may contain the byte. All characters beyond ASCII count
// as letters.
func isNameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	case b == '-', b == '_', b == '.', b == ':', b >= utf8.RuneSelf:
		return true
	default:
		return false
	}
}
