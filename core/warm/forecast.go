package warm

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/fleet"

	"github.com/cespare/xxhash/v2"
)

const (
	// sessionTimeout is the minimum gap after which the next request for a model starts a
	// new session.
	sessionTimeout = 15 * time.Minute
	// maxSessionStarts limits the session starts that are stored for each model.
	maxSessionStarts = 512
	// windowMargin is added before and after a predicted window.
	windowMargin = 30 * time.Second
	// maxStartSpread is the maximum time from the first to the last session start that are
	// combined into one window or one surge.
	maxStartSpread = 5 * time.Minute
	// daysBack and weeksBack are the numbers of past days that a forecast is based on: the
	// latest days of the same kind, and the same weekday of earlier weeks.
	daysBack  = 5
	weeksBack = 4
	// prewarmSpread is the interval over which the prewarm loads of different models are
	// spread. Before a surge the interval is surgePrewarmSpread, as there may be more loads
	// than the weight store can finish within prewarmSpread.
	prewarmSpread      = time.Minute
	surgePrewarmSpread = 3 * time.Minute
	// minLeadLoads is the minimum lead time of a prewarm load, as a multiple of the load
	// time.
	minLeadLoads = 2

	day = 24 * time.Hour
)

// sessionStarts holds the latest times at which sessions of a model started. The zero value
// is empty.
type sessionStarts struct {
	// unixTimes holds the times in Unix seconds, in ascending order.
	unixTimes []int64
}

// add appends a start time. When the list is full, the oldest quarter is dropped.
func (s *sessionStarts) add(at time.Time) {
	if len(s.unixTimes) == maxSessionStarts {
		s.unixTimes = slices.Delete(s.unixTimes, 0, maxSessionStarts/4)
	}
	s.unixTimes = append(s.unixTimes, at.Unix())
}

// on returns the starts within the 24 h from date, as times since date.
func (s *sessionStarts) on(date time.Time) []time.Duration {
	lo, _ := slices.BinarySearch(s.unixTimes, date.Unix())
	hi, _ := slices.BinarySearch(s.unixTimes, date.Add(day).Unix())
	out := make([]time.Duration, 0, hi-lo)
	for _, at := range s.unixTimes[lo:hi] {
		out = append(out, time.Unix(at, 0).Sub(date))
	}
	return out
}

// window is an interval in which a session is likely to start.
type window struct {
	from, until time.Time
	// sessionChance is the estimated probability that a session starts in the window.
	sessionChance float64
	// surge reports whether many models are expected to start sessions at about this time.
	surge bool
}

// forecast caches the predicted windows of a model for one date.
type forecast struct {
	// date is the day that the windows are predicted for; asOf is the day on which they
	// were computed.
	date    time.Time
	asOf    time.Time
	windows []window
}

// nextWindow returns the earliest predicted window, on the date of at or on the next day, that
// ends after at, starts after the model's latest request, and is worth prewarming for. It
// returns false if there is none.
func (l *Learned) nextWindow(h *modelHistory, at time.Time, loadTime, coldStartCost time.Duration) (window, bool) {
	today := at.Truncate(day)
	for _, date := range []time.Time{today, today.Add(day)} {
		for _, w := range l.windows(h, date, today) {
			if w.until.After(at) && h.lastArrival.Before(w.from) && w.worthPrewarming(loadTime, coldStartCost) {
				return w, true
			}
		}
	}
	return window{}, false
}

// worthPrewarming reports whether the expected saving of cold starts exceeds the idle time
// that prewarming for the window is expected to cost.
func (w window) worthPrewarming(loadTime, coldStartCost time.Duration) bool {
	width := w.until.Sub(w.from)
	idleTime := minLeadLoads*loadTime + w.spread()/2 + time.Duration((1-w.sessionChance/2)*float64(width))
	if w.surge {
		coldStartCost *= surgeCostFactor
	}
	return w.sessionChance*float64(coldStartCost) > float64(idleTime)
}

// windows returns the windows predicted for a date, sorted by start time, from comparable
// past days and from surges in past months. The result is cached until today is another
// day.
func (l *Learned) windows(h *modelHistory, date, today time.Time) []window {
	cached := &h.forecasts[date.Unix()/int64(day/time.Second)%2]
	if cached.date.Equal(date) && cached.asOf.Equal(today) {
		return cached.windows
	}
	l.latestForecastDate = today
	var found []window
	for _, pastDays := range [][]time.Time{previousWeeks(date), previousSimilarDays(date)} {
		for _, w := range h.sessionStarts.predictWindows(date, pastDays) {
			w.surge = l.inSurge(w, date, pastDays)
			found = append(found, w)
		}
	}
	found = append(found, l.monthlyWindows(h, date)...)
	slices.SortStableFunc(found, func(a, b window) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(b.sessionChance, a.sessionChance))
	})
	*cached = forecast{date: date, asOf: today, windows: found}
	return found
}

// previousWeeks returns the same weekday in each of the past weeksBack weeks, latest first.
func previousWeeks(date time.Time) (out []time.Time) {
	for i := 1; i <= weeksBack; i++ {
		out = append(out, date.Add(-time.Duration(7*i)*day))
	}
	return out
}

// previousSimilarDays returns the latest daysBack days of the same kind as date, working
// days or weekend days, latest first.
func previousSimilarDays(date time.Time) (out []time.Time) {
	for d := date.Add(-day); len(out) < daysBack; d = d.Add(-day) {
		if isWeekend(d) == isWeekend(date) {
			out = append(out, d)
		}
	}
	return out
}

func isWeekend(date time.Time) bool {
	return date.Weekday() == time.Saturday || date.Weekday() == time.Sunday
}

// predictWindows returns the windows of a date in which sessions started on at least two of
// the past days. Starts of different days form one window when their times of day are
// within maxStartSpread. The chance of a window grows with the share of the past days that
// have a start in it.
func (s *sessionStarts) predictWindows(date time.Time, pastDays []time.Time) []window {
	type start struct {
		at  time.Duration
		day int
	}
	var allStarts []start
	for i, d := range pastDays {
		for _, at := range s.on(d) {
			allStarts = append(allStarts, start{at: at, day: i})
		}
	}
	slices.SortStableFunc(allStarts, func(a, b start) int { return cmp.Compare(a.at, b.at) })
	var out []window
	for lo := 0; lo < len(allStarts); {
		seenDays := make(map[int]bool)
		hi := lo
		for hi < len(allStarts) && allStarts[hi].at-allStarts[lo].at <= maxStartSpread {
			seenDays[allStarts[hi].day] = true
			hi++
		}
		if len(seenDays) < 2 {
			lo++
			continue
		}
		out = append(out, window{
			from:          date.Add(allStarts[lo].at - windowMargin),
			until:         date.Add(allStarts[hi-1].at + windowMargin),
			sessionChance: (float64(len(seenDays)) + 0.5) / (float64(len(pastDays)) + 1),
		})
		lo = hi
	}
	return out
}

// leadTime returns how long before the window the prewarm load begins: minLeadLoads times
// the load time, plus an offset below w.spread(). The offset is a hash of the model ID, so
// that the loads of different models do not coincide.
func (w window) leadTime(model fleet.ModelID, loadTime time.Duration) time.Duration {
	offset := xxhash.Sum64String(string(model)) % uint64(w.spread())
	return minLeadLoads*loadTime + time.Duration(offset)
}

// spread returns the interval over which the prewarm loads for the window are spread.
func (w window) spread() time.Duration {
	if w.surge {
		return surgePrewarmSpread
	}
	return prewarmSpread
}
