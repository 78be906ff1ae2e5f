package config

import (
	"iter"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// role is the kind of process that the settings are for.
type role string

const (
	roleRouter role = "router"
	roleAgent  role = "agent"
)

// Struct tags of settings.
const (
	// tagName is the tag with the name of the field in the file. Fields without it are not
	// settings.
	tagName = "json"
	// tagDefault is the tag with the value of a field that the file omits, as it would be
	// written there but without quotes.
	tagDefault = "default"
	// tagRequiredBy is the tag with the roles that require the field, separated by commas,
	// such as `need:"router,agent"`.
	tagRequiredBy = "need"
	// tagFallback marks a field that keeps its earlier value, or its default, if the value in the
	// file can't be used.
	tagFallback = "fallback"
)

// decoder decodes a settings file into a struct. It continues after an error, so that fieldErrors
// holds all errors of the file.
type decoder struct {
	source      *source
	fieldErrors []*FieldError
}

// decodeFile decodes the whole file into the struct dst.
func (d *decoder) decodeFile(dst reflect.Value) {
	tree, err := hujson.Parse(d.source.data)
	if err != nil {
		d.addSyntaxError(err)
		return
	}
	d.decodeValue("", tree, dst)
}

// hujsonError matches the errors of the JSON library. The groups are the line, the column
// and the message.
var hujsonError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// addSyntaxError adds a FieldError for an error of the JSON library.
func (d *decoder) addSyntaxError(err error) {
	e := &FieldError{File: d.source.name, Line: 1, Column: 1, Field: "file", cause: ErrSyntax}
	e.Want = "JSON with comments: " + err.Error()
	if m := hujsonError.FindStringSubmatch(err.Error()); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		e.Column, _ = strconv.Atoi(m[2])
		e.Want = "JSON with comments: " + m[3]
	}
	d.fieldErrors = append(d.fieldErrors, e)
}

// addFieldError adds an error for the value at a path and byte offset in the file. cause is a
// sentinel error, want describes the expected value.
func (d *decoder) addFieldError(cause error, offset int, path, want string) {
	d.fieldErrors = append(d.fieldErrors, d.source.fieldError(cause, offset, path, want))
}

// decodeValue decodes the value v at path into dst, which is a struct, a map, a slice or a
// scalar. It adds an error if v is not valid for the type of dst.
func (d *decoder) decodeValue(path string, v hujson.Value, dst reflect.Value) {
	d.source.offsets[path] = v.StartOffset
	if lit, ok := v.Value.(hujson.Literal); ok && isScalar(dst.Type()) {
		if want := setScalar(dst, lit); want != "" {
			d.addFieldError(ErrBadValue, v.StartOffset, path, want)
		}
		return
	}
	obj, isObject := v.Value.(*hujson.Object)
	arr, isArray := v.Value.(*hujson.Array)
	switch {
	case isScalar(dst.Type()):
		d.addFieldError(ErrBadValue, v.StartOffset, path, describeScalar(dst.Type()))
	case dst.Kind() == reflect.Struct && isObject:
		d.decodeStruct(path, obj, dst)
	case dst.Kind() == reflect.Map && isObject:
		d.decodeMap(path, obj, dst)
	case dst.Kind() == reflect.Slice && isArray:
		d.decodeSlice(path, arr, dst)
	case dst.Kind() == reflect.Slice:
		d.addFieldError(ErrBadValue, v.StartOffset, path, "an array [...]")
	default:
		d.addFieldError(ErrBadValue, v.StartOffset, path, "an object {...}")
	}
}

// decodeStruct decodes the members of an object into the fields of the struct dst. An unknown
// name is an error.
func (d *decoder) decodeStruct(path string, obj *hujson.Object, dst reflect.Value) {
	names := fieldNames(dst.Type())
	for name, m := range d.uniqueMembers(path, obj) {
		fieldPath := joinPath(path, name)
		i := slices.Index(names, name)
		if i < 0 || name == "" {
			d.addFieldError(ErrUnknownField, m.Name.StartOffset, fieldPath, "one of "+joinNames(names))
			continue
		}
		d.decodeValue(fieldPath, m.Value, dst.Field(i))
	}
}

// decodeMap decodes the members of an object into the entries of the map dst.
func (d *decoder) decodeMap(path string, obj *hujson.Object, dst reflect.Value) {
	dst.Set(reflect.MakeMap(dst.Type()))
	for name, m := range d.uniqueMembers(path, obj) {
		elem := reflect.New(dst.Type().Elem()).Elem()
		d.decodeValue(joinPath(path, name), m.Value, elem)
		dst.SetMapIndex(reflect.ValueOf(name).Convert(dst.Type().Key()), elem)
	}
}

// decodeSlice decodes an array into the slice dst.
func (d *decoder) decodeSlice(path string, arr *hujson.Array, dst reflect.Value) {
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i, v := range arr.Elements {
		d.decodeValue(elementPath(path, i), v, dst.Index(i))
	}
}

// uniqueMembers returns an iterator over the members of an object, by name and in order. It
// skips a member whose name has occurred before in the object, and adds an error for it.
func (d *decoder) uniqueMembers(path string, obj *hujson.Object) iter.Seq2[string, hujson.ObjectMember] {
	return func(yield func(string, hujson.ObjectMember) bool) {
		var seen []string
		for _, m := range obj.Members {
			lit, _ := m.Name.Value.(hujson.Literal)
			name := lit.String()
			if slices.Contains(seen, name) {
				d.addFieldError(ErrBadValue, m.Name.StartOffset, joinPath(path, name), "each field once")
				continue
			}
			seen = append(seen, name)
			if !yield(name, m) {
				return
			}
		}
	}
}

// setDefaults sets the fields of the struct dst, and of the structs within it, to the
// defaults in their tags. It panics if a default is not valid for its field.
func setDefaults(dst reflect.Value) {
	for i := range dst.NumField() {
		field := dst.Type().Field(i)
		if field.Type.Kind() == reflect.Struct && !isScalar(field.Type) && field.IsExported() {
			setDefaults(dst.Field(i))
		}
		text, ok := field.Tag.Lookup(tagDefault)
		if !ok {
			continue
		}
		if want := setScalar(dst.Field(i), defaultLiteral(field.Type, text)); want != "" {
			panic("config: default of " + field.Name + ": want " + want)
		}
	}
}

// findMissing adds an error to f for each field of the struct v that the role requires and
// that is not set. path is the path of the struct in the file.
func findMissing(f *fieldErrors, v reflect.Value, path string, r role) {
	for i, name := range fieldNames(v.Type()) {
		field := v.Type().Field(i)
		if name == "" {
			continue
		}
		fieldPath := joinPath(path, name)
		if field.Type.Kind() == reflect.Struct && !isScalar(field.Type) {
			findMissing(f, v.Field(i), fieldPath, r)
			continue
		}
		required := slices.Contains(strings.Split(field.Tag.Get(tagRequiredBy), ","), string(r))
		if required && isUnset(v.Field(i)) {
			f.add(ErrMissing, fieldPath, describeType(field.Type)+" (for the "+string(r)+")")
		}
	}
}

// fieldByPath returns the scalar field of the struct v at a path in the file, and whether it has
// tagFallback. It returns false if there is no such field.
func fieldByPath(v reflect.Value, path string) (reflect.Value, bool) {
	name, rest, nested := strings.Cut(path, ".")
	i := slices.Index(fieldNames(v.Type()), name)
	if i < 0 || name == "" {
		return reflect.Value{}, false
	}
	if !nested {
		return v.Field(i), v.Type().Field(i).Tag.Get(tagFallback) != ""
	}
	if v.Field(i).Kind() != reflect.Struct {
		return reflect.Value{}, false
	}
	return fieldByPath(v.Field(i), rest)
}

// isUnset reports whether v is its zero value, an empty slice or an empty map.
func isUnset(v reflect.Value) bool {
	if v.Kind() == reflect.Slice || v.Kind() == reflect.Map {
		return v.Len() == 0
	}
	return v.IsZero()
}

// fieldNames returns the names of the fields of struct type t in the file, by field index.
// The name is empty for a field that is not a setting.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get(tagName)
	}
	return names
}

// joinNames returns the nonempty names as a comma-separated list.
func joinNames(names []string) string {
	return strings.Join(slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == "" }), ", ")
}

// joinPath returns the path of a member of the value at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
