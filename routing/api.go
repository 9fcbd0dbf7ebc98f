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
	Name        string        `json:"name"`
	Aim         time.Duration `json:"aim"`
	AimStretch  float64       `json:"aimStretch"`
	Deadline    time.Duration `json:"deadline"`
	Worth       float64       `json:"worth"`
	LateWorth   float64       `json:"lateWorth"`
	Effect      string        `json:"effect"` // read_like, idempotency_key or non_idempotent
	Group       string        `json:"group"`  // all, zone or cell: who drops repeats of a keyed request
	DedupWindow time.Duration `json:"dedupWindow"`
	Streaming   bool          `json:"streaming"`
}

// Ceilings are what the site allows.
type Ceilings struct {
	Cancel        bool          `json:"cancel"`
	MaxAttempts   int           `json:"maxAttempts"`
	MaxRetryAfter time.Duration `json:"maxRetryAfter"`
	OpenCap       int           `json:"openCap"`
	PeerMessages  bool          `json:"peerMessages"`
	Probes        bool          `json:"probes"`
	RetryAfter    bool          `json:"retryAfter"`
	SecondCopies  bool          `json:"secondCopies"`
}

// Tiers are the facts about caches, parents and the origin. Lists by class or zone go by index.
type Tiers struct {
	BypassAllowed      bool            `json:"bypassAllowed"`
	ClassFresh         []time.Duration `json:"classFresh"`
	StaleFor           []time.Duration `json:"staleFor"`
	StaleEarns         []float64       `json:"staleEarns"`
	PassOn             []bool          `json:"passOn"`
	FlowKBPerS         float64         `json:"flowKbPerS"`
	FeedKBPerS         []float64       `json:"feedKbPerS"` // by zone: its link in; 0: not told
	TransitPrice       float64         `json:"transitPrice"`
	MergesFills        bool            `json:"mergesFills"`
	RootFallMultiple   float64         `json:"rootFallMultiple"`
	OriginBears        time.Duration   `json:"originBears"`
	MasterKind         int             `json:"masterKind"`
	SecondTierKind     int             `json:"secondTierKind"` // -1: there are no parents
	ParentColdFrom     float64         `json:"parentColdFrom"`
	ParentRamp         time.Duration   `json:"parentRamp"`
	ParentFallMultiple float64         `json:"parentFallMultiple"`
	PurgeTakes         time.Duration   `json:"purgeTakes"`
	PurgeSlack         time.Duration   `json:"purgeSlack"`
	Lateral            string          `json:"lateral"`    // off, location or any
	NotesGiven         string          `json:"notesGiven"` // all, hit or off
	SeatsByZone        []int           `json:"seatsByZone"`
	HubByZone          []int           `json:"hubByZone"`
}

// Guarantees are the figures of the rules.
type Guarantees struct {
	AskWithin     time.Duration `json:"askWithin"`
	Cold          time.Duration `json:"cold"`
	ColdFrom      float64       `json:"coldFrom"`
	DrainGrace    time.Duration `json:"drainGrace"`
	Fall          time.Duration `json:"fall"`
	GraceToAnswer time.Duration `json:"graceToAnswer"`
	TipMultiple   float64       `json:"tipMultiple"`
}

// ReportSettings say which load figures come, and with what.
type ReportSettings struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"` // inline, on_probe or off
}

// Settings are handed to a router at its start. Times are nanoseconds in JSON.
type Settings struct {
	Balancers    int            `json:"balancers"`
	Services     []Class        `json:"services"`
	Ceilings     Ceilings       `json:"ceilings"`
	Family       Tiers          `json:"familyInfo"`
	Guarantees   Guarantees     `json:"guarantees"`
	Kinds        []string       `json:"kinds"`
	Me           uint32         `json:"me"`
	Quantum      time.Duration  `json:"quantum"`
	RegistryMode string         `json:"registryMode"` // automatic or subscribe
	Report       ReportSettings `json:"report"`
	Weights      string         `json:"weights"` // off, nominal, rough or live
	Zone         int            `json:"zone"`
	Zones        []string       `json:"dcs"`
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

// Member is a server as discovery lists it.
type Member struct {
	Host    Host
	Zone    int
	Kind    int
	State   State
	Started Time // 0: long ago
	Weight  float64
	Cell    int
}

// ListKind says how a Members event is to be taken.
type ListKind uint8

// Kinds of list.
const (
	Delta  ListKind = iota // only the changed entries
	Full                   // the whole list
	Cached                 // the whole list as last known, maybe stale
	Failed                 // a call failed or the subscription broke; no entries
)

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	OK Result = iota
	Errored
	Refused // turned away unseen, or its source refused or could not be reached
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
	Miss
	NoSocket // our own system had no descriptor, buffer or memory for a connection: it never ran
	NoWay    // or no route or port towards the server: it never ran
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

// Results is the number of results.
const Results = len(resultNames)

// Note tells how an answer came about, where the site gives notes.
type Note uint8

// Notes.
const (
	NoNote Note = iota
	NoteHit
	NoteFilled
	NoteFilledByOrigin
	NoteJoined
	NoteStale
	NoteSourceRefused
	NoteSourceUnreached
	NoteSourceLacks
	NoteNoFillSlot
	NoteOriginFailed
)

// Event is one of Members, Request, Curtail, Started, Outcome, Expired, Timer, ProbeResult, PeerMessage, Purge.
type Event any

// Members brings news of the list of servers.
type Members struct {
	Kind    ListKind
	Version uint64
	List    []Member
}

// Request is a client's request; the router owes it one final answer.
type Request struct {
	ID       uint32
	Class    int
	Tenant   int
	Object   uint64
	Part     int
	Group    int
	GiveUpAt Time
	SizeKB   float64 // 0: not told
	Repeat   bool
	Write    bool
}

// Started tells that a streamed answer has begun.
type Started struct {
	ID      uint32
	Attempt int
	Host    Host
	After   time.Duration
}

// Outcome is the one end of an attempt.
type Outcome struct {
	ID      uint32
	Attempt int
	Host    Host
	Result  Result
	After   time.Duration
	Settled bool // the request is finished
	Note    Note
	Waited  time.Duration
	Report  []float32
}

// Expired tells that a request is over without the router.
type Expired struct{ ID uint32 }

// Timer is a timer that has come due.
type Timer struct{ Token uint64 }

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Host   Host
	Result Result
	After  time.Duration
	Report []float32
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
	ID      uint32
	Host    Host
	Timeout time.Duration
	Before  Time // not to be written later, as the window for repeats has ended then; 0: any time
}

// How is a set of switches of a Fetch.
type How uint8

// Switches of a Fetch.
const (
	JoinFill      How = 1
	SourceHolds   How = 2 // the source gives only what it holds
	ParentNoStore How = 4
	Renew         How = 8 // serve an ageing copy and fetch it anew behind
)

// Curtail brings the time by which a request is to be ended forward.
type Curtail struct {
	ID       uint32
	GiveUpAt Time
}

// Fetch asks a host, and says where a miss is filled from.
type Fetch struct {
	ID      uint32
	Host    Host
	Source  Host // the host itself: no fill
	Keep    uint8
	How     How
	Timeout time.Duration // 0: until the client gives up
	MaxAge  time.Duration // 0: the class's fresh time
	Before  Time          // not to be written later, as the window for repeats has ended then; 0: any time
}

// Cancel calls an attempt off.
type Cancel struct {
	ID      uint32
	Attempt int
}

// Refuse ends a request; trying again is harmless.
type Refuse struct {
	ID         uint32
	RetryAfter time.Duration
	Why        GivenUp
}

// Fail ends a request with no promise about its effect.
type Fail struct {
	ID  uint32
	Why GivenUp
}

// GivenUp is why the router ended a request without an answer of a server.
type GivenUp string

// Why requests are given up.
const (
	OutOfTime     GivenUp = "its time is over"
	OutOfAttempts GivenUp = "no attempt is left"
	MayHaveRun    GivenUp = "an attempt may have run, and may not be repeated"
	SiteLost      GivenUp = "our site is lost"
	NoneInTime    GivenUp = "no server could take it within half its aim"
	RepeatsSpent  GivenUp = "the budget for further attempts is spent"
	OriginSpared  GivenUp = "the origin is spared"
)

// SetTimer asks for a Timer event.
type SetTimer struct {
	Token uint64
	At    Time
}

// Probe checks a host.
type Probe struct{ Host Host }

// CloseIdle closes idle connections to a host.
type CloseIdle struct{ Host Host }

// Everyone as the receiver of a Tell reaches all peers.
const Everyone = ^uint32(0)

// Tell sends a message to a peer.
type Tell struct {
	To   uint32
	Data []byte
}

// Subscribe asks discovery for changes.
type Subscribe struct{ On bool }

// Snapshot asks discovery for the full list once.
type Snapshot struct{}

// Log is a line for the people on call.
type Log struct{ Text string }
