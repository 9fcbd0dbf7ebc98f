package routing

import "time"

// Tuning constants. All other parameters come from the settings or from observation.

// Object location and purges.
const (
	siblingHintLifetime = 5 * time.Second // maximum age of a hint that makes a cache the source of a fill

	// hintLifetime is the maximum age of any hint and of a generation of the location table. A cache keeps an
	// unused copy for about the same time.
	hintLifetime = 15 * time.Second

	maxTableEntries = 1 << 14 // maximum number of entries of a table generation, and of purges, to bound memory

	// purgeMargin is the time for which a purge is kept after it has reached all caches and the hints from before the
	// purge are older than siblingHintLifetime.
	purgeMargin = time.Second

	// maxRetentionRank is the highest Fetch.RetentionRank. It is above 1 because an object requested once, with rank 1,
	// must not displace objects requested again.
	maxRetentionRank = 2
)

// Timers and retries.
const (
	tickInterval    = 50 * time.Millisecond // time between two runs of handleTick: well below any latency objective
	minPostponement = 50 * time.Millisecond // shortest wait before a request that no server accepts is retried

	maxPostponementDoublings = 5 // maximum number of times that minPostponement is doubled

	windowSafetyMargin = 50 * time.Millisecond // end of a deduplication window left unused: margin for network delay
	logInterval        = time.Second           // minimum time between two messages of logf
	sweepInterval      = time.Second           // time between two runs of sweep, which decays and expires stored state
)

// Outlier ejection.
const (
	// fastFailureThreshold is the time within which a failure suggests that the server is down. A slower failure
	// suggests that the server is perhaps only overloaded.
	fastFailureThreshold = 200 * time.Millisecond

	slowFailureLimit = 3 // consecutive failures after which a source that fails slowly is ejected

	// initialEjection is the time from an ejection to the first half-open probe. Each failed probe doubles the time to
	// the next one, up to maxEjection, which bounds the delay until a recovery is noticed.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
)

// Hedging: if the answer to a read-like attempt is likely lost, another attempt is sent to the same cache. The new
// attempt asks only for a cached copy.
const (
	// An attempt is overdue after hedgeObjectiveFraction of the latency objective of its class plus hedgeLatencyFactor
	// times the time that seemsLost expects the attempt to take.
	hedgeObjectiveFraction = 0.15
	hedgeLatencyFactor     = 1.5

	hedgeTokensPerRequest = 0.02 // tokens added by a request: few, so that hedges do not double an overload
	hedgeTokensPerWin     = 2.0  // tokens added by a hedge that got the answer: they pay for the hedge and another one
	maxHedgeTokens        = 8.0  // maximum number of tokens that are saved up
	maxHedgesPerRequest   = 2
)

// Concurrency limits.
const (
	// A decrease starts from the present limit or from a ceiling, whichever is lower. The ceiling is the larger of
	// initialLimitTransfers times the attempt's work, divided by the number of directors that share the server, and
	// maxLimitLoadFactor times the present load.
	initialLimitTransfers = 24.0
	maxLimitLoadFactor    = 2.0

	// minLimitTransfers is the lowest limit of a server, for all directors that share the server together, in mean
	// transfers of the class with the longest mean transfer time.
	minLimitTransfers = 2.0

	// limitFitFraction is a fraction of the load at which an answer would have been timely. lowerLimit does not lower a
	// limit below this fraction of the load.
	limitFitFraction = 0.3

	hitLimitHeadroom      = 3.0 // multiple of a cache's limit by which likely hits may exceed the limit
	spilloverLoadFraction = 0.6 // fraction of its limit and link capacity up to which a cache accepts spillover
)

// Slow start.
const (
	// slowStartBudgetFraction limits slowStartRate to a fraction of the load that a server can handle. The rest of the
	// load is a margin for random peaks.
	slowStartBudgetFraction = 0.5

	// unknownCapacityTransfers is the minimum capacity that is assumed for a server of unknown capacity, in
	// simultaneous transfers of all directors together.
	unknownCapacityTransfers = 0.5

	recentWorkTimeConstant = 4 * time.Second // time constant of the exponential decay of serverState.recentWork
)

// Transfer time and latency.
const (
	initialWorkFraction = 0.25 // mean transfer time that is assumed at first, as a fraction of the latency objective

	// latencyRatioSampleWeight is the weight of a new sample in the running mean logLatencyRatio. With this weight, the
	// mean covers some seconds of traffic.
	latencyRatioSampleWeight = 1.0 / 6

	// latencyRatioDecay is the factor by which each sweep multiplies logLatencyRatio, so that a slow cache gets
	// attempts again.
	latencyRatioDecay = 0.9

	latencyRatioTolerance = 0.7 // excess of logLatencyRatio over the baseline that counts as random variation

	// latencyRatioPenalty is the power of the excess latency ratio by which effectiveWeight divides a weight.
	latencyRatioPenalty = 2.0

	minLatencySample = 1e-3 // lower bound of the time in a latency sample, in seconds
)
