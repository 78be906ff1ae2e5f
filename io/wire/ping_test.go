package wire

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		// after is when the answer comes; 0 for never.
		after time.Duration
		err   error
		// late is how much later than it should the process notices each bound.
		late time.Duration
		want bool
	}{
		"in time":                   {after: pingBound / 2, want: true},
		"failed":                    {after: pingBound / 2, err: errors.New("closed")},
		"silent":                    {},
		"too late":                  {after: pingBound + time.Millisecond},
		"late, but held up":         {after: pingBound + time.Millisecond, late: 2 * heldUp, want: true},
		"silent, and held up":       {late: 2 * heldUp},
		"timer a little late":       {after: pingBound + time.Millisecond, late: heldUp / 2},
		"held up for several times": {after: 2*pingBound + time.Millisecond, late: 2 * heldUp, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result := make(chan error, 1)
				if c.after > 0 {
					time.AfterFunc(c.after, func() { result <- c.err })
				}
				calls := 0
				now := func() time.Time {
					// The second call of each round is the one that notices the bound.
					if calls++; calls%2 == 0 {
						return time.Now().Add(c.late)
					}
					return time.Now()
				}
				assert.Equal(t, c.want, answered(result, now))
			})
		})
	}
}
