// Package rules decides, for one router in front of edge caches, where each request goes, where a
// miss is filled from, and when a request ends. It is pure: no I/O, no goroutines, no wall clock.
//
// This file is the interface: settings, events and actions. The router is in router.go, what it remembers in state.go,
// and each kind of decision in a file of its own.
package routing

import "time"

// Time is the caller's monotonic clock. Its zero has no meaning except "long ago" or "not set".
type Time = time.Duration

// Host is the address of a server: four bytes of address and a port, in the low 48 bits.
type Host uint64

// Class describes a class of requests.
type Class struct {
	Name                    string        `json:"name"`
	LatencyObjective        time.Duration `json:"aim"`
	LatencyObjectivePerSize float64       `json:"aimStretch"`
	Timeout                 time.Duration `json:"deadline"`
	PriorityWeight          float64       `json:"worth"`
	LatePriorityWeight      float64       `json:"lateWorth"`
	Idempotency             string        `json:"effect"` // read_like, idempotency_key or non_idempotent
	DedupScope              string        `json:"group"`  // all, zone or cell: who drops repeats of a keyed request
	DedupWindow             time.Duration `json:"dedupWindow"`
	Streaming               bool          `json:"streaming"`
}

// SiteLimits are what the site allows.
type SiteLimits struct {
	CancelAllowed       bool          `json:"cancel"`
	MaxAttempts         int           `json:"maxAttempts"`
	MaxRetryAfter       time.Duration `json:"maxRetryAfter"`
	MaxOpenRequests     int           `json:"openCap"`
	PeerMessagesAllowed bool          `json:"peerMessages"`
	ProbesAllowed       bool          `json:"probes"`
	RetryAfterAllowed   bool          `json:"retryAfter"`
	HedgingAllowed      bool          `json:"secondCopies"`
}

// TierSettings are the facts about caches, parents and the origin. Lists by class or zone go by index.
type TierSettings struct {
	BypassAllowed           bool            `json:"bypassAllowed"`
	FreshnessLifetime       []time.Duration `json:"classFresh"`
	StaleWindow             []time.Duration `json:"staleFor"`
	StaleValue              []float64       `json:"staleEarns"`
	Uncacheable             []bool          `json:"passOn"`
	TransferKBPerSecond     float64         `json:"flowKbPerS"`
	InboundLinkKBPerSecond  []float64       `json:"feedKbPerS"` // by zone: its link in; 0: not told
	TransitCost             float64         `json:"transitPrice"`
	CoalescesFills          bool            `json:"mergesFills"`
	OriginOverloadMultiple  float64         `json:"rootFallMultiple"`
	OriginTolerance         time.Duration   `json:"originBears"`
	OriginKind              int             `json:"masterKind"`
	ParentKind              int             `json:"secondTierKind"` // -1: there are no parents
	ParentSlowStartFraction float64         `json:"parentColdFrom"`
	ParentSlowStartDuration time.Duration   `json:"parentRamp"`
	ParentOverloadMultiple  float64         `json:"parentFallMultiple"`
	PurgePropagation        time.Duration   `json:"purgeTakes"`
	PurgeSlack              time.Duration   `json:"purgeSlack"`
	SiblingFills            string          `json:"lateral"`    // off, location or any
	FillStatusReported      string          `json:"notesGiven"` // all, hit or off
	DirectorsByZone         []int           `json:"seatsByZone"`
	HubByZone               []int           `json:"hubByZone"`
}

// Guarantees are the figures of the rules.
type Guarantees struct {
	PollWithin        time.Duration `json:"askWithin"`
	SlowStartDuration time.Duration `json:"cold"`
	SlowStartFraction float64       `json:"coldFrom"`
	DrainGrace        time.Duration `json:"drainGrace"`
	OverloadWindow    time.Duration `json:"fall"`
	AnswerGrace       time.Duration `json:"graceToAnswer"`
	OverloadMultiple  float64       `json:"tipMultiple"`
}

// LoadReportSettings say which load figures come, and with what.
type LoadReportSettings struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"` // inline, on_probe or off
}

// Settings are handed to a router at its start. Times are nanoseconds in JSON.
type Settings struct {
	Directors     int                `json:"balancers"`
	Classes       []Class            `json:"services"`
	SiteLimits    SiteLimits         `json:"ceilings"`
	Tiers         TierSettings       `json:"familyInfo"`
	Guarantees    Guarantees         `json:"guarantees"`
	Kinds         []string           `json:"kinds"`
	ID            uint32             `json:"me"`
	Quantum       time.Duration      `json:"quantum"`
	DiscoveryMode string             `json:"registryMode"` // automatic or subscribe
	LoadReport    LoadReportSettings `json:"report"`
	WeightMode    string             `json:"weights"` // off, nominal, rough or live
	Zone          int                `json:"zone"`
	Zones         []string           `json:"dcs"`
}

// State is a member's state in discovery.
type State uint8

// States of a member.
const (
	Draining State = iota
	Gone
	Ready
)

// String is the state's name.
func (s State) String() string {
	switch s {
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	case Ready:
		return "ready"
	}
	return "unknown"
}

// Endpoint is a server as discovery lists it.
type Endpoint struct {
	Host    Host
	Zone    int
	Kind    int
	State   State
	Started Time // 0: long ago
	Weight  float64
	Cell    int
}

// UpdateKind says how a Members event is to be taken.
type UpdateKind uint8

// Kinds of list.
const (
	UpdateDelta  UpdateKind = iota // only the changed entries
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list as last known, maybe stale
	UpdateFailed                   // a call failed or the subscription broke; no entries
)

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	OK Result = iota
	Errored
	Rejected // turned away unseen, or its source refused or could not be reached
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Abandoned
	Miss
	LocalResourcesExhausted // our own system had no descriptor, buffer or memory for a connection: it never ran
	Unreachable             // or no route or port towards the server: it never ran
)

var resultNames = [...]string{"ok", "errored", "refused", "timed_out", "connect_failed", "reset", "cancelled", "moot", "miss",
	"no_socket", "no_way"}

// String is the result's name.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// ResultCount is the number of results.
const ResultCount = len(resultNames)

// FillStatus tells how an answer came about, where the site gives notes.
type FillStatus uint8

// Notes.
const (
	FillStatusUnknown FillStatus = iota
	FillStatusHit
	FillStatusFilled
	FillStatusFilledByOrigin
	FillStatusCoalesced
	FillStatusStale
	FillStatusSourceRejected
	FillStatusSourceUnreachable
	FillStatusSourceMiss
	FillStatusNoFillSlot
	FillStatusOriginFailed
)

// Event is one of Members, Request, Curtail, Started, Outcome, Expired, Timer, ProbeResult, PeerMessage, Purge.
type Event any

// EndpointUpdate brings news of the list of servers.
type EndpointUpdate struct {
	Kind      UpdateKind
	Version   uint64
	Endpoints []Endpoint
}

// Request is a client's request; the router owes it one final answer.
type Request struct {
	ID          uint32
	Class       int
	Tenant      int
	Object      uint64
	Part        int
	Group       int
	Deadline    Time
	SizeKB      float64 // 0: not told
	ClientRetry bool
	Write       bool
}

// StreamStarted tells that a streamed answer has begun.
type StreamStarted struct {
	ID      uint32
	Attempt int
	Host    Host
	Elapsed time.Duration
}

// Outcome is the one end of an attempt.
type Outcome struct {
	ID          uint32
	Attempt     int
	Host        Host
	Result      Result
	Elapsed     time.Duration
	RequestDone bool // the request is finished
	FillStatus  FillStatus
	SourceWait  time.Duration
	LoadReport  []float32
}

// RequestClosed tells that a request is over without the router.
type RequestClosed struct{ ID uint32 }

// TimerFired is a timer that has come due.
type TimerFired struct{ Token uint64 }

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Host       Host
	Result     Result
	Elapsed    time.Duration
	LoadReport []float32
}

// PeerMessage is a message of another router.
type PeerMessage struct {
	From uint32
	Data []byte
}

// Purge tells that an object, or (Object 0) a whole group, was purged Age ago.
type Purge struct {
	Age    time.Duration
	Group  int
	Object uint64
}

// Action is one of Forward, Fetch, Cancel, Refuse, Fail, SetTimer, Probe, CloseIdle, Tell, Subscribe,
// Snapshot, Log.
type Action any

// Forward asks a host only for what it holds.
type Forward struct {
	ID                   uint32
	Host                 Host
	Timeout              time.Duration
	IdempotencyWindowEnd Time // not to be written later, as the window for repeats has ended then; 0: any time
}

// FetchFlags is a set of switches of a Fetch.
type FetchFlags uint8

// Switches of a Fetch.
const (
	CoalesceFill         FetchFlags = 1
	OnlyIfCached         FetchFlags = 2 // the source gives only what it holds
	ParentNoStore        FetchFlags = 4
	StaleWhileRevalidate FetchFlags = 8 // serve an ageing copy and fetch it anew behind
)

// ShortenDeadline brings the time by which a request is to be ended forward.
type ShortenDeadline struct {
	ID       uint32
	Deadline Time
}

// Fetch asks a host, and says where a miss is filled from.
type Fetch struct {
	ID                   uint32
	Host                 Host
	Source               Host // the host itself: no fill
	RetentionRank        uint8
	Flags                FetchFlags
	Timeout              time.Duration // 0: until the client gives up
	MaxAge               time.Duration // 0: the class's fresh time
	IdempotencyWindowEnd Time          // not to be written later, as the window for repeats has ended then; 0: any time
}

// Cancel calls an attempt off.
type Cancel struct {
	ID      uint32
	Attempt int
}

// Reject ends a request; trying again is harmless.
type Reject struct {
	ID         uint32
	RetryAfter time.Duration
	Reason     Reason
}

// Fail ends a request with no promise about its effect.
type Fail struct {
	ID     uint32
	Reason Reason
}

// Reason is why the router ended a request without an answer of a server.
type Reason string

// Why requests are given up.
const (
	ReasonDeadlineExceeded     Reason = "its time is over"
	ReasonAttemptsExhausted    Reason = "no attempt is left"
	ReasonMayHaveExecuted      Reason = "an attempt may have run, and may not be repeated"
	ReasonSiteLost             Reason = "our site is lost"
	ReasonNoServerInTime       Reason = "no server could take it within half its aim"
	ReasonRetryBudgetExhausted Reason = "the budget for further attempts is spent"
	ReasonOriginShielded       Reason = "the origin is spared"
)

// SetTimer asks for a Timer event.
type SetTimer struct {
	Token uint64
	At    Time
}

// Probe checks a host.
type Probe struct{ Host Host }

// CloseIdleConnections closes idle connections to a host.
type CloseIdleConnections struct{ Host Host }

// AllPeers as the receiver of a Tell reaches all peers.
const AllPeers = ^uint32(0)

// SendPeerMessage sends a message to a peer.
type SendPeerMessage struct {
	To   uint32
	Data []byte
}

// Subscribe asks discovery for changes.
type Subscribe struct{ Enabled bool }

// PollEndpoints asks discovery for the full list once.
type PollEndpoints struct{}

// Log is a line for the people on call.
type Log struct{ Message string }
