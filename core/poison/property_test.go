package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// drawCrashes draws the reports of several routers on crashes within a minute. Each instance crashes
// once; routers see that at times that differ by less than sameCrash.
func drawCrashes(t *rapid.T) [][]Crash {
	crashes := make([][]Crash, rapid.IntRange(1, 8).Draw(t, "crashes"))
	for i := range crashes {
		crashedAt := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "crashed at ms")) * time.Millisecond
		for range rapid.IntRange(1, 3).Draw(t, "reports") {
			c := Crash{Instance: fmt.Sprint("e", i), At: at(crashedAt + time.Duration(rapid.IntRange(0, 999).Draw(t, "seen after ms"))*time.Millisecond)}
			for _, p := range rapid.SliceOfNDistinct(rapid.IntRange(1, 6), 1, 4, rapid.ID).Draw(t, "parts") {
				c.Suspects = append(c.Suspects, Suspect{
					Part: Part(p), Depth: p % 3, Answering: rapid.Bool().Draw(t, "answering"),
					SentAt: c.At.Add(-time.Duration(rapid.IntRange(1, 3000).Draw(t, "sent before ms")) * time.Millisecond),
				})
			}
			crashes[i] = append(crashes[i], c)
		}
	}
	return crashes
}

// A part is not convicted if an answer to it is reported after each crash.
func TestAnsweredPartIsNeverConvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := NewJudge()
		now := start
		for _, reports := range drawCrashes(t) {
			for _, c := range reports {
				now = lo.Latest(now, c.At)
				j.AddCrash(c)
				j.Decide(now)
			}
			j.Clear(now, []Part{1})
			assert.NotContains(t, decideAll(j, now), Part(1))
		}
		assert.NotContains(t, lo.Map(j.Verdicts(now), func(v Verdict, _ int) Part { return v.Part }), Part(1))
	})
}

// The order of reports does not matter for what is convicted in the end.
func TestVerdictsDoNotDependOnOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := lo.Flatten(drawCrashes(t))
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		now := at(time.Minute + time.Second)
		first, second := NewJudge(), NewJudge()
		for i := range reports {
			first.AddCrash(reports[i])
			second.AddCrash(shuffled[i])
		}
		assert.Equal(t, decideAll(first, now), decideAll(second, now))
	})
}
