package soak

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/platform/mock"
)

// Guards against a check that finds no answer which was ended because its replica was silent.
func TestCheckDetectsAnswersEndedByPauses(t *testing.T) {
	start := time.Now()
	after := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	whole := outcome{path: mock.ResumablePath, status: http.StatusOK, complete: true}
	run := mock.Run{Instance: "i", StartedAt: start, EndedAt: after(2), Complete: true}
	failed := func(r *mock.Run) { r.Complete, r.Failed = false, true }
	for name, c := range map[string]struct {
		o      func(o *outcome)
		run    func(r *mock.Run)
		others []mock.Run
		broken bool
	}{
		"whole":                    {},
		"bad gateway":              {o: func(o *outcome) { o.status = http.StatusBadGateway }, broken: true},
		"cut off":                  {o: func(o *outcome) { o.complete, o.err = false, os.ErrClosed }, broken: true},
		"went on elsewhere":        {others: []mock.Run{{Instance: "j", StartedAt: after(1.5)}}, broken: true},
		"went on at the same":      {others: []mock.Run{{Instance: "i", StartedAt: after(1.5)}}, broken: true},
		"elsewhere at its end":     {others: []mock.Run{{Instance: "j", StartedAt: after(1.7)}}},
		"elsewhere before":         {others: []mock.Run{{Instance: "j", StartedAt: after(-1), EndedAt: after(-0.5)}}},
		"broken off":               {run: func(r *mock.Run) { r.Complete = false }, broken: true},
		"safe, also run elsewhere": {o: func(o *outcome) { o.path = mock.SafePath }, others: []mock.Run{{Instance: "j", StartedAt: after(1)}}},
		"safe, without an answer":  {o: func(o *outcome) { o.path, o.status = mock.SafePath, 0 }, broken: true},
		"failed, then bad gateway": {o: func(o *outcome) { o.status, o.complete, o.endedAt = http.StatusBadGateway, false, after(2) }, run: failed},
		"failed, then elsewhere":   {o: func(o *outcome) { o.endedAt = after(3) }, run: failed, others: []mock.Run{{Instance: "j", StartedAt: after(2.1)}}},
		"failed, elsewhere before": {o: func(o *outcome) { o.endedAt = after(3) }, run: failed, others: []mock.Run{{Instance: "j", StartedAt: after(1.5)}}, broken: true},
		"failed, ended before":     {o: func(o *outcome) { o.status, o.endedAt = http.StatusBadGateway, after(1.5) }, run: failed, broken: true},
		"failed, no answer":        {o: func(o *outcome) { o.status, o.endedAt, o.err = 0, after(2), os.ErrClosed }, run: failed, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			o, r := whole, run
			if c.o != nil {
				c.o(&o)
			}
			if c.run != nil {
				c.run(&r)
			}
			defect := pauseDefect(o, r, append(c.others, r))
			assert.Equal(t, c.broken, defect != "", defect)
		})
	}
}

func TestPauseInterruptsRun(t *testing.T) {
	start := time.Now()
	run := mock.Run{AttemptID: "a", StartedAt: start, EndedAt: start.Add(time.Second)}
	for name, c := range map[string]struct {
		at        time.Duration
		attemptID string
		want      bool
	}{
		"whole replica":  {at: time.Millisecond, want: true},
		"its connection": {at: time.Millisecond, attemptID: "a", want: true},
		"another's":      {at: time.Millisecond, attemptID: "b"},
		"before":         {at: -time.Millisecond},
		"after":          {at: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, interrupts(mock.Pause{AttemptID: c.attemptID, From: start.Add(c.at)}, run))
		})
	}
}
