package routing

import (
	"math/rand/v2"
	"time"

	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
)

// Types of what a router remembers. Nothing is computed or decided in this file.

// Router decides for one director. It is not safe for concurrent use.
type Router struct {
	settings Settings
	rng      *rand.Rand
	now      Time     // of the event that is handled
	actions  []Action // that answer it
	started  bool

	servers        map[Host]*serverState
	orderedServers []*serverState // all servers by address: loops must not follow the order of the map
	localCaches    []*serverState // the ready caches of the own zone
	upstreams      []*serverState // the ready parents and the origin

	requests      map[uint32]*requestState
	attempts      map[uint64]*attemptState // by attemptKey
	awaitingPeers []*requestState          // that wait for an answer of directors of other zones
	lowerPeerSeen bool                     // a director of this zone with a lower number has been heard of

	// Content location: two generations, so that unused entries age out.
	currentLocations  map[objectKey]*contentLocation
	previousLocations map[objectKey]*contentLocation
	rotatedAt         Time
	purges            map[purgeKey]purgeRecord

	classes                 []classStats
	longestObjective        float64       // seconds: what a transfer may take while none was seen
	baselineLogLatencyRatio float64       // of the fastest third of the local caches
	originFillWait          overload.Mean // seconds that fills by the origin wait for their first byte

	originShield    *overload.OriginShield
	retryBudget     overload.RetryBudget
	probeBeforeFill overload.ProbeBeforeFill
	hedgeTokens     float64
	sites           *sitehealth.Monitor // health of whole sites

	sweptAt   Time
	nextLogAt Time
}

// Tokens of timers.
const (
	tickTimer = iota
	resubscribeTimer
	requestTimer = 1 << 32 // with the request's ID in the lower half
)

// tier is a server's place between clients and origin.
type tier uint8

const (
	edgeTier tier = iota
	parentTier
	originTier
)

// serverState is what the router knows of one server.
type serverState struct {
	Endpoint
	tier             tier
	weightIsCapacity bool // Weight is its capacity in transfers
	listed           bool // in the endpoint list and not gone
	sharingDirectors float64
	siteMember       *sitehealth.Member
	rankScore        float64 // for the object of the current request: best highest

	asTarget, asSource roleLoad
	totalInFlightWork  float64 // of all attempts to it as target, fills included
	lastAnswerAsTarget Time
	lastAnswerAsSource Time
	invalidatedAt      Time    // what the location table says of it from before is void
	logLatencyRatio    float64 // natural log of actual over expected latency, a running mean
	recentWork         float64 // done for this director, decaying; right at recentWorkAt
	recentWorkAt       Time
	failedFills        overload.FailureStreak // since it last answered as source

	// Outlier ejection with a half-open probe, as in a circuit breaker.
	ejected         bool
	ejectedAt       Time
	probeAfter      Time // no half-open probe before
	probing         bool // one is in flight
	ejectionBackoff time.Duration

	// Slow start.
	warmingUpSince    Time // start of its incarnation; 0: warm
	slowStartDuration time.Duration
	slowStartFraction float64              // part of its capacity at the start
	overloadMultiple  float64              // of its present capacity, at which it breaks down
	slowStartBucket   overload.TokenBucket // token bucket, in seconds of transfer time
}

// roleLoad is the load of a server in one of its two roles, as target or as source.
type roleLoad struct {
	inFlight []*attemptState
	// seconds of transfer time: hits for a target, likely fills for a source
	inFlightWork     float64
	concurrencyLimit overload.ConcurrencyLimit  // of inFlightWork
	lastHitLate      overload.RecentObservation // whether its latest hit was late, or failed
	lastTimelySentAt Time                       // when the latest attempt was sent that was answered in time
}

// attemptState is one attempt of a request.
type attemptState struct {
	requestID          uint32
	number, class      int
	target             *serverState
	source             *serverState // nil: none
	sentAt             Time
	work               float64       // seconds of transfer time, as budgets and limits count it
	declaredWork       float64       // the same by the size that the client declared, if any
	inFlightWorkAtSend float64       // of its role, this attempt included
	expectedLatency    time.Duration // typical time to an answer
	latencyObjective   time.Duration // time to an answer that counts as timely
	nextSampleAfter    time.Duration // time in flight at which it is next sampled; 0: never was
	halfOpenProbe      bool          // asks an ejected target or source for a cached copy only
	likelyFill         bool
	inFlight           bool
	mayHaveExecuted    bool // not proven never to have executed
	cancelRequested    bool
}

// requestState is a request that is owed an answer.
type requestState struct {
	Request
	receivedAt    Time
	uncacheable   bool
	declaredWork  float64 // seconds of transfer time; 0: the size is not known
	location      *contentLocation
	attempts      []*attemptState
	inFlight      int // attempts without an outcome
	hedges        int
	streaming     bool // its answer has begun: no further attempts
	waiting       bool // postponed, or waiting for peers
	postponements int

	minSourceTier     tier // lowest tier that may be its source: a miss or rejection moves it up
	avoidTargets      []*serverState
	triedOnlyIfCached bool // the last resort where all sources are at their limits
	onlyIfCachedCount int  // probes before a fill; overload.MaxProbes: enough
	shieldDecided     bool // whether the origin shield applies has been drawn
	shielded          bool // it does: no fill from the origin
	askedPeers        bool
	remoteSource      Host // the cache of another zone that a peer named; 0: none

	idempotencyWindowEnd Time // by when its next attempt must have been written; 0: no bound
}

// objectKey names a part of an object.
type objectKey struct {
	object uint64
	part   int
}

// contentLocation is what the location table says of one part of an object.
type contentLocation struct {
	hints [2]locationHint // latest first
	uses  int
}

// locationHint tells that a cache answered with the object, so that it likely holds a copy.
type locationHint struct {
	server     *serverState
	answeredAt Time
}

// purgeKey names an object, or a group counted from 1. Its zero names everything.
type purgeKey struct {
	object uint64
	group  int
}

type purgeRecord struct{ purgedAt, notifiedAt Time }

// classStats are running means of a class, in seconds: transfer time, and time to an answer.
type classStats struct{ work, latency overload.Mean }
