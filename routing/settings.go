package routing

import "time"

// Values of Class.Idempotency. Any other word counts as IdempotencyNone.
const (
	IdempotencyReadLike = "read_like"       // may be repeated at any time
	IdempotencyKeyed    = "idempotency_key" // may be repeated within DedupWindow, inside DedupScope
	IdempotencyNone     = "non_idempotent"  // may be repeated only if no attempt can have executed
)

// Values of Class.DedupScope: which servers recognise a repeat of a keyed request.
const (
	DedupScopeAll  = "all"
	DedupScopeZone = "zone"
	DedupScopeCell = "cell"
)

// Values of TierSettings.SiblingFills: which caches may be the source of a fill. Any other word counts as
// SiblingFillsOff.
const (
	SiblingFillsOff      = "off"
	SiblingFillsLocation = "location" // those of the director's own zone
	SiblingFillsAny      = "any"      // those of other zones, too
)

// Values of TierSettings.FillStatusReported: which answers carry a FillStatus.
const (
	FillStatusReportedAll = "all"
	FillStatusReportedHit = "hit"
	FillStatusReportedOff = "off"
)

// Values of Settings.WeightMode: whether Endpoint.Weight is a server's capacity. Any other word counts as
// WeightModeOff.
const (
	WeightModeOff     = "off"
	WeightModeNominal = "nominal"
	WeightModeRough   = "rough"
)

// DiscoverySubscribe is the value of Settings.DiscoveryMode with which the Router has to subscribe to the
// endpoint list; with any other, updates come by themselves.
const DiscoverySubscribe = "subscribe"

// Class describes a class of requests.
type Class struct {
	Name string `json:"name"`
	// LatencyObjective is the time within which an answer is worth PriorityWeight in full.
	LatencyObjective time.Duration `json:"aim"`
	// LatencyObjectivePerSize is added to the objective for each second of transfer time, in seconds.
	LatencyObjectivePerSize float64 `json:"aimStretch"`
	// Timeout is how long a client waits for an answer.
	Timeout time.Duration `json:"deadline"`
	// PriorityWeight is what an answer within the objective is worth, compared with other classes.
	PriorityWeight float64 `json:"worth"`
	// LatePriorityWeight is what an answer after the objective is worth.
	LatePriorityWeight float64 `json:"lateWorth"`
	// Idempotency is one of the Idempotency constants.
	Idempotency string `json:"effect"`
	// DedupScope is one of the DedupScope constants.
	DedupScope string `json:"group"`
	// DedupWindow is how long after a keyed request its repeats are recognised.
	DedupWindow time.Duration `json:"dedupWindow"`
	// Streaming tells that answers are streamed.
	Streaming bool `json:"streaming"`
}

// SiteLimits are what the site allows a director to do.
type SiteLimits struct {
	CancelAllowed bool          `json:"cancel"`
	MaxAttempts   int           `json:"maxAttempts"` // for one request, hedges included; at least 1
	MaxRetryAfter time.Duration `json:"maxRetryAfter"`
	// MaxOpenRequests bounds the requests that a director may have open; 0: no bound.
	MaxOpenRequests     int  `json:"openCap"`
	PeerMessagesAllowed bool `json:"peerMessages"`
	ProbesAllowed       bool `json:"probes"`
	RetryAfterAllowed   bool `json:"retryAfter"` // a rejection may tell the client when to come back
	HedgingAllowed      bool `json:"secondCopies"`
}

// TierSettings are facts about caches, parents and the origin. Lists by class or by zone are ordered like
// Settings.Classes and Settings.Zones; they may be left out.
type TierSettings struct {
	// BypassAllowed tells that requests may go to a parent or to the origin without a cache.
	BypassAllowed bool `json:"bypassAllowed"`
	// FreshnessLifetime is, by class, how long a copy is fresh (RFC 9111, section 4.2); 0: unbounded.
	FreshnessLifetime []time.Duration `json:"classFresh"`
	// StaleWindow is, by class, how long after that a copy may still be served.
	StaleWindow []time.Duration `json:"staleFor"`
	// StaleValue is, by class, the part of its weight that a stale answer is worth.
	StaleValue []float64 `json:"staleEarns"`
	// Uncacheable tells, by class, that answers are never stored.
	Uncacheable []bool `json:"passOn"`
	// TransferKBPerSecond is the rate of one transfer; 0: not known.
	TransferKBPerSecond float64 `json:"flowKbPerS"`
	// InboundLinkKBPerSecond is, by zone, the capacity of its inbound link; 0: not known.
	InboundLinkKBPerSecond []float64 `json:"feedKbPerS"`
	// TransitCost is the cost of traffic between zones.
	TransitCost float64 `json:"transitPrice"`
	// CoalescesFills tells that a cache lets a miss wait for a fill of the same object that is under way.
	CoalescesFills bool `json:"mergesFills"`
	// OriginOverloadMultiple and OriginTolerance describe how much load the origin bears. No decision uses
	// them.
	OriginOverloadMultiple float64       `json:"rootFallMultiple"`
	OriginTolerance        time.Duration `json:"originBears"`
	// OriginKind is the Endpoint.Kind of the origin.
	OriginKind int `json:"masterKind"`
	// ParentKind is the Endpoint.Kind of parents; -1: there are none.
	ParentKind int `json:"secondTierKind"`
	// ParentSlowStartFraction, ParentSlowStartDuration and ParentOverloadMultiple are for parents what the
	// fields SlowStartFraction, SlowStartDuration and OverloadMultiple of Guarantees are for edge caches.
	ParentSlowStartFraction float64       `json:"parentColdFrom"`
	ParentSlowStartDuration time.Duration `json:"parentRamp"`
	ParentOverloadMultiple  float64       `json:"parentFallMultiple"`
	// PurgePropagation is how long a purge takes to reach every cache.
	PurgePropagation time.Duration `json:"purgeTakes"`
	// PurgeSlack is how long after its notification a director may still accept older copies.
	PurgeSlack time.Duration `json:"purgeSlack"`
	// SiblingFills is one of the SiblingFills constants.
	SiblingFills string `json:"lateral"`
	// FillStatusReported is one of the FillStatusReported constants.
	FillStatusReported string `json:"notesGiven"`
	// DirectorsByZone is the number of directors that share the servers of a zone.
	DirectorsByZone []int `json:"seatsByZone"`
	// HubByZone is the zone of the hub whose parents the caches of a zone fill from.
	HubByZone []int `json:"hubByZone"`
}

// Guarantees are the bounds that the site's rules set.
type Guarantees struct {
	// PollWithin is the time within which the endpoint list must be asked for again after a failure.
	PollWithin time.Duration `json:"askWithin"`
	// SlowStartDuration is how long a cache that has just started warms up.
	SlowStartDuration time.Duration `json:"cold"`
	// SlowStartFraction is the part of its capacity that such a cache has at its start.
	SlowStartFraction float64 `json:"coldFrom"`
	// DrainGrace is how long a draining server still answers.
	DrainGrace time.Duration `json:"drainGrace"`
	// OverloadWindow is the span over which a load of OverloadMultiple makes a cache that warms up break
	// down.
	OverloadWindow time.Duration `json:"fall"`
	// AnswerGrace is how long after its deadline a request may still be answered.
	AnswerGrace time.Duration `json:"graceToAnswer"`
	// OverloadMultiple is the multiple of its present capacity at which a cache that warms up breaks down.
	OverloadMultiple float64 `json:"tipMultiple"`
}

// LoadReportSettings tell which load figures servers report, and with what.
type LoadReportSettings struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"` // inline, on_probe or off
}

// Settings configure a Router. Durations are nanoseconds in JSON.
type Settings struct {
	Directors     int                `json:"balancers"` // number of directors of the site
	Classes       []Class            `json:"services"`
	SiteLimits    SiteLimits         `json:"ceilings"`
	Tiers         TierSettings       `json:"familyInfo"`
	Guarantees    Guarantees         `json:"guarantees"`
	Kinds         []string           `json:"kinds"` // names of the kinds of servers, by Endpoint.Kind
	ID            uint32             `json:"me"`    // this director, among its peers
	Quantum       time.Duration      `json:"quantum"`
	DiscoveryMode string             `json:"registryMode"` // automatic or DiscoverySubscribe
	LoadReport    LoadReportSettings `json:"report"`
	WeightMode    string             `json:"weights"` // one of the WeightMode constants, or live
	Zone          int                `json:"zone"`    // this director's own, an index of Zones
	Zones         []string           `json:"dcs"`
}
