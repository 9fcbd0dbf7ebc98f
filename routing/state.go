package routing

import (
	"math/rand/v2"
	"time"

	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
)

// Types of what a router remembers. Nothing is computed or decided here.

// Tokens of timers.
const (
	tickTimer = iota
	resubscribeTimer
	requestTimer = 1 << 32 // with the request's id in the lower half
)

type tier uint8

const (
	edgeTier tier = iota
	parentTier
	originTier
)

// serverState is what we know of one member.
type serverState struct {
	Endpoint
	tier                                   tier
	weightIsCapacity                       bool                   // its weight stands for its capacity in transfers
	listed                                 bool                   // in the list and not gone
	siteMember                             *sitehealth.Member     // what its site makes of it
	rankScore                              float64                // rank: by hash and weight, best highest
	asTarget, asSource                     roleLoad               // with it as target, and as source
	ejected, probing                       bool                   // out of use; a look is out
	ejectedAt, probeAfter                  Time                   // ejected: since when; no look before
	invalidatedAt                          Time                   // what the table says of its holdings from before is void
	failedFills                            overload.FailureStreak // fills from it that failed since its last sign of life
	lastAnswerAsTarget, lastAnswerAsSource Time                   // its last answer as target, and as source
	ejectionBackoff                        time.Duration
	logLatencyRatio                        float64 // logarithm of answer times over what they should be, a running mean
	sharingDirectors                       float64 // routers that may send to it
	slowStartFraction, overloadMultiple    float64 // share of its capacity at a cold start; times of it at which it falls over
	slowStartDuration                      time.Duration
	warmingUpSince                         Time                 // start of a cold life, as listed or as supposed; 0: warm
	totalInFlightWork                      float64              // seconds of sending out at it as target
	slowStartBucket                        overload.TokenBucket // seconds of sending: cold budget in use
	recentWork                             float64              // and lately done for us
	recentWorkAt                           Time
}

// roleLoad is a server in one of its two parts, as target or as source.
type roleLoad struct {
	inFlight         []*attemptState
	lastHitLate      overload.RecentObservation // its latest hit was late, or has failed
	lastTimelySentAt Time                       // when the latest attempt was sent that came in time, over the whole way
	inFlightWork     float64                    // seconds of sending out and bound for it: hits for a target, likely fills for a source
	concurrencyLimit overload.ConcurrencyLimit  // of that
}

// attemptState is one try of a request.
type attemptState struct {
	requestID                         uint32
	number, class                     int
	target, source                    *serverState // source nil: none
	sentAt                            Time
	inFlightWorkAtSend                float64       // out on its side when it was sent, with it
	work, declaredWork                float64       // seconds of sending: as budgets and limits count it, and as told
	expectedLatency, latencyObjective time.Duration // to an answer: as a rule; in time for its full worth
	nextSampleAfter                   time.Duration // its time out at which it is next a sample of pace
	halfOpenProbe                     bool          // asks a half-open target or source only for what it holds
	inFlight                          bool
	likelyFill                        bool // likely to be filled
	mayHaveExecuted                   bool // not proven never to have run
	cancelRequested                   bool // called off
}

// requestState is a requestState we owe an answer.
type requestState struct {
	Request
	location                *contentLocation
	attempts                []*attemptState
	inFlight, postponements int  // attempts out; times held back
	minSourceTier           tier // lowest tier that may be its source: a miss or refusal moves up
	streaming, waiting      bool
	declaredWork            float64 // seconds of sending; 0: size not told
	uncacheable             bool    // never kept
	receivedAt              Time
	triedOnlyIfCached       bool           // asked for what is held alone
	onlyIfCachedCount       int            // for what is held, LooksMost: enough
	shieldDecided, shielded bool           // whether the origin may be asked was drawn; it may not
	askedPeers              bool           // masters were asked
	hedges                  int            // second copies sent
	remoteSource            Host           // the cache of another location that a master named
	avoidTargets            []*serverState // failed it as target
	idempotencyWindowEnd    Time           // when its next attempt must have been written; 0: any time
}

type locationHint struct {
	server     *serverState
	answeredAt Time
}

// contentLocation is what the table says of one object part.
type contentLocation struct {
	hints [2]locationHint // latest first
	uses  int
}

type objectKey struct {
	object uint64
	part   int
}

// purgeKey names an object, or a group counted from 1; its zero: everything.
type purgeKey struct {
	object uint64
	group  int
}

type purgeRecord struct{ purgedAt, notifiedAt Time }

// classStats are running means of a class, seconds: sending time, and time to an answer.
type classStats struct{ work, latency overload.Mean }

// Router decides for one instance. It is not safe for concurrent use.
type Router struct {
	settings                            Settings
	rng                                 *rand.Rand
	now                                 Time
	actions                             []Action
	servers                             map[Host]*serverState
	orderedServers                      []*serverState // all servers by address: loops must not follow map order
	localCaches, upstreams              []*serverState // those that are ready: of our location; parents and origin
	requests                            map[uint32]*requestState
	attempts                            map[uint64]*attemptState
	currentLocations, previousLocations map[objectKey]*contentLocation // the table's two generations
	purges                              map[purgeKey]purgeRecord
	classes                             []classStats
	longestObjective                    float64       // the longest aim, in seconds: what a call may take while none was seen
	baselineLogLatencyRatio             float64       // of the fastest of our caches
	hedgeTokens                         float64       // second copies that may be sent
	originFillWait                      overload.Mean // seconds that fills by the origin wait for their first byte, a running mean
	started                             bool
	rotatedAt, sweptAt                  Time
	nextLogAt                           Time
	awaitingPeers                       []*requestState          // waiting for far masters
	originShield                        *overload.OriginShield   // of the origin, against fills
	retryBudget                         overload.RetryBudget     // what further attempts may still be made
	probeBeforeFill                     overload.ProbeBeforeFill // whether a likely miss first asks for what is held
	sites                               *sitehealth.Monitor      // how whole sites fare
	lowerPeerSeen                       bool                     // a lower-numbered router of our location was heard of
}
