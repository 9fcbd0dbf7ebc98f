package routing

import "time"

// Tuning constants. All other parameters come from the settings or from observation.

// Object location and purges.
const (
	siblingHintLifetime = 5 * time.Second  // maximum age of a hint that makes a cache the source of a fill
	hintLifetime        = 15 * time.Second // maximum age of a hint or table generation: about that of an unused copy
	maxTableEntries     = 1 << 14          // entries in a table generation, and purges: bounds memory
	purgeMargin         = time.Second      // time for which a purge is kept after it has reached all caches
	maxRetentionRank    = 2                // an object requested once must not displace objects requested again
)

// Timers and retries.
const (
	tickInterval             = 50 * time.Millisecond // between two checks: well below any latency objective
	minPostponement          = 50 * time.Millisecond // shortest wait before a request that no server accepts is retried
	maxPostponementDoublings = 5                     // of minPostponement
	windowSafetyMargin       = 50 * time.Millisecond // part of an idempotency window kept for network delay
	logInterval              = time.Second           // minimum time between two messages of logf
	sweepInterval            = time.Second           // between two expiries of stored state
)

// Outlier ejection.
const (
	// fastFailureThreshold is the time within which a failure suggests that the server is down. A slower failure
	// suggests that the server is perhaps only overloaded.
	fastFailureThreshold = 200 * time.Millisecond

	slowFailureLimit = 3                      // failures in a row that eject a slowly failing source
	initialEjection  = 500 * time.Millisecond // doubles up to maxEjection while half-open probes fail
	maxEjection      = 4 * time.Second        // bounds the delay until a recovery is noticed
)

// Hedging: if the answer to a read-like attempt is likely lost, another attempt is sent to the same cache. The new
// attempt asks only for a cached copy.
const (
	// An attempt is overdue after hedgeObjectiveFraction of its latency objective plus hedgeLatencyFactor times its
	// expected latency.
	hedgeObjectiveFraction = 0.15
	hedgeLatencyFactor     = 1.5

	hedgeTokensPerRequest = 0.02 // few, so that hedges do not double an overload
	hedgeTokensPerWin     = 2.0  // for a hedge that got the answer: pays for the hedge and for another one
	maxHedgeTokens        = 8.0
	maxHedgesPerRequest   = 2
)

// Concurrency limits.
const (
	// A decrease lowers the present limit or, if that is lower, a ceiling. The ceiling is the larger of
	// initialLimitTransfers times the attempt's work, divided by the number of directors that share the server, and
	// maxLimitLoadFactor times the present load.
	initialLimitTransfers = 24.0
	maxLimitLoadFactor    = 2.0

	minLimitTransfers     = 2.0 // lowest limit, in mean transfers of the largest class, of all directors
	limitFitFraction      = 0.3 // fraction of the load with timely answers that a decreased limit leaves
	hitLimitHeadroom      = 3.0 // multiple of a cache's limit by which likely hits may exceed it
	spilloverLoadFraction = 0.6 // fraction of its limits up to which a cache accepts spillover
)

// Slow start.
const (
	slowStartBudgetFraction  = 0.5             // fraction of the budget that is used: a margin for random peaks
	unknownCapacityTransfers = 0.5             // minimum capacity assumed where it is not known, for all directors
	recentWorkTimeConstant   = 4 * time.Second // of the exponential decay of recent work
)

// Transfer time and latency.
const (
	initialWorkFraction      = 0.25    // fraction of the objective that a transfer is assumed to take at first
	latencyRatioSampleWeight = 1.0 / 6 // of a new sample: the mean covers some seconds of traffic
	latencyRatioDecay        = 0.9     // per sweep, of a cache's log ratio, so that a slow cache gets attempts again
	latencyRatioTolerance    = 0.7     // excess over the baseline log ratio that counts as random variation
	latencyRatioPenalty      = 2.0     // exponent with which the excess ratio lowers a weight
	minLatencySample         = 1e-3    // seconds: lower bound of a latency sample
)
