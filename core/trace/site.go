package trace

import (
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

const day = 24 * time.Hour

// site describes a deployment and its workload. The sites below have the size of the
// deployments of today.
type site struct {
	name           string
	deployment     record.Deployment
	failureDomains []fleet.FailureDomain
	// endpointCount, modelCount and adapterCount are the numbers of endpoints, models and
	// adapters to generate.
	endpointCount int
	modelCount    int
	adapterCount  int
	kinds         []record.Kind
	// openingTime is the time of day, in UTC, at which the burst of a busy day begins.
	openingTime time.Duration
	// busyDay reports whether there is a burst on the date.
	busyDay func(date time.Time) bool
	// weekendFactor multiplies the sessions, scheduled ones included, on Saturdays and
	// Sundays that are not busy days.
	weekendFactor float64
}

// association has a burst every Saturday.
var association = site{
	name:           "association",
	deployment:     record.Deployment{TailWeight: 0.8, LoadsPerSecond: 3, LoadsAtOnce: 4},
	failureDomains: []fleet.FailureDomain{"derby", "leicester", "nottingham"},
	endpointCount:  12,
	modelCount:     65,
	adapterCount:   75,
	kinds: []record.Kind{
		{ID: "notice", Urgency: 5, Patience: 90 * time.Second},
		{ID: "question", Urgency: 3, Patience: 60 * time.Second, Idempotent: true},
		{ID: "booking", Urgency: 4, Patience: 30 * time.Second, Idempotent: true},
	},
	openingTime:   8 * time.Hour,
	busyDay:       func(date time.Time) bool { return date.Weekday() == time.Saturday },
	weekendFactor: 0.5,
}

// karaburun has a burst on salary days, the 1st and 15th of each month.
var karaburun = site{
	name:           "karaburun",
	deployment:     record.Deployment{TailWeight: 0.2, LoadsPerSecond: 2, LoadsAtOnce: 4},
	failureDomains: []fleet.FailureDomain{"ikitelli", "umraniye", "gebze"},
	endpointCount:  9,
	modelCount:     50,
	adapterCount:   40,
	kinds: []record.Kind{
		{ID: "mandate", Urgency: 5, Patience: 60 * time.Second},
		{ID: "rejection", Urgency: 4, Patience: 45 * time.Second, Idempotent: true},
		{ID: "branch", Urgency: 3, Patience: 90 * time.Second, Idempotent: true},
	},
	openingTime:   9 * time.Hour,
	busyDay:       func(date time.Time) bool { return date.Day() == 1 || date.Day() == 15 },
	weekendFactor: 0.1,
}

// usagePattern describes how a model is used.
type usagePattern struct {
	// modelShare is the fraction of the models that have this pattern.
	modelShare float64
	// sessionsPerDay is the mean number of sessions on an ordinary working day, at random
	// times of the working hours.
	sessionsPerDay float64
	// scheduledChance is the probability of one more session a day, at the model's own time of day.
	scheduledChance float64
	// burstChance is the probability that the model takes part in the burst of a busy day.
	burstChance float64
}

// usagePatterns are the patterns, from constantly to rarely used models. The shares add up
// to 1.
var usagePatterns = []usagePattern{
	{modelShare: 0.12, sessionsPerDay: 25, burstChance: 0.95},
	{modelShare: 0.46, sessionsPerDay: 1.5, burstChance: 0.75},
	{modelShare: 0.24, sessionsPerDay: 0.3, scheduledChance: 0.9, burstChance: 0.6},
	{modelShare: 0.18, sessionsPerDay: 0.1, burstChance: 0.3},
}

const (
	// workdayStart and workdayEnd are the times of day, in UTC, at which the working hours
	// begin and end.
	workdayStart = 8 * time.Hour
	workdayEnd   = 18 * time.Hour
	// busyDayFactor multiplies the sessions on a busy day, except scheduled ones.
	busyDayFactor = 2
	// meanBurstDelay is the mean time from the opening to a model's first request in a
	// burst.
	meanBurstDelay = 30 * time.Second
	// meanBurstRequests is the mean number of requests for a model at the start of its
	// burst.
	meanBurstRequests = 4
	// maxBurstDuration limits the time over which the requests for one model in a burst
	// arrive.
	maxBurstDuration = 5 * time.Second
	// scheduledSpread is the standard deviation of the start of a scheduled session.
	scheduledSpread = time.Minute
	// meanSessionRequests is the mean number of requests in a session.
	meanSessionRequests = 5
	// medianSessionGap and sessionGapSigma are the parameters of the log-normal
	// distribution of the gaps between the requests of a session: the median, and the
	// standard deviation of the logarithm.
	medianSessionGap = 40 * time.Second
	sessionGapSigma  = 0.9
	// maxSessionGap limits the gaps between the requests of a session.
	maxSessionGap = 8 * time.Minute
	// historyDays is how many days before the trace the history begins. It is long enough
	// for four Saturdays and two salary days (see karaburun), on which the sites have bursts.
	historyDays = 35
)
