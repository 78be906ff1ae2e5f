package admin_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// metricPatterns match the names of metrics in Go source.
var metricPatterns = []*regexp.Regexp{
	regexp.MustCompile(`GetOrRegister\w+\("([a-z.-]+)"`),
	regexp.MustCompile(`event\.Count\{Name: "([a-z.-]+)"`),
	regexp.MustCompile(`counter\w+\s*= "([a-z.-]+)"`),
	regexp.MustCompile(`[sm]\.count\("([a-z.-]+)"`),
	regexp.MustCompile(`emitCount\("([a-z.-]+[a-z])"`),
	regexp.MustCompile(`metric\w+\s*= "([a-z.-]+[a-z])"`),
}

// TestMetricsDocumented checks that docs/OPERATING.md contains the name of every metric.
func TestMetricsDocumented(t *testing.T) {
	const root = "../.."
	page, err := os.ReadFile(filepath.Join(root, "docs/OPERATING.md"))
	require.NoError(t, err)
	found := 0
	err = filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range metricNames(filepath.Base(filepath.Dir(path)), string(source)) {
			found++
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%s: metric %q is missing in docs/OPERATING.md", path, name)
			}
		}
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, found, 10)
}

// metricNames returns the names of the metrics in the source of a package. A name that
// ends in a dot is a prefix; it is returned with CODE appended.
func metricNames(pkg, source string) []string {
	var names []string
	for _, pattern := range metricPatterns {
		for _, match := range pattern.FindAllStringSubmatch(source, -1) {
			name := match[1]
			if name == pkg+"." {
				continue // The prefix of all counters of the package.
			}
			if strings.Contains(match[0], ".count(") || strings.HasPrefix(match[0], "emitCount(") {
				name = pkg + "." + name
			}
			if strings.HasSuffix(name, ".") {
				name += "CODE"
			}
			names = append(names, name)
		}
	}
	return names
}
