package trace

import (
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

const day = 24 * time.Hour

// site is a deployment of the size of today.
type site struct {
	name       string
	deployment record.Deployment
	domains    []fleet.FailureDomain
	endpoints  int
	models     int
	adapters   int
	kinds      []record.Kind
	// opens is the time of day at which a busy day's burst begins.
	openingTime time.Duration
	// busy tells the days with a burst.
	busyDay func(date time.Time) bool
	// weekend is the share of an ordinary day's work done on Saturday and Sunday.
	weekendFactor float64
}

var association = site{
	name:       "association",
	deployment: record.Deployment{TailWeight: 0.8, LoadsPerSecond: 3, LoadsAtOnce: 4},
	domains:    []fleet.FailureDomain{"derby", "leicester", "nottingham"},
	endpoints:  12,
	models:     65,
	adapters:   75,
	kinds: []record.Kind{
		{ID: "notice", Urgency: 5, Patience: 90 * time.Second},
		{ID: "question", Urgency: 3, Patience: 60 * time.Second, Idempotent: true},
		{ID: "booking", Urgency: 4, Patience: 30 * time.Second, Idempotent: true},
	},
	openingTime:   8 * time.Hour,
	busyDay:       func(date time.Time) bool { return date.Weekday() == time.Saturday },
	weekendFactor: 0.5,
}

var karaburun = site{
	name:       "karaburun",
	deployment: record.Deployment{TailWeight: 0.2, LoadsPerSecond: 2, LoadsAtOnce: 4},
	domains:    []fleet.FailureDomain{"ikitelli", "umraniye", "gebze"},
	endpoints:  9,
	models:     50,
	adapters:   40,
	kinds: []record.Kind{
		{ID: "mandate", Urgency: 5, Patience: 60 * time.Second},
		{ID: "rejection", Urgency: 4, Patience: 45 * time.Second, Idempotent: true},
		{ID: "branch", Urgency: 3, Patience: 90 * time.Second, Idempotent: true},
	},
	openingTime:   9 * time.Hour,
	busyDay:       func(date time.Time) bool { return date.Day() == 1 || date.Day() == 15 },
	weekendFactor: 0.1,
}

// habit is how a model is used.
type usagePattern struct {
	// share of the models that have the habit.
	share float64
	// sessions on an ordinary working day, at any time of the working hours.
	sessionsPerDay float64
	// timed is the chance of a session at the model's own time of day.
	scheduled float64
	// burst is the chance of taking part in the opening of a busy day.
	burst float64
}

// habits of models, from steadily used ones to dormant ones.
var usagePatterns = []usagePattern{
	{share: 0.12, sessionsPerDay: 25, burst: 0.95},
	{share: 0.46, sessionsPerDay: 1.5, burst: 0.75},
	{share: 0.24, sessionsPerDay: 0.3, scheduled: 0.9, burst: 0.6},
	{share: 0.18, sessionsPerDay: 0.1, burst: 0.3},
}

const (
	// workBegins and workEnds bound the working hours.
	workdayStart = 8 * time.Hour
	workdayEnd   = 18 * time.Hour
	// busyFactor multiplies the sessions of a busy day.
	busyDayFactor = 2
	// burstSpread is the mean time from the opening to a model's first request.
	meanBurstDelay = 30 * time.Second
	// burstRequests is the mean of the requests with which a model is woken.
	meanBurstRequests = 4
	// burstWithin bounds the time between them.
	maxBurstDuration = 5 * time.Second
	// timedSpread is the standard deviation of a timed session's start.
	scheduledSpread = time.Minute
	// sessionRequests is the mean of the requests in a session.
	meanSessionRequests = 5
	// sessionGap and sessionGapSpread are the median and the logarithmic
	// standard deviation of the time between the requests of a session.
	medianSessionGap = 40 * time.Second
	sessionGapSigma  = 0.9
	// sessionGapMost bounds that time.
	maxSessionGap = 8 * time.Minute
	// historyDays is how long before the trace the history begins; it holds
	// four Saturdays and two salary days.
	historyDays = 35
)
