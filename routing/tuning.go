package routing

import "time"

// The tuned values. Everything else is derived from the settings or observed.

// Object location and purges.
const (
	siblingHintLifetime = 5 * time.Second  // an older hint does not make a cache the source of a fill
	hintLifetime        = 15 * time.Second // of a table generation: about the life of an unused copy
	maxTableEntries     = 1 << 14          // of a table generation, and of purges: bounds memory
	purgeMargin         = time.Second      // for which a purge is remembered after it has reached all caches
	maxRetentionRank    = 2                // seen once, an object must not displace what is asked for again
)

// Timers and retries.
const (
	tickInterval             = 50 * time.Millisecond // of checks: well under any latency objective
	minPostponement          = 50 * time.Millisecond // before a request that no server takes is tried again
	maxPostponementDoublings = 5
	windowSafetyMargin       = 50 * time.Millisecond // of an idempotency window, left for network delay
	logInterval              = time.Second
	sweepInterval            = time.Second
)

// Outlier ejection.
const (
	quickFailure    = 200 * time.Millisecond // a source that fails faster is down; slower: may be overloaded
	slowFailures    = 3                      // slow failures in a row after which a source is ejected
	initialEjection = 500 * time.Millisecond // doubles up to maxEjection while half-open probes fail
	maxEjection     = 4 * time.Second        // bounds how late a recovery is noticed
)

// Hedging: a lost read is sent to its cache again.
const (
	hedgeObjectiveFraction = 0.15 // part of the objective after which an attempt is overdue
	hedgeLatencyFactor     = 1.5  // and times its expected latency, on top
	hedgeTokensPerRequest  = 0.02 // hedges must not double an overload
	hedgeTokensPerWin      = 2.0  // for each hedge that brought the answer: the next may be lost, too
	maxHedgeTokens         = 8.0
	maxHedgesPerRequest    = 2
)

// Concurrency limits.
const (
	initialLimitTransfers = 24.0 // transfers of all directors from which a limit first comes down
	maxLimitLoadFactor    = 2.0  // or this times the load, where that is more
	minLimitTransfers     = 2.0  // mean transfers of the largest class left to all directors together
	limitFitFraction      = 0.3  // part of the load beside which all were in time that a limit leaves
	hitLimitHeadroom      = 3.0  // times its limit by which hits may exceed a cache's limit
	spilloverLoadFraction = 0.6  // part of its limit up to which a cache takes objects of other caches
)

// Slow start.
const (
	slowStartBudgetFraction  = 0.5 // part of the budget that is used: a margin for chance
	unknownCapacityTransfers = 0.5 // assumed capacity of a server of unknown size, for all directors
	recentWorkTimeConstant   = 4 * time.Second
)

// Transfer time and latency.
const (
	initialWorkFraction      = 0.25    // part of the objective that a transfer is first assumed to take
	latencyRatioSampleWeight = 1.0 / 6 // of a new sample: some seconds of traffic
	latencyRatioDecay        = 0.9     // part of a ratio left after a second: an avoided cache is tried again
	latencyRatioTolerance    = 0.7     // log ratio over that of the faster third that is taken for chance
	latencyRatioPenalty      = 2.0     // power by which the ratio lowers a weight
	minLatencySample         = 1e-3    // seconds
)
