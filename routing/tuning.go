package routing

import (
	"time"
)

// The tuned values. Everything else is derived from the settings or observed.

// Tuned values. Everything else is derived from the settings or observed.
const (
	siblingHintLifetime      = 5 * time.Second        // a holder older is not believed (design page's default)
	maxTableEntries          = 1 << 14                // most entries of a table generation, most purges: bounds memory
	hintLifetime             = 15 * time.Second       // age of a table generation: about the life of an unused copy
	tickInterval             = 50 * time.Millisecond  // how often what is out is looked at: well under any aim
	quickFailure             = 200 * time.Millisecond // a source not reached in less is down; in more, perhaps crowded
	initialEjection          = 500 * time.Millisecond // first ejection; doubles up to ejectMost while looks fail
	maxEjection              = 4 * time.Second        // bounds how late a recovery is noticed
	minPostponement          = 50 * time.Millisecond  // wait before a request with no permitted target is tried again
	hedgeObjectiveFraction   = 0.15                   // part of its aim after which what is lost is asked for again
	hedgeLatencyFactor       = 1.5                    // and times what the cache takes by its present pace, on top
	hedgeTokensPerRequest    = 0.02                   // copies for each request: a crowd must not double itself
	hedgeTokensPerWin        = 2.0                    // copies for each that brought the answer: the next may be lost too
	maxHedgeTokens           = 8.0                    // copies that may be saved up
	maxHedgesPerRequest      = 2                      // copies of one request
	initialLimitTransfers    = 24.0                   // sendings of all routers from which a limit first comes down
	hitLimitHeadroom         = 3.0                    // times its limit that hits may go beyond a cache's limit
	spilloverLoadFraction    = 0.6                    // part of its limit up to which a cache takes others' objects
	maxLimitLoadFactor       = 2.0                    // or this times the work out, where that is more
	minLimitTransfers        = 2.0                    // mean sendings of the largest class left to all routers together
	limitFitFraction         = 0.3                    // part of the work beside which all were in time that a limit leaves
	slowStartBudgetFraction  = 0.5                    // part of the cold budget we use: margin for chance
	unknownCapacityTransfers = 0.5                    // transfers a host of unknown size is taken to carry for us alone
	initialWorkFraction      = 0.25                   // part of an aim that sending is taken for before any is seen
	latencyRatioSampleWeight = 1.0 / 6                // weight of a new sample of a cache's pace: some seconds of traffic
	latencyRatioDecay        = 0.9                    // part of a pace left after a second: a shunned cache is tried
	latencyRatioTolerance    = 0.7                    // pace, over that of the faster third, that is taken for chance
	latencyRatioPenalty      = 2.0                    // power by which pace lowers a weight: late answers earn little
	recentWorkTimeConstant   = 4 * time.Second        // time constant of the work a host carries for us
	windowSafetyMargin       = 50 * time.Millisecond  // of a window for repeats that is left for the way: the rules' slack
)
