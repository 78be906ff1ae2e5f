package record

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"chervilreach/core/fleet"
)

// Largest values that records may contain. maxReplicasOrRequests applies to numbers of
// replicas and of requests in progress, maxLoads to both limits of loads from the
// weight store.
const (
	maxPatience           = 24 * time.Hour
	maxUrgency            = 100
	maxReplicasOrRequests = 100_000
	maxLoads              = 10_000
)

// anyModel is the model name in a right that applies to all models.
const anyModel = "*"

var (
	nameSyntax    = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	keyHashSyntax = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const nameExpected = "1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

// checkName checks the syntax of a name, which becomes part of key-value keys and
// URL paths.
func checkName(field, name string) []Problem {
	if nameSyntax.MatchString(name) {
		return nil
	}
	return []Problem{badValue(field, "is "+strconv.Quote(name), nameExpected)}
}

// checkRange checks that lower <= n <= upper.
func checkRange(field string, n, lower, upper int) []Problem {
	if n >= lower && n <= upper {
		return nil
	}
	return []Problem{badValue(field, "is "+strconv.Itoa(n), fmt.Sprintf("%d to %d", lower, upper))}
}

// checkUnique returns a problem for each entry that repeats an earlier one.
func checkUnique[T ~string](field string, list []T) []Problem {
	var problems []Problem
	for i, v := range list {
		if slices.Contains(list[:i], v) {
			problems = append(problems, badValue(fmt.Sprintf("%s/%d", field, i), "repeats "+strconv.Quote(string(v)), "each entry once"))
		}
	}
	return problems
}

// check implements normalized.
func (m *member) check() []Problem {
	problems := checkUnique("/key-hashes", m.KeyHashes)
	for i, h := range m.KeyHashes {
		if !keyHashSyntax.MatchString(h) {
			problems = append(problems, badValue(fmt.Sprintf("/key-hashes/%d", i), "is "+strconv.Quote(h),
				"the SHA-256 sum of the key as 64 lower-case hexadecimal digits"))
		}
	}
	for i, r := range m.Rights {
		problems = append(problems, r.check(fmt.Sprintf("/rights/%d", i))...)
	}
	return append(problems, checkRange("/running", m.MaxRunning, 0, maxReplicasOrRequests)...)
}

// check returns the problems of the right; ptr is its JSON pointer.
func (r right) check(ptr string) []Problem {
	if (r.Model == "") == (r.Service == "") {
		return []Problem{badValue(ptr, "names not exactly one of model and service", "one of them")}
	}
	if r.Service != "" && len(r.Versions)+len(r.Adapters) > 0 {
		return []Problem{badValue(ptr, "narrows a service by versions or adapters", "only service")}
	}
	if r.Model == anyModel && len(r.Versions)+len(r.Adapters) > 0 {
		return []Problem{badValue(ptr, "narrows all models by versions or adapters", "the name of one model")}
	}
	return append(checkUnique(ptr+"/versions", r.Versions), checkUnique(ptr+"/adapters", r.Adapters)...)
}

// check implements normalized.
func (m *model) check() []Problem {
	if len(m.Versions) == 0 {
		return []Problem{badValue("/versions", "is empty", "at least one version")}
	}
	var problems []Problem
	for i, v := range m.Versions {
		ptr := fmt.Sprintf("/versions/%d", i)
		if slices.ContainsFunc(m.Versions[:i], func(w version) bool { return w.Version == v.Version }) {
			problems = append(problems, badValue(ptr+"/version", "repeats "+strconv.Quote(v.Version), "each version once"))
		}
		problems = append(problems, v.check(ptr)...)
	}
	return problems
}

// check returns the problems of the version; ptr is its JSON pointer.
func (v version) check(ptr string) []Problem {
	problems := checkName(ptr+"/version", v.Version)
	if v.Weights <= 0 {
		problems = append(problems, badValue(ptr+"/weights", "is not more than 0 or too large", "the size of the loaded model"))
	}
	ids := lo.Keys(v.Adapters)
	slices.Sort(ids)
	for _, id := range ids {
		field := ptr + "/adapters/" + escapePointer(string(id))
		problems = append(problems, checkName(field, string(id))...)
		if v.Adapters[id] <= 0 {
			problems = append(problems, badValue(field, "is not more than 0 or too large", "the size of the loaded adapter"))
		}
	}
	problems = append(problems, checkUnique(ptr+"/cached-on", v.CachedOn)...)
	problems = append(problems, checkRange(ptr+"/warm-limit", v.WarmLimit, 0, maxReplicasOrRequests)...)
	if v.WarmFloor < 0 || v.WarmFloor > v.WarmLimit {
		problems = append(problems, badValue(ptr+"/warm-floor", "is "+strconv.Itoa(v.WarmFloor),
			fmt.Sprintf("0 to the warm-limit, which is %d", v.WarmLimit)))
	}
	return problems
}

// check implements normalized.
func (k *kind) check() []Problem {
	problems := checkRange("/urgency", k.Urgency, 0, maxUrgency)
	if d := time.Duration(k.Patience); d <= 0 || d > maxPatience {
		problems = append(problems, badValue("/patience", "is out of bounds", "more than 0s and at most "+maxPatience.String()))
	}
	return problems
}

// check implements normalized.
func (s *service) check() []Problem {
	if len(s.Endpoints) == 0 {
		return []Problem{badValue("/endpoints", "is empty", "at least one endpoint")}
	}
	problems := checkUnique("/endpoints", s.Endpoints)
	for i, e := range s.Endpoints {
		problems = append(problems, checkName(fmt.Sprintf("/endpoints/%d", i), string(e))...)
	}
	return problems
}

// check implements normalized.
func (d *deployment) check() []Problem {
	var problems []Problem
	if d.TailWeight < 0 || d.TailWeight > 1 {
		problems = append(problems, badValue("/tail-weight", "is out of bounds", `0 to 1; "prefer" in schema 1: "tail" or "idle"`))
	}
	if d.LoadsPerSecond <= 0 || d.LoadsPerSecond > maxLoads {
		problems = append(problems, badValue("/loads-per-second", "is out of bounds", "more than 0"))
	}
	return append(problems, checkRange("/loads-at-once", d.LoadsAtOnce, 1, maxLoads)...)
}

// toBytes converts adapter sizes to the type that Model uses.
func toBytes(sizes map[fleet.AdapterID]size) map[fleet.AdapterID]fleet.Bytes {
	return lo.MapValues(sizes, func(s size, _ fleet.AdapterID) fleet.Bytes { return fleet.Bytes(s) })
}
