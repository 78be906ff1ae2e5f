package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestLongestGap(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var g gapDetector
	for _, ms := range []int{0, 10, 20, 320, 330, 1330, 1340} {
		g.tick(at(ms))
	}
	for name, tt := range map[string]struct {
		from, to, want int
	}{
		"none":                  {0, 20, 0},
		"one":                   {25, 325, 300},
		"longest of two":        {0, 1340, 1000},
		"overlaps only its end": {1329, 1400, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, time.Duration(tt.want)*time.Millisecond, g.longest(at(tt.from), at(tt.to)))
		})
	}
}
