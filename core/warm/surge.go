package warm

import (
	"slices"
	"time"
)

const (
	// minSurgeModels and minSurgeShare define a surge: at least that many models, and more
	// than that share of the known models, start a session within maxStartSpread.
	minSurgeModels = 3
	minSurgeShare  = 0.4
	// surgeCostFactor multiplies the cost of a cold start in a surge, as the load then
	// waits for the weight store behind the loads of other models.
	surgeCostFactor = 3
	// surgeChance is the probability that a model takes part in a surge on the same day of
	// the month as a past one in which it took part.
	surgeChance = 0.75
	// monthsBack is the number of past months that are searched for surges on the same day
	// of the month.
	monthsBack = 2
	// maxCachedSurgeDates limits the dates for which surges are cached.
	maxCachedSurgeDates = 32
)

// interval is a part of a day, as times since midnight UTC; both ends are included.
type interval struct {
	from, until time.Duration
}

// surgeCache holds the surges of past dates. intervals[i] are the surges of dates[i].
type surgeCache struct {
	dates     []time.Time
	intervals [][]interval
}

// surgesOn returns the surges on a date. Those of past dates are cached; a date that has
// not ended may still change and is not.
func (l *Learned) surgesOn(date time.Time) []interval {
	s := &l.surgeCache
	if !date.Before(l.latestForecastDate) {
		return l.findSurges(date)
	}
	if i := slices.IndexFunc(s.dates, date.Equal); i >= 0 {
		return s.intervals[i]
	}
	if len(s.dates) == maxCachedSurgeDates {
		s.dates, s.intervals = slices.Delete(s.dates, 0, 1), slices.Delete(s.intervals, 0, 1)
	}
	found := l.findSurges(date)
	s.dates, s.intervals = append(s.dates, date), append(s.intervals, found)
	return found
}

// findSurges computes the surges on a date from the session starts of all models.
func (l *Learned) findSurges(date time.Time) []interval {
	var allStarts []time.Duration
	for _, h := range l.histories {
		allStarts = append(allStarts, h.sessionStarts.on(date)...)
	}
	slices.Sort(allStarts)
	minStarts := max(minSurgeModels, int(minSurgeShare*float64(len(l.histories))+1))
	var out []interval
	for lo := 0; lo+minStarts <= len(allStarts); {
		hi := lo
		for hi < len(allStarts) && allStarts[hi]-allStarts[lo] <= maxStartSpread {
			hi++
		}
		if hi-lo < minStarts {
			lo++
			continue
		}
		out = append(out, interval{from: allStarts[lo], until: allStarts[hi-1]})
		lo = hi
	}
	return out
}

// inSurge reports whether the time of day of window w on date overlaps a surge of one of
// the past days.
func (l *Learned) inSurge(w window, date time.Time, pastDays []time.Time) bool {
	from, until := w.from.Sub(date), w.until.Sub(date)
	for _, d := range pastDays {
		for _, s := range l.surgesOn(d) {
			if s.from <= until && from <= s.until {
				return true
			}
		}
	}
	return false
}

// monthlyWindows returns windows for the surges in which the model took part on the same
// day of past months. Months without that day are skipped.
func (l *Learned) monthlyWindows(h *modelHistory, date time.Time) (out []window) {
	for i := 1; i <= monthsBack; i++ {
		d := date.AddDate(0, -i, 0)
		if d.Day() != date.Day() {
			continue
		}
		for _, s := range l.surgesOn(d) {
			for _, at := range h.sessionStarts.on(d) {
				if at < s.from || at > s.until {
					continue
				}
				out = append(out, window{
					from: date.Add(s.from - windowMargin), until: date.Add(s.until + windowMargin),
					sessionChance: surgeChance, surge: true,
				})
			}
		}
	}
	return out
}
