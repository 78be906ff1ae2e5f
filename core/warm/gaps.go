package warm

import (
	"math"
	"time"
)

const (
	// gapBins is the number of histogram bins. They begin at powers of the square root of 2
	// in seconds, from 1 s to 18 h. Shorter gaps are counted in the first bin, longer ones
	// in the last.
	gapBins = 33
	// binsPerOctave is the number of bins over which the time doubles.
	binsPerOctave = 2
	// priorWeight is the weight of the prior, the histogram of all models' gaps, when it is
	// added to the histogram of one model: it counts as much as this many gaps of the model
	// itself.
	priorWeight = 5
	// decayTotal controls how old gaps lose weight: when the total of the counts reaches
	// twice decayTotal, all counts are halved.
	decayTotal = 500
)

// gapHistogram counts the gaps between consecutive requests in bins on a logarithmic scale.
// The zero value is an empty histogram.
type gapHistogram struct {
	counts [gapBins]float32
	total  float32
}

// add counts one gap. It halves all counts when their total reaches twice decayTotal, so
// that older gaps count less.
func (g *gapHistogram) add(gap time.Duration) {
	bin := 0
	if s := gap.Seconds(); s > 1 {
		bin = min(int(math.Log2(s)*binsPerOctave), gapBins-1)
	}
	g.counts[bin]++
	g.total++
	if g.total < 2*decayTotal {
		return
	}
	g.total = 0
	for i := range g.counts {
		g.counts[i] /= 2
		g.total += g.counts[i]
	}
}

// upperEdge returns the upper edge of a bin.
func upperEdge(bin int) time.Duration {
	return time.Duration(math.Exp2(float64(bin+1)/binsPerOctave) * float64(time.Second))
}

// idleTimeout returns how long to keep an idle model loaded at the least expected cost. The
// cost is the idle time up to the next request or the unload, plus coldStartCost when the
// request comes after the unload. This is the ski rental problem with a known distribution.
// prior is the histogram of all models; it decides as long as the model has few gaps of its
// own. Without any gaps, the result is coldStartCost.
func (g *gapHistogram) idleTimeout(prior *gapHistogram, coldStartCost time.Duration) time.Duration {
	var weights [gapBins]float64
	var total float64
	priorScale := 0.0
	if prior.total > 0 {
		priorScale = priorWeight / float64(prior.total)
	}
	for i := range weights {
		weights[i] = float64(g.counts[i]) + priorScale*float64(prior.counts[i])
		total += weights[i]
	}
	if total == 0 {
		return coldStartCost
	}
	idleTimeout, bestCost := time.Duration(0), float64(coldStartCost)
	var expectedIdleTime, arrivalProbability float64
	for i := range weights {
		probability := weights[i] / total
		expectedIdleTime += probability * float64(upperEdge(i))
		arrivalProbability += probability
		cost := expectedIdleTime + (1-arrivalProbability)*float64(upperEdge(i)+coldStartCost)
		if cost < bestCost {
			idleTimeout, bestCost = upperEdge(i), cost
		}
	}
	return idleTimeout
}
