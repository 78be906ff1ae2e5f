package poison

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestVerdictSupersedes(t *testing.T) {
	conviction := Verdict{Part: 1, DecidedAt: start}
	lifted := Verdict{Part: 1, DecidedAt: start, Lifted: true}
	later := func(v Verdict, d time.Duration) Verdict {
		v.DecidedAt = v.DecidedAt.Add(d)
		return v
	}
	for name, c := range map[string]struct {
		v, old Verdict
		want   bool
	}{
		"same":                     {conviction, conviction, false},
		"same, told later":         {later(conviction, sameDecision), conviction, false},
		"convicted again":          {later(conviction, time.Minute), conviction, true},
		"earlier":                  {conviction, later(conviction, time.Minute), false},
		"lifted soon after":        {later(lifted, time.Millisecond), conviction, true},
		"conviction told late":     {lifted, later(conviction, time.Millisecond), true},
		"lifted before":            {lifted, later(conviction, sameDecision+time.Millisecond), false},
		"convicted, told later":    {later(conviction, sameDecision), lifted, false},
		"convicted after it":       {later(conviction, sameDecision+time.Millisecond), lifted, true},
		"lifted again soon after":  {later(lifted, time.Millisecond), lifted, false},
		"lifted at the same time":  {lifted, conviction, true},
		"lifted again, much later": {later(lifted, time.Minute), lifted, true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, c.v.Supersedes(c.old))
			assert.False(t, c.v.Supersedes(c.old) && c.old.Supersedes(c.v), "not both ways")
		})
	}
}

func TestVerdictInForce(t *testing.T) {
	for name, c := range map[string]struct {
		v    Verdict
		at   time.Duration
		want bool
	}{
		"none":                {Verdict{}, 0, false},
		"new":                 {Verdict{DecidedAt: start}, 0, true},
		"decided in a moment": {Verdict{DecidedAt: at(time.Second)}, 0, true},
		"just before the end": {Verdict{DecidedAt: start}, verdictDuration - 1, true},
		"ended":               {Verdict{DecidedAt: start}, verdictDuration, false},
		"lifted":              {Verdict{DecidedAt: start, Lifted: true}, 0, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, c.v.InForce(at(c.at))) })
	}
}

// Judges that get each other's verdicts agree in the end, in whichever order these come and however
// late.
func TestVerdictsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Verdict {
			decidedAt := time.Duration(rapid.IntRange(0, 9).Draw(t, "decided at")) * 2 * sameDecision
			delay := time.Duration(rapid.IntRange(0, 400).Draw(t, "told after ms")) * time.Millisecond
			return Verdict{
				Part: Part(rapid.IntRange(1, 2).Draw(t, "part")), Lifted: rapid.Bool().Draw(t, "lifted"), DecidedAt: at(decidedAt + delay),
			}
		}), 1, 8).Draw(t, "verdicts")
		first, second := NewJudge(), NewJudge()
		for _, v := range list {
			first.AddVerdict(v)
		}
		for _, v := range rapid.Permutation(list).Draw(t, "order") {
			second.AddVerdict(v)
		}
		got, want := second.Verdicts(at(time.Minute)), first.Verdicts(at(time.Minute))
		assert.True(t, slices.EqualFunc(got, want, Verdict.Equal), "got %v, want %v", got, want)
	})
}
