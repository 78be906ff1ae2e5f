package poison_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/poison"
)

func TestParsePart(t *testing.T) {
	part := poison.PartOf("service", "id")
	got, err := poison.ParsePart(part.String())
	require.NoError(t, err)
	assert.Equal(t, part, got)
	for name, text := range map[string]string{
		"empty":     "",
		"short":     "0123456789abcde",
		"long":      "00123456789abcdef",
		"not hex":   "0123456789abcdeg",
		"with 0x":   "0x23456789abcdef",
		"with sign": "+123456789abcdef",
		"with _":    "0123_56789abcdef",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := poison.ParsePart(text)
			assert.ErrorIs(t, err, poison.ErrBadPart)
		})
	}
}
