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
	subscribeTimer
	requestTimer = 1 << 32 // with the request's id in the lower half
)

type role uint8

const (
	edge role = iota
	parent
	origin
)

// server is what we know of one member.
type server struct {
	Endpoint
	role               role
	sized              bool                   // its weight stands for its capacity in transfers
	listed             bool                   // in the list and not gone
	seen               *sitehealth.Member     // what its site makes of it
	score              float64                // rank: by hash and weight, best highest
	to, from           side                   // with it as target, and as source
	ejected, looking   bool                   // out of use; a look is out
	ejectedAt, until   Time                   // ejected: since when; no look before
	void               Time                   // what the table says of its holdings from before is void
	missed             overload.FailureStreak // fills from it that failed since its last sign of life
	heard, spoke       Time                   // its last answer as target, and as source
	backoff            time.Duration
	pace               float64 // logarithm of answer times over what they should be, a running mean
	seats              float64 // routers that may send to it
	coldFrom, multiple float64 // share of its capacity at a cold start; times of it at which it falls over
	ramp               time.Duration
	cold               Time                 // start of a cold life, as listed or as supposed; 0: warm
	sending            float64              // seconds of sending out at it as target
	spent              overload.TokenBucket // seconds of sending: cold budget in use
	carried            float64              // and lately done for us
	carriedAt          Time
}

// side is a server in one of its two parts, as target or as source.
type side struct {
	out   []*attempt
	late  overload.RecentObservation // its latest hit was late, or has failed
	good  Time                       // when the latest attempt was sent that came in time, over the whole way
	load  float64                    // seconds of sending out and bound for it: hits for a target, likely fills for a source
	limit overload.ConcurrencyLimit  // of that
}

// attempt is one try of a request.
type attempt struct {
	id             uint32
	no, class      int
	target, source *server // source nil: none
	sent           Time
	load           float64       // out on its side when it was sent, with it
	work, told     float64       // seconds of sending: as budgets and limits count it, and as told
	expect, aim    time.Duration // to an answer: as a rule; in time for its full worth
	doubled        time.Duration // its time out at which it is next a sample of pace
	look           bool          // asks a half-open target or source only for what it holds
	out            bool
	fill           bool // likely to be filled
	mayRun         bool // not proven never to have run
	called         bool // called off
}

// request is a request we owe an answer.
type request struct {
	Request
	held            *entry
	tries           []*attempt
	out, holds      int  // attempts out; times held back
	tier            role // lowest tier that may be its source: a miss or refusal moves up
	stream, waiting bool
	told            float64 // seconds of sending; 0: size not told
	passOn          bool    // never kept
	since           Time
	looked          bool      // asked for what is held alone
	looks           int       // for what is held, LooksMost: enough
	drawn, shut     bool      // whether the origin may be asked was drawn; it may not
	asked           bool      // masters were asked
	copies          int       // second copies sent
	far             Host      // the cache of another location that a master named
	avoid           []*server // failed it as target
	before          Time      // when its next attempt must have been written; 0: any time
}

type holder struct {
	host *server
	at   Time
}

// entry is what the table says of one object part.
type entry struct {
	by   [2]holder // latest first
	uses int
}

type objectPart struct {
	object uint64
	part   int
}

// purgeKey names an object, or a group counted from 1; its zero: everything.
type purgeKey struct {
	object uint64
	group  int
}

type purge struct{ made, told Time }

// classStats are running means of a class, seconds: sending time, and time to an answer.
type classStats struct{ work, latency overload.Mean }

// Router decides for one instance. It is not safe for concurrent use.
type Router struct {
	s             Settings
	rng           *rand.Rand
	now           Time
	acts          []Action
	servers       map[Host]*server
	order         []*server // all servers by address: loops must not follow map order
	caches, upper []*server // those that are ready: of our location; parents and origin
	reqs          map[uint32]*request
	tries         map[uint64]*attempt
	cur, prev     map[objectPart]*entry // the table's two generations
	purges        map[purgeKey]purge
	classes       []classStats
	slowest       float64       // the longest aim, in seconds: what a call may take while none was seen
	pace          float64       // of the fastest of our caches
	copies        float64       // second copies that may be sent
	waited        overload.Mean // seconds that fills by the origin wait for their first byte, a running mean
	started       bool
	turned, swept Time
	logAt         Time
	asking        []*request               // waiting for far masters
	shield        *overload.OriginShield   // of the origin, against fills
	repeats       overload.RetryBudget     // what further attempts may still be made
	firsts        overload.ProbeBeforeFill // whether a likely miss first asks for what is held
	sites         *sitehealth.Monitor      // how whole sites fare
	notZero       bool                     // a lower-numbered router of our location was heard of
}
