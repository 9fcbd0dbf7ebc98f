package routing

import "time"

// Values of Class.Idempotency. Any other value is treated as IdempotencyNone.
const (
	IdempotencyReadLike = "read_like"       // may be repeated at any time
	IdempotencyKeyed    = "idempotency_key" // may be repeated within DedupWindow, inside DedupScope
	IdempotencyNone     = "non_idempotent"  // may be repeated only if no attempt can have executed
)

// Values of Class.DedupScope: the servers that recognise a repeat of a keyed request. With any other value, the
// Router may repeat a keyed request at any server, as with DedupScopeAll; but it rejects a keyed request only if
// no attempt can have executed, as with DedupScopeZone and DedupScopeCell.
const (
	DedupScopeAll  = "all"
	DedupScopeZone = "zone" // those of the same zone
	DedupScopeCell = "cell" // those with the same Endpoint.Cell
)

// Values of TierSettings.SiblingFills: the caches that may be the source of a fill. Any other value is
// treated as SiblingFillsOff.
const (
	SiblingFillsOff      = "off"
	SiblingFillsLocation = "location" // caches of the director's own zone
	SiblingFillsAny      = "any"      // also caches of other zones
)

// Values of TierSettings.FillStatusReported: the answers that carry a FillStatus. With any value
// except FillStatusReportedAll, the Router allows for answers without a FillStatus and does not probe caches
// before fills.
const (
	FillStatusReportedAll = "all"
	FillStatusReportedHit = "hit"
	FillStatusReportedOff = "off"
)

// Values of Settings.WeightMode. With WeightModeNominal and WeightModeRough, the Router takes Endpoint.Weight
// as the capacity of a server. Any other value is treated as WeightModeOff: the capacity of a server counts as
// unknown, and only the failover of lost sites uses the weights.
const (
	WeightModeOff     = "off"
	WeightModeNominal = "nominal"
	WeightModeRough   = "rough"
)

// DiscoverySubscribe is the value of Settings.DiscoveryMode with which the Router subscribes to the endpoint
// list. With any other value, updates arrive without a subscription.
const DiscoverySubscribe = "subscribe"

// Class holds the properties of a class of requests.
type Class struct {
	Name string `json:"name"` // the Router does not use it
	// LatencyObjective is the latency up to which an answer is worth the full PriorityWeight.
	LatencyObjective time.Duration `json:"aim"`
	// LatencyObjectivePerSize is the number of seconds by which the objective grows for each second of
	// transfer time.
	LatencyObjectivePerSize float64 `json:"aimStretch"`
	// Timeout is how long a client waits for an answer. The Router only validates this setting.
	Timeout time.Duration `json:"deadline"`
	// PriorityWeight is the value of an answer within the objective, relative to other classes. The Router only
	// validates this setting.
	PriorityWeight float64 `json:"worth"`
	// LatePriorityWeight is the value of an answer after the objective. The Router only validates this setting.
	LatePriorityWeight float64 `json:"lateWorth"`
	// Idempotency is one of the Idempotency constants.
	Idempotency string `json:"effect"`
	// DedupScope is one of the DedupScope constants.
	DedupScope string `json:"group"`
	// DedupWindow is the time after a keyed request within which servers recognise its repeats.
	DedupWindow time.Duration `json:"dedupWindow"`
	// Streaming reports whether answers are streamed. The Router does not use this setting.
	Streaming bool `json:"streaming"`
}

// RepeatIsHarmless reports whether a client may safely repeat a request of the class, even if servers have executed it.
func (c *Class) RepeatIsHarmless() bool {
	return c.Idempotency == IdempotencyReadLike ||
		c.Idempotency == IdempotencyKeyed && c.DedupScope == DedupScopeAll
}

// SiteLimits holds the limits and permissions that the deployment sets for a director.
type SiteLimits struct {
	CancelAllowed bool          `json:"cancel"`
	MaxAttempts   int           `json:"maxAttempts"` // attempts for one request, hedges included; at least 1
	MaxRetryAfter time.Duration `json:"maxRetryAfter"`
	// MaxOpenRequests is the maximum number of open requests of a director; 0: no bound. The Router only
	// validates this setting.
	MaxOpenRequests     int  `json:"openCap"`
	PeerMessagesAllowed bool `json:"peerMessages"`
	ProbesAllowed       bool `json:"probes"`     // the Router does not use it
	RetryAfterAllowed   bool `json:"retryAfter"` // rejections may carry a time to retry after
	HedgingAllowed      bool `json:"secondCopies"`
}

// TierSettings holds the properties of caches, parents and the origin. Lists by class or by zone have the
// order of Settings.Classes or Settings.Zones; they may be empty.
type TierSettings struct {
	// BypassAllowed permits sending requests directly to a parent or to the origin.
	BypassAllowed bool `json:"bypassAllowed"`
	// FreshnessLifetime is the time for which a copy is fresh (RFC 9111, section 4.2), by class; 0:
	// unbounded.
	FreshnessLifetime []time.Duration `json:"classFresh"`
	// StaleWindow is the time after its FreshnessLifetime for which a copy may still be served, by class.
	StaleWindow []time.Duration `json:"staleFor"`
	// StaleValue is the fraction of PriorityWeight that a stale answer is worth, by class. The Router only
	// validates this setting.
	StaleValue []float64 `json:"staleEarns"`
	// Uncacheable reports whether answers must not be stored, by class.
	Uncacheable []bool `json:"passOn"`
	// TransferKBPerSecond is the rate of one transfer in KB/s; 0: not known.
	TransferKBPerSecond float64 `json:"flowKbPerS"`
	// InboundLinkKBPerSecond is the capacity of the inbound link in KB/s, by zone; 0: not known. The Router
	// does not use this setting.
	InboundLinkKBPerSecond []float64 `json:"feedKbPerS"`
	// TransitCost is the relative cost of traffic between zones. The Router does not use this setting.
	TransitCost float64 `json:"transitPrice"`
	// CoalescesFills reports whether caches coalesce fills: a miss waits for a fill of the same object that
	// is in progress.
	CoalescesFills bool `json:"mergesFills"`
	// OriginOverloadMultiple and OriginTolerance describe the load that the origin can handle. The Router
	// does not use them.
	OriginOverloadMultiple float64       `json:"rootFallMultiple"`
	OriginTolerance        time.Duration `json:"originBears"`
	// OriginKind is the Endpoint.Kind of origins.
	OriginKind int `json:"masterKind"`
	// ParentKind is the Endpoint.Kind of parents; -1: the deployment has no parents.
	ParentKind int `json:"secondTierKind"`
	// ParentSlowStartFraction, ParentSlowStartDuration and ParentOverloadMultiple replace SlowStartFraction,
	// SlowStartDuration and OverloadMultiple of Guarantees for parents.
	ParentSlowStartFraction float64       `json:"parentColdFrom"`
	ParentSlowStartDuration time.Duration `json:"parentRamp"`
	ParentOverloadMultiple  float64       `json:"parentFallMultiple"`
	// PurgePropagation is the time that a purge takes to reach every cache.
	PurgePropagation time.Duration `json:"purgeTakes"`
	// PurgeSlack is the time after the notification of a purge for which a director may still accept copies
	// that are older than the purge. The Router only validates this setting.
	PurgeSlack time.Duration `json:"purgeSlack"`
	// SiblingFills is one of the SiblingFills constants.
	SiblingFills string `json:"lateral"`
	// FillStatusReported is one of the FillStatusReported constants.
	FillStatusReported string `json:"notesGiven"`
	// DirectorsByZone is the number of directors that share the servers of a zone, by zone.
	DirectorsByZone []int `json:"seatsByZone"`
	// HubByZone is the zone of the hub whose parents the caches of a zone fill from, by zone.
	HubByZone []int `json:"hubByZone"`
}

// Guarantees holds the time and load bounds that the deployment's rules set.
type Guarantees struct {
	// PollWithin is the time within which the endpoint list must be requested again after a failure.
	PollWithin time.Duration `json:"askWithin"`
	// SlowStartDuration is the time that an edge cache needs to warm up after its start.
	SlowStartDuration time.Duration `json:"cold"`
	// SlowStartFraction is the fraction of its capacity that an edge cache has at its start.
	SlowStartFraction float64 `json:"coldFrom"`
	// DrainGrace is the time for which a draining server still answers. The Router only validates this setting.
	DrainGrace time.Duration `json:"drainGrace"`
	// OverloadWindow is the time after which a load of OverloadMultiple makes a server that is warming up
	// break down.
	OverloadWindow time.Duration `json:"fall"`
	// AnswerGrace is the time after its deadline for which a request may still be answered. The Router only
	// validates this setting.
	AnswerGrace time.Duration `json:"graceToAnswer"`
	// OverloadMultiple is the multiple of its present capacity at which an edge cache that is warming up
	// breaks down.
	OverloadMultiple float64 `json:"tipMultiple"`
}

// LoadReportSettings describes which load figures servers report, and how. The Router does not use these
// settings.
type LoadReportSettings struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"` // how the figures are reported: inline, on_probe or off
}

// Settings holds the configuration of a Router. In JSON, durations are integers in nanoseconds.
// Kinds is indexed by Endpoint.Kind.
type Settings struct {
	Directors     int                `json:"balancers"` // number of directors of the deployment
	Classes       []Class            `json:"services"`
	SiteLimits    SiteLimits         `json:"ceilings"`
	Tiers         TierSettings       `json:"familyInfo"`
	Guarantees    Guarantees         `json:"guarantees"`
	Kinds         []string           `json:"kinds"`        // names of server kinds; the Router does not use them
	ID            uint32             `json:"me"`           // ID of this director, unique among its peers
	Quantum       time.Duration      `json:"quantum"`      // the simulator's time step; the Router does not use it
	DiscoveryMode string             `json:"registryMode"` // automatic or DiscoverySubscribe
	LoadReport    LoadReportSettings `json:"report"`
	WeightMode    string             `json:"weights"` // WeightMode constant; others, such as live, count as Off
	Zone          int                `json:"zone"`    // zone of this director, an index of Zones
	Zones         []string           `json:"dcs"`     // names of the zones
}
