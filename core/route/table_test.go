package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/route"
)

func ExampleTable_With() {
	a, b := &route.Route{Name: "a", Host: "h", Prefix: "/a/"}, &route.Route{Name: "b", Host: "h", Prefix: "/a/b/"}
	older := route.NewTable(1, route.Limits{}, []*route.Route{a}, nil)
	newer, _ := older.With(2, route.Limits{}, route.Change{Added: []*route.Route{b}})
	for _, t := range []*route.Table{older, newer} {
		r, _ := t.Match("h", "/a/b/c")
		fmt.Println(t.Version, t.Len(), r.Name)
	}
	// Output:
	// 1 1 a
	// 2 2 b
}

func TestMatch(t *testing.T) {
	table := route.NewTable(1, route.Limits{}, []*route.Route{
		{Name: "root", Host: "h", Prefix: "/"},
		{Name: "a", Host: "h", Prefix: "/a/"},
		{Name: "second a", Host: "h", Prefix: "/a/"},
		{Name: "ab", Host: "h", Prefix: "/a/b/"},
		{Name: "empty", Host: "e", Prefix: ""},
		{Name: "no slash", Host: "n", Prefix: "/ab"},
	}, nil)
	for name, c := range map[string]struct{ host, path, want string }{
		"longest prefix":       {"h", "/a/b/c", "ab"},
		"prefix is the path":   {"h", "/a/", "a"},
		"first of equal ones":  {"h", "/a/x", "a"},
		"other path":           {"h", "/ab", "root"},
		"other host":           {"x", "/a/", ""},
		"empty path":           {"h", "", ""},
		"empty prefix":         {"e", "", "empty"},
		"prefix without slash": {"n", "/abc", "no slash"},
	} {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Match(c.host, c.path)
			require.Equal(t, c.want != "", ok)
			if ok {
				assert.Equal(t, c.want, r.Name)
			}
		})
	}
}

// scan is the reference for Match: it looks at all routes.
func scan(routes []*route.Route, host, path string) *route.Route {
	var best *route.Route
	for _, r := range routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Tables that were changed step by step match as a scan of all routes does, and changes leave the
// tables before as they were.
func TestChangedTableMatchesLikeScan(t *testing.T) {
	paths := []string{"/", "/a/", "/a/b/", "/b/", "/a/a/a/", "/b/a/", "x"}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var routes []*route.Route
		table := route.NewTable(0, route.Limits{}, nil, nil)
		for version := int64(1); version < 30; version++ {
			before, tableBefore := routes, table
			var c route.Change
			routes = nil
			for _, r := range before {
				if rng.IntN(8) == 0 {
					c.Removed = append(c.Removed, r)
					continue
				}
				routes = append(routes, r)
			}
			for range rng.IntN(4) {
				r := &route.Route{Host: fmt.Sprint(rng.IntN(3)), Prefix: paths[rng.IntN(len(paths))]}
				c.Added, routes = append(c.Added, r), append(routes, r)
			}
			var ok bool
			if table, ok = table.With(version, route.Limits{}, c); !ok {
				table = route.NewTable(version, route.Limits{}, routes, nil)
			}
			require.Equal(t, len(routes), table.Len())
			for host := range 4 {
				for _, path := range paths {
					path += "c/"
					for _, at := range []struct {
						table  *route.Table
						routes []*route.Route
					}{{table, routes}, {tableBefore, before}} {
						got, _ := at.table.Match(fmt.Sprint(host), path)
						require.Same(t, scan(at.routes, fmt.Sprint(host), path), got, "seed %d version %d", seed, version)
					}
				}
			}
		}
	}
}

func TestWithKeepsServicesUnlessGiven(t *testing.T) {
	older := route.NewTable(1, route.Limits{}, nil, []*route.Service{{Name: "s", MaxConns: 1}})
	same, ok := older.With(2, route.Limits{IdleTimeout: time.Second}, route.Change{})
	require.True(t, ok)
	s, ok := same.Service("s")
	require.True(t, ok)
	assert.Equal(t, 1, s.MaxConns)
	assert.Equal(t, time.Second, same.Limits.IdleTimeout)
	other, ok := older.With(2, route.Limits{}, route.Change{Services: []*route.Service{}})
	require.True(t, ok)
	_, ok = other.Service("s")
	assert.False(t, ok)
}
