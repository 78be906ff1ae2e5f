package poison_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/poison"
)

func TestRequestPart(t *testing.T) {
	same := func() poison.Part {
		return poison.RequestPart("s", []string{"c", "POST", "h", "/p?q=1"}, []byte("body"))
	}
	first, second := same(), same()
	assert.Equal(t, first, second)
	seen := map[poison.Part]string{same(): "same"}
	for name, other := range map[string]poison.Part{
		"service":             poison.RequestPart("s2", []string{"c", "POST", "h", "/p?q=1"}, []byte("body")),
		"caller":              poison.RequestPart("s", []string{"c2", "POST", "h", "/p?q=1"}, []byte("body")),
		"method":              poison.RequestPart("s", []string{"c", "PUT", "h", "/p?q=1"}, []byte("body")),
		"host":                poison.RequestPart("s", []string{"c", "POST", "h2", "/p?q=1"}, []byte("body")),
		"path":                poison.RequestPart("s", []string{"c", "POST", "h", "/p2?q=1"}, []byte("body")),
		"query":               poison.RequestPart("s", []string{"c", "POST", "h", "/p?q=2"}, []byte("body")),
		"body":                poison.RequestPart("s", []string{"c", "POST", "h", "/p?q=1"}, []byte("body2")),
		"no body":             poison.RequestPart("s", []string{"c", "POST", "h", "/p?q=1"}, nil),
		"field that moves":    poison.RequestPart("sc", []string{"", "POST", "h", "/p?q=1"}, []byte("body")),
		"body in place of it": poison.RequestPart("s", []string{"c", "POST", "h", ""}, []byte("/p?q=1body")),
	} {
		assert.Empty(t, seen[other], name)
		seen[other] = name
	}
}
