package line

import "reflect"

const (
	// maxSizeDepth limits how deep sizeOf follows references and nested values.
	maxSizeDepth = 4
	// maxSampledElements is the number of elements of a slice or an array whose
	// references are measured; the others are assumed to have the same average size.
	maxSampledElements = 4
	// mapEntryBytes is the assumed size of one entry of a map.
	mapEntryBytes = 256
)

// sizeOf estimates the bytes of memory that a value uses, including what it refers to.
// It takes limited time and does not allocate.
func sizeOf(value any) int {
	v := reflect.ValueOf(value)
	if !v.IsValid() {
		return 0
	}
	return int(v.Type().Size()) + referencedSize(v, 0)
}

// referencedSize estimates the bytes that a value refers to, without the value itself.
func referencedSize(v reflect.Value, depth int) int {
	if depth == maxSizeDepth {
		return 0
	}
	switch v.Kind() {
	case reflect.String:
		return v.Len()
	case reflect.Map:
		return v.Len() * mapEntryBytes
	case reflect.Slice:
		return v.Len()*int(v.Type().Elem().Size()) + elementsSize(v, depth)
	case reflect.Array:
		return elementsSize(v, depth)
	case reflect.Struct:
		return fieldsSize(v, depth)
	case reflect.Pointer:
		if v.IsNil() {
			return 0
		}
		return int(v.Type().Elem().Size()) + referencedSize(v.Elem(), depth+1)
	default:
		return 0
	}
}

// fieldsSize estimates the bytes that the fields of a struct refer to.
func fieldsSize(v reflect.Value, depth int) int {
	size := 0
	for i := range v.NumField() {
		size += referencedSize(v.Field(i), depth+1)
	}
	return size
}

// elementsSize estimates the bytes that the elements of a slice or an array refer to,
// from the first of them.
func elementsSize(v reflect.Value, depth int) int {
	n := min(v.Len(), maxSampledElements)
	if n == 0 || isScalar(v.Type().Elem().Kind()) {
		return 0
	}
	size := 0
	for i := range n {
		size += referencedSize(v.Index(i), depth+1)
	}
	return size * v.Len() / n
}

// isScalar reports whether values of the kind contain no references to other memory.
func isScalar(kind reflect.Kind) bool {
	return kind >= reflect.Bool && kind <= reflect.Complex128
}
