package front

import (
	"cmp"
	"strconv"
	"strings"

	"chervilreach/core/fleet"
)

// compareVersions compares the versions of two models as cmp.Compare does. A leading "v" is
// ignored and the parts between dots are compared one by one, as numbers if both are, so that
// v10 is higher than v9 and 1.10 is higher than 1.9.
func compareVersions(a, b fleet.ModelID) int {
	_, versionA := a.Split()
	_, versionB := b.Split()
	partsA := strings.Split(strings.TrimPrefix(versionA, "v"), ".")
	partsB := strings.Split(strings.TrimPrefix(versionB, "v"), ".")
	for i := range min(len(partsA), len(partsB)) {
		if c := compareVersionPart(partsA[i], partsB[i]); c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(len(partsA), len(partsB)), cmp.Compare(a, b))
}

// compareVersionPart compares one part of two versions. A number is higher than a part that
// is not a number.
func compareVersionPart(a, b string) int {
	numberA, errA := strconv.ParseUint(a, 10, 64)
	numberB, errB := strconv.ParseUint(b, 10, 64)
	switch {
	case errA == nil && errB == nil:
		return cmp.Compare(numberA, numberB)
	case errA == nil:
		return 1
	case errB == nil:
		return -1
	default:
		return cmp.Compare(a, b)
	}
}
