package record

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// expecter is implemented by field types that describe their valid values, for
// use in Problem.Expected.
type expecter interface{ expected() string }

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// typeChecker checks whether a parsed value can be decoded into a Go type. Unlike
// encoding/json it finds all problems, not only the first, with the JSON pointers
// of the fields, and rejects duplicate fields and field names in another case. The
// parameter ptr of its methods is the JSON pointer of the value v.
type typeChecker struct {
	problems []Problem
}

// checkTypes returns the problems that prevent the value from being decoded into
// the type: unknown, duplicate and missing fields, and values of the wrong type.
func checkTypes(v *hujson.Value, t reflect.Type) []Problem {
	var c typeChecker
	c.checkValue(v, t, "")
	return c.problems
}

// checkValue checks a value of any type.
func (c *typeChecker) checkValue(v *hujson.Value, t reflect.Type, ptr string) {
	if reflect.PointerTo(t).Implements(unmarshaler) {
		c.checkScalar(v, t, ptr)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkStruct(v, t, ptr)
	case reflect.Map:
		c.checkMap(v, t, ptr)
	case reflect.Slice:
		c.checkSlice(v, t, ptr)
	default:
		c.checkScalar(v, t, ptr)
	}
}

// checkStruct checks an object that is to be decoded into the struct type t.
func (c *typeChecker) checkStruct(v *hujson.Value, t reflect.Type, ptr string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		c.problems = append(c.problems, badValue(ptr, "is "+excerpt(v), "an object"))
		return
	}
	fields := jsonFields(t)
	seen := map[string]bool{}
	for i := range obj.Members {
		name := fieldName(obj.Members[i])
		fieldPtr := ptr + "/" + escapePointer(name)
		f, known := fields.find(name)
		switch {
		case !known:
			c.problems = append(c.problems, Problem{
				Code: CodeUnknownField, Field: fieldPtr, Cause: "is unknown", Expected: "one of " + fields.names(),
			})
		case seen[name]:
			c.problems = append(c.problems, badValue(fieldPtr, "stands twice", "it once"))
		default:
			c.checkValue(&obj.Members[i].Value, f.Type, fieldPtr)
		}
		seen[name] = true
	}
	for _, f := range fields {
		if name := jsonName(f); f.Tag.Get("required") != "" && !seen[name] {
			c.problems = append(c.problems, Problem{
				Code: CodeMissingField, Field: ptr + "/" + name, Cause: "is missing", Expected: describeType(f.Type),
			})
		}
	}
}

// checkMap checks an object that is to be decoded into the map type t.
func (c *typeChecker) checkMap(v *hujson.Value, t reflect.Type, ptr string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		c.problems = append(c.problems, badValue(ptr, "is "+excerpt(v), describeType(t)))
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		name := fieldName(obj.Members[i])
		entryPtr := ptr + "/" + escapePointer(name)
		if seen[name] {
			c.problems = append(c.problems, badValue(entryPtr, "stands twice", "it once"))
		}
		seen[name] = true
		c.checkValue(&obj.Members[i].Value, t.Elem(), entryPtr)
	}
}

// checkSlice checks an array that is to be decoded into the slice type t.
func (c *typeChecker) checkSlice(v *hujson.Value, t reflect.Type, ptr string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		c.problems = append(c.problems, badValue(ptr, "is "+excerpt(v), describeType(t)))
		return
	}
	for i := range arr.Elements {
		c.checkValue(&arr.Elements[i], t.Elem(), ptr+"/"+strconv.Itoa(i))
	}
}

// checkScalar checks a value that is decoded as a whole: a string, a number, a
// boolean or a type that implements json.Unmarshaler. Null is not allowed.
func (c *typeChecker) checkScalar(v *hujson.Value, t reflect.Type, ptr string) {
	if v.Value.Kind() == 'n' || json.Unmarshal(standardJSON(*v), reflect.New(t).Interface()) != nil {
		c.problems = append(c.problems, badValue(ptr, "is "+excerpt(v), describeType(t)))
	}
}

// fieldList contains the JSON fields of a struct in the order of declaration.
type fieldList []reflect.StructField

// jsonFields returns the exported fields of the struct type t, including those of
// embedded structs.
func jsonFields(t reflect.Type) fieldList {
	var list fieldList
	for _, f := range reflect.VisibleFields(t) {
		if !f.Anonymous && f.IsExported() {
			list = append(list, f)
		}
	}
	return list
}

// find returns the field with the given JSON name and reports whether there is one.
func (l fieldList) find(name string) (reflect.StructField, bool) {
	for _, f := range l {
		if jsonName(f) == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// names returns the JSON names of the fields, separated by commas.
func (l fieldList) names() string {
	names := make([]string, 0, len(l))
	for _, f := range l {
		names = append(names, jsonName(f))
	}
	return strings.Join(names, ", ")
}

// jsonName returns the name of the field in JSON, from its struct tag.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// describeType returns a phrase for Problem.Expected that describes the values of
// the type, such as "a whole number".
func describeType(t reflect.Type) string {
	if e, ok := reflect.Zero(t).Interface().(expecter); ok {
		return e.expected()
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list, each " + describeType(t.Elem())
	default:
		return "an object"
	}
}

// excerpt returns the value as standard JSON for use in Problem.Cause. More than
// 40 bytes are cut off and replaced by "...".
func excerpt(v *hujson.Value) string {
	const maxLen = 40
	text := string(standardJSON(*v))
	if len(text) > maxLen {
		text = strings.ToValidUTF8(text[:maxLen], "") + "..."
	}
	return text
}

// fieldName returns the name of a field of a JSON object.
func fieldName(m hujson.ObjectMember) string {
	lit, _ := m.Name.Value.(hujson.Literal)
	return lit.String()
}

// escapePointer escapes a name for use as a part of a JSON pointer (RFC 6901).
func escapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
