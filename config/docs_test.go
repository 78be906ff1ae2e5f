package config_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"

	"chervilreach/config"

	"github.com/stretchr/testify/require"
)

// readPage returns the text of the settings page.
func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	return string(page)
}

// TestPageExamples checks that the examples on the settings page are valid settings files.
func TestPageExamples(t *testing.T) {
	blocks := regexp.MustCompile("(?s)```jsonc\n(.*?)```").FindAllStringSubmatch(readPage(t), -1)
	require.Len(t, blocks, 3)
	for _, block := range blocks {
		path := filepath.Join(t.TempDir(), "settings.jsonc")
		require.NoError(t, os.WriteFile(path, []byte(block[1]), 0o600))
		require.NoError(t, config.CheckFile(path))
	}
}

// TestPageFields checks that the settings page has a table row for each field, with its
// default.
func TestPageFields(t *testing.T) {
	for name, sections := range map[string]reflect.Type{
		"hosts with a key-value service": reflect.TypeFor[config.Config](),
		"users' platform":                reflect.TypeFor[config.PlatformConfig](),
	} {
		t.Run(name, func(t *testing.T) { requireFieldRows(t, sections) })
	}
}

// requireFieldRows requires a table row on the settings page for each field of the sections,
// which are the fields of the struct type.
func requireFieldRows(t *testing.T, sections reflect.Type) {
	t.Helper()
	page := readPage(t)
	for i := range sections.NumField() {
		section := sections.Field(i)
		if !section.IsExported() {
			continue
		}
		for j := range section.Type.NumField() {
			field := section.Type.Field(j)
			row := "| `" + section.Tag.Get("json") + "." + field.Tag.Get("json") + "` | "
			if value := field.Tag.Get("default"); value != "" {
				row += "`" + value + "` |"
			}
			require.Contains(t, page, row)
		}
	}
}
