package routing

import (
	"math/rand/v2"
	"time"

	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
)

// The state of a Router. This file has no functions.

// Router makes the routing decisions of one director. It is not safe for concurrent use.
type Router struct {
	settings Settings
	rng      *rand.Rand
	now      Time     // time of the event being handled
	actions  []Action // actions for the event being handled
	started  bool     // the first event has been handled

	servers        map[Host]*serverState
	orderedServers []*serverState // all servers sorted by Host, for loops: the order of a map is random
	localCaches    []*serverState // the ready caches of the director's own zone
	upstreams      []*serverState // the ready parents and the origin

	requests        map[uint32]*requestState // by request ID
	attempts        map[uint64]*attemptState // in flight, by attemptKey
	awaitingPeers   []*requestState          // requests with a location query; some may have ended
	lowerIDPeerSeen bool                     // a director of this zone with a lower ID has sent a message

	// Content location, in two generations so that unused entries expire.
	currentLocations  map[objectKey]*contentLocation
	previousLocations map[objectKey]*contentLocation
	rotatedAt         Time
	purges            map[purgeKey]purgeRecord

	classes                 []classStats
	longestObjective        float64       // of all classes, seconds; minimum transfer time in startWarmingUp
	baselineLogLatencyRatio float64       // 1/3 quantile of logLatencyRatio of the local caches
	originFillWait          overload.Mean // wait of fills by the origin for the first byte, seconds

	originShield    *overload.OriginShield
	retryBudget     overload.RetryBudget
	probeBeforeFill overload.ProbeBeforeFill
	hedgeTokens     float64             // one is spent for each hedge
	sites           *sitehealth.Monitor // health of whole sites

	sweptAt   Time // last sweep
	nextLogAt Time // earliest time of the next log message of logf
}

// Tokens of timers.
const (
	tickTimer = iota
	resubscribeTimer
	requestTimer = 1 << 32 // with the request ID in the low 32 bits
)

// tier is the position of a server between clients and origin.
type tier uint8

const (
	edgeTier tier = iota
	parentTier
	originTier
)

// serverState holds what the Router knows about one server.
type serverState struct {
	Endpoint
	tier             tier
	weightIsCapacity bool    // Weight is the capacity of the server in simultaneous transfers
	listed           bool    // the endpoint list contains it, not as Gone
	sharingDirectors float64 // number of directors that share the server
	siteMember       *sitehealth.Member
	rankScore        float64 // for the object of the current request; the highest score is tried first

	asTarget, asSource roleLoad
	totalInFlightWork  float64 // of all attempts with this server as target, fills included
	lastAnswerAsTarget Time
	lastAnswerAsSource Time
	invalidatedAt      Time    // earlier location hints to this server are invalid
	logLatencyRatio    float64 // running mean of the natural log of actual latency over expected latency
	recentWork         float64 // decaying sum of the work done for this director, as of recentWorkAt
	recentWorkAt       Time
	failedFills        overload.FailureStreak // as source, since its last answer as source

	// Outlier ejection with a half-open probe, as in a circuit breaker.
	ejected         bool
	ejectedAt       Time
	probeAfter      Time // earliest time of the next half-open probe
	probing         bool // a half-open probe is in flight
	ejectionBackoff time.Duration

	// Slow start.
	warmingUpSince    Time // start of the incarnation that is warming up; 0: the server is warm
	slowStartDuration time.Duration
	slowStartFraction float64              // fraction of its capacity that the server has at its start
	overloadMultiple  float64              // multiple of its present capacity at which the server breaks down
	slowStartBucket   overload.TokenBucket // in seconds of transfer time
}

// roleLoad is the load of a server in one of its two roles, as target or as source.
type roleLoad struct {
	inFlight []*attemptState
	// inFlightWork is the work of the attempts that attributedTo assigns to this role, in seconds of transfer
	// time: likely hits for a target, likely fills for a source.
	inFlightWork     float64
	concurrencyLimit overload.ConcurrencyLimit  // limit of inFlightWork
	lastHitLate      overload.RecentObservation // whether the latest hit was late or failed
	lastTimelySentAt Time                       // latest sentAt of the attempts that were answered in time
}

// attemptState holds the state of one attempt of a request.
type attemptState struct {
	requestID          uint32
	number, class      int
	target             *serverState
	source             *serverState // server that a miss is filled from; nil: none
	sentAt             Time
	work               float64       // seconds of transfer time that count towards budgets and limits
	declaredWork       float64       // transfer time of the declared size; equal to work if no size is declared
	inFlightWorkAtSend float64       // inFlightWork of the role after this attempt was added
	expectedLatency    time.Duration // typical latency of an attempt with this work
	latencyObjective   time.Duration // maximum latency of a timely answer
	nextSampleAfter    time.Duration // time in flight until the next latency sample; 0: not sampled yet
	halfOpenProbe      bool          // the target or the source was ejected when the attempt was sent
	likelyFill         bool          // the target probably fills from the source
	inFlight           bool          // its Outcome has not been received
	mayHaveExecuted    bool          // false if it is certain that no server has executed the attempt
	cancelRequested    bool          // a Cancel has been emitted
}

// requestState holds the state of a request that has not been answered.
type requestState struct {
	Request
	receivedAt    Time
	uncacheable   bool
	declaredWork  float64 // seconds of transfer time for the declared size; 0: the size is not known
	location      *contentLocation
	attempts      []*attemptState
	inFlight      int // attempts without an outcome
	hedges        int
	streaming     bool // the answer to the client has begun: no further attempts
	waiting       bool // postponed, or waiting for a reply from peers
	postponements int

	minSourceTier tier           // lowest tier that may be the source; raiseSourceTier raises it
	avoidTargets  []*serverState // targets at which an attempt has failed
	// triedOnlyIfCached is set by the request for a cached copy that is sent as a last resort (fetchOnlyIfCached),
	// and by a miss of a request for a cached copy if the cache reported that a fill is in progress. Once it is
	// set, no further request is sent as a last resort: the search ends at the first cache that cannot fill.
	triedOnlyIfCached bool
	// onlyIfCachedCount is 0, or overload.MaxProbes after a miss without a fill in progress. MaxProbes forbids
	// further probes before a fill, because there is no fill of another request to wait for. It also forbids a
	// request for a cached copy as a last resort, unless a stale copy may be served.
	onlyIfCachedCount int
	shieldDecided     bool // shielded has been decided
	shielded          bool // no fill from the origin
	askedPeers        bool // a location query has been sent
	remoteSource      Host // cache of another zone, named by a peer; 0: none

	idempotencyWindowEnd Time // time by which the next attempt must have been written; 0: no bound
}

// objectKey identifies a part of an object.
type objectKey struct {
	object uint64
	part   int
}

// contentLocation is the entry of the location table for one part of an object.
type contentLocation struct {
	hints [2]locationHint // latest first
	uses  int             // number of requests and location queries for the part
}

// locationHint records that a cache has answered a request for an object and so likely holds a copy.
type locationHint struct {
	server     *serverState
	answeredAt Time
}

// purgeKey identifies what a purge covers: an object, or a group by its index plus 1. The zero value covers
// all objects.
type purgeKey struct {
	object uint64
	group  int
}

// purgeRecord holds the time of a purge and the time at which the director was notified of it.
type purgeRecord struct{ purgedAt, notifiedAt Time }

// classStats holds the running means of the transfer time and of the latency of a class, in seconds.
type classStats struct{ work, latency overload.Mean }
