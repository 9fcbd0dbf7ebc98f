// Package config reads what a director is told at its start and fills the one set of limits that all
// other packages work within.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"time"

	"shaleyard/routing"
)

// Config is what EDGE_CONFIG holds, checked.
type Config struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	OperatorAddress  string // where operators call; "": nowhere
	Seed             uint64
	Bootstrap        Bootstrap
	Settings         routing.Settings
	Limits           Limits

	InheritedFD int // descriptor of a listening socket that was handed down; 0: none
}

// Bootstrap is the control feed's history at the start.
type Bootstrap struct {
	Revision uint64            `json:"n"`
	Events   []json.RawMessage `json:"events"`
}

// Limits are all sizes, counts and times that the program keeps to.
type Limits struct {
	Cores       float64
	MemoryBytes int64 // soft limit for the Go runtime
	Descriptors int

	// Clients.
	MaxClientConns      int           // connections clients may hold
	MaxRequestsPerConn  int           // open requests on one connection
	MaxFrameBytes       int           // bytes of one Thrift frame
	MaxRequestBodyBytes int           // bytes a write carries
	MaxRequestFields    int           // entries of the field map
	ClientBacklogBytes  int           // bytes a client may leave unread
	TotalBacklogBytes   int           // bytes all clients together may leave unread
	MessageTimeout      time.Duration // for a connection's first message, and for any from its first byte to its last
	ClientKeepAlive     time.Duration // clients close a connection that was idle for so long, or leave it for good
	ClientIdleTimeout   time.Duration // an idle client connection is closed after this
	LingerTimeout       time.Duration // our half closed, a connection is read on for so long until the client closes its own
	SlowReaderTimeout   time.Duration // who takes nothing for so long is cut off where the program is to be emptied
	MaxLingeringConns   int           // connections that linger at once, beyond ClientConns
	MaxLingerBytes      int           // that are read and dropped on a connection that is ending
	FlushCheckInterval  time.Duration // between looks whether a client has read what is left for it
	NewConnGracePeriod  time.Duration // a new connection has so long for its first message when the program parts or is drained
	MaxOpenRequests     int           // requests taken and not answered
	MaxRequestTimeout   time.Duration // that a client may wait
	OverdueGracePeriod  time.Duration // past its time, a request without an answer is failed

	// Caches, parents, origin.
	MaxUpstreamConns       int           // descriptors that dialled connections may hold
	MaxReplacementDials    int           // beyond those: for dials that take the place of idle ones, until these are closed
	MaxConnsPerEndpoint    int           // connections to one peer, before attempts share them
	MaxAttemptsPerConn     int           // attempts open on one connection
	ConnectTimeout         time.Duration // a connection not up by then has failed
	UpstreamIdleTimeout    time.Duration // an idle connection is closed after this
	MinIdleTimeout         time.Duration // connections idle for less are used again, whatever resets teach
	IdleCloseRaceWindow    time.Duration // a request that is reset within this of its writing may have crossed the close of an idle connection
	UpstreamSilenceTimeout time.Duration // asked and silent for so long, a connection takes nothing new
	LateAnswerWindow       time.Duration // an answer that crosses a STOP is looked out for so long
	MaxAnswerBodyBytes     int           // bytes of an object
	MaxAnswerFieldBytes    int           // bytes of an answer's fields

	// Control feed.
	MaxWatchLineBytes   int           // bytes of one line
	WatchSilenceTimeout time.Duration // no line for so long: call again
	MinWatchBackoff     time.Duration // shortest wait after a call that failed
	WatchCallTime       time.Duration // a call takes no longer with the service well: connect, subscribe, read what was missed
	DrainApplyWithin    time.Duration // within which a drain must be heeded from when the service has it
	PurgeApplyWithin    time.Duration // and a purge
	InitialJitterWindow time.Duration // span of the fleet's first calls; no work is taken before ours. 0: FeedPurge's, and all work
	MaxEventDelay       time.Duration // after which its news count as told though nothing arrived
	InitialListTimeout  time.Duration // readiness waits for a list no longer
	MaxMembers          int           // members held at once

	// Buffers.
	BufferSize  int
	BufferCount int

	// Operators' calls and drains.
	MaxOperatorConns   int           // connections of operators held at once
	LoopStallThreshold time.Duration // an event loop that has not run for so long makes the process not ready
	DrainNoticePeriod  time.Duration // the front hears of a drain within this; until then clients would come back
	DrainGracePeriod   time.Duration // after a drain was asked for, work is taken on open connections for so long
	DrainDeadline      time.Duration // and who goes on sending, or reads nothing, is ended by then
	DrainCheckInterval time.Duration // between looks at what a drained process holds

	// Stop.
	StopGracePeriod    time.Duration // after SIGTERM connections and requests are still taken for so long
	StopHandoverPeriod time.Duration // and so long on a listener that another process takes over: clients move there as they have nothing open
	StopAnswerDeadline time.Duration // after SIGTERM all that was taken is answered by then
	ShutdownRetryAfter time.Duration // who is refused as the process is being emptied may as well stay away for so long
	StopCheckInterval  time.Duration // between looks whether all is answered
	StopDeadline       time.Duration // after SIGTERM the program ends no later

	// Pauses of the process.
	PauseThreshold     time.Duration // a loop that has not run for so long was paused
	PauseSettleTime    time.Duration // and then reads what has come for a tenth of that, and so long at most, before it acts
	LongPauseThreshold time.Duration // behind a longer pause, work is let in as after a start

	// Logs.
	FlightRecorderEvents       int           // latest events that are kept in memory
	FlightRecorderEventsAtExit int           // and of these, so many are written at the exit
	CountersInterval           time.Duration // all counters are logged so often, so that a fleet can be counted from its logs
}

type document struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Discovery string          `json:"feed"`
	Operator  string          `json:"operator"`
	Bootstrap Bootstrap       `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// transportSettings holds the settings that only sockets need.
type transportSettings struct {
	Ceilings struct {
		ConnectTimeout time.Duration `json:"connectTimeout"`
		Keepalive      time.Duration `json:"keepalive"`
		StreamsPerConn int           `json:"streamsPerConn"`
	} `json:"ceilings"`
}

// heartbeatInterval is the time between two signs of life of the feed (protocol page).
const heartbeatInterval = time.Second

// Load reads the file that EDGE_CONFIG names. EDGE_NAME and EDGE_LISTEN, where set, must not contradict it.
// EDGE_FD, where set, is the descriptor of a socket that listens there already. EDGE_OPERATOR, where set, goes before the
// file: two processes that take turns may read the same one.
// The process may hold descriptors at most, whatever the file says.
func Load(getenv func(string) string, descriptors uint64) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := parse(text, descriptors, getenv("EDGE_OPERATOR"))
	if err != nil {
		return nil, err
	}
	if v := getenv("EDGE_NAME"); v != "" && v != c.Name {
		return nil, fmt.Errorf("EDGE_NAME: %q, but name is %q", v, c.Name)
	}
	if v := getenv("EDGE_LISTEN"); v != "" && v != c.ListenAddress {
		return nil, fmt.Errorf("EDGE_LISTEN: %q, but listen is %q", v, c.ListenAddress)
	}
	if v := getenv("EDGE_FD"); v != "" {
		if c.InheritedFD, err = strconv.Atoi(v); err != nil || c.InheritedFD < 3 {
			return nil, fmt.Errorf("EDGE_FD: %q is no descriptor", v)
		}
	}
	return c, nil
}

// Parse checks a configuration; an error names the field at fault.
func Parse(text []byte, descriptors uint64) (*Config, error) { return parse(text, descriptors, "") }

// parse checks a configuration. The address of operators' calls, where given, goes before the file's.
func parse(text []byte, descriptors uint64, operator string) (*Config, error) {
	var d document
	if err := json.Unmarshal(text, &d); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return nil, fmt.Errorf("%s: can't be a %s", t.Field, t.Value)
		}
		return nil, fmt.Errorf("config: %w", err)
	}
	d.Operator = cmp.Or(operator, d.Operator)
	c := &Config{Name: d.Name, ListenAddress: d.Listen, DiscoveryAddress: d.Discovery, OperatorAddress: d.Operator, Bootstrap: d.Bootstrap}
	if d.Name == "" {
		return nil, errors.New("name: missing")
	}
	for _, a := range []struct{ field, value string }{{"listen", d.Listen}, {"feed", d.Discovery}, {"operator", d.Operator}} {
		if a.field == "operator" && a.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return nil, fmt.Errorf("%s: %q is no address and port", a.field, a.value)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(d.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is no hex number of 64 bits", d.Seed)
	}
	if len(d.Settings) == 0 || string(d.Settings) == "null" {
		return nil, errors.New("settings: missing")
	}
	if err := json.Unmarshal(d.Settings, &c.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var t transportSettings
	if err := json.Unmarshal(d.Settings, &t); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d.Limits.Sockets = min(d.Limits.Sockets, float64(descriptors))
	switch l := d.Limits; {
	case !(l.Cores > 0):
		return nil, fmt.Errorf("limits.cores: %v", l.Cores)
	case !(l.MemoryMB >= 32) || l.MemoryMB > 1<<20:
		return nil, fmt.Errorf("limits.memory_mb: %v, 32 at least", l.MemoryMB)
	case !(l.Sockets >= 64) || l.Sockets > 1<<20:
		return nil, fmt.Errorf("limits.sockets: %v, 64 at least", l.Sockets)
	}
	c.Limits = deriveLimits(d, t, &c.Settings)
	return c, nil
}

// CheckReload tells whether a running program may go over to the configuration n: one that is for another
// director, or for another address, must not be taken for this one's.
func (c *Config) CheckReload(n *Config) error {
	switch {
	case n.Name != c.Name:
		return fmt.Errorf("name: %q, but this is %q", n.Name, c.Name)
	case n.ListenAddress != c.ListenAddress:
		return fmt.Errorf("listen: %q can't change from %q without a restart", n.ListenAddress, c.ListenAddress)
	}
	return nil
}

// deriveLimits derives the limits. Of the memory, a third may hold bodies in buffers, a sixth what clients have not
// read; the rest is for the program and the collector's headroom.
func deriveLimits(d document, t transportSettings, s *routing.Settings) Limits {
	memory := int(d.Limits.MemoryMB * (1 << 20))
	sockets := int(d.Limits.Sockets)
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Timeout)
	}
	// Protocol page: SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s where it is
	// longer, and 0.7 s.
	kill := min(longest, 3*time.Second) + 700*time.Millisecond
	lingers, dialRoom := min(12, sockets/32), min(8, sockets/32)
	reserve := 20 + lingers + dialRoom // listener, pollers, feed, standard streams, and what is between accept and close
	operatorConns := 0
	if d.Operator != "" {
		operatorConns = max(2, min(8, sockets/32))
		reserve += 1 + operatorConns // with their listener
	}
	l := Limits{
		Cores:       d.Limits.Cores,
		MemoryBytes: int64(memory) * 3 / 4,
		Descriptors: sockets,

		MaxClientConns:      sockets / 3,
		MaxRequestsPerConn:  32,
		MaxFrameBytes:       96 << 10,
		MaxRequestBodyBytes: 48_000,
		MaxRequestFields:    32,
		ClientBacklogBytes:  32 * (240_000 + 1<<10),
		TotalBacklogBytes:   memory / 6,
		MessageTimeout:      2 * time.Second,
		ClientKeepAlive:     4500 * time.Millisecond,
		ClientIdleTimeout:   30 * time.Second,
		LingerTimeout:       500 * time.Millisecond,
		SlowReaderTimeout:   500 * time.Millisecond,
		MaxLingeringConns:   lingers,
		MaxLingerBytes:      1 << 20,
		FlushCheckInterval:  10 * time.Millisecond,
		NewConnGracePeriod:  2 * time.Second, // some clients take that long to write: what comes on a new connection is owed an answer
		MaxOpenRequests:     4096,
		MaxRequestTimeout:   10 * time.Minute,
		OverdueGracePeriod:  25 * time.Millisecond,

		MaxUpstreamConns:       sockets - sockets/3 - reserve,
		MaxReplacementDials:    dialRoom,
		MaxConnsPerEndpoint:    min(max((sockets-sockets/3-reserve)/8, 1), 32),
		MaxAttemptsPerConn:     100,
		ConnectTimeout:         time.Second,
		UpstreamIdleTimeout:    15 * time.Second,
		MinIdleTimeout:         50 * time.Millisecond,
		IdleCloseRaceWindow:    50 * time.Millisecond, // protocol page, of the close of an idle connection
		UpstreamSilenceTimeout: time.Second,
		LateAnswerWindow:       5 * time.Second,
		MaxAnswerBodyBytes:     240_000,
		MaxAnswerFieldBytes:    4 << 10,

		MaxWatchLineBytes:   4 << 20,
		WatchSilenceTimeout: 1300 * time.Millisecond,
		MinWatchBackoff:     100 * time.Millisecond,
		WatchCallTime:       500 * time.Millisecond,
		DrainApplyWithin:    2 * time.Second,
		PurgeApplyWithin:    500 * time.Millisecond,
		MaxEventDelay:       7 * time.Second, // protocol page, 'Figures'
		InitialListTimeout:  2 * time.Second, // the spread of the first calls, and a call
		MaxMembers:          4096,

		BufferSize: 16 << 10,

		MaxOperatorConns:   operatorConns,
		LoopStallThreshold: time.Second,
		DrainNoticePeriod:  500 * time.Millisecond, // the front asks ten times a second and sends nobody new 0.2 s behind a no
		DrainGracePeriod:   1200 * time.Millisecond,
		DrainDeadline:      3200 * time.Millisecond,
		DrainCheckInterval: 20 * time.Millisecond,

		StopGracePeriod:    700 * time.Millisecond,
		ShutdownRetryAfter: time.Second,
		StopCheckInterval:  5 * time.Millisecond,
		StopHandoverPeriod: (kill - 200*time.Millisecond) * 3 / 5, // what comes then has the rest of the time for its answer
		StopAnswerDeadline: kill - 200*time.Millisecond,
		StopDeadline:       kill - 50*time.Millisecond,

		PauseThreshold:     80 * time.Millisecond, // under the time in which a client's leaving must be heeded, over the router's tick
		PauseSettleTime:    30 * time.Millisecond,
		LongPauseThreshold: 300 * time.Millisecond, // well under the time to heed a purge

		FlightRecorderEvents:       2048,
		FlightRecorderEventsAtExit: 256,
		CountersInterval:           5 * time.Second,
	}
	l.BufferCount = memory / 3 / l.BufferSize
	if s.SiteLimits.MaxOpenRequests > 0 {
		l.MaxOpenRequests = min(l.MaxOpenRequests, s.SiteLimits.MaxOpenRequests)
	}
	if v := t.Ceilings.ConnectTimeout; v > 0 {
		l.ConnectTimeout = v
	}
	if v := s.Guarantees.DrainGrace; v > 0 {
		l.DrainApplyWithin = v
	}
	// What is told in silence is heard when the silence is over and the service was called again. A sign of life comes
	// each second, so that nothing shorter than that, with room for the way, is a silence.
	l.WatchSilenceTimeout = max(heartbeatInterval+heartbeatInterval/10, min(l.WatchSilenceTimeout, l.DrainApplyWithin-l.WatchCallTime-heartbeatInterval/5))
	if v := s.Tiers.PurgeSlack; v > 0 {
		l.PurgeApplyWithin = v
	}
	if v := t.Ceilings.Keepalive; v > 0 {
		l.UpstreamIdleTimeout = v * 3 / 4 // before the peer does: an attempt that crosses its close may have run
	}
	if v := t.Ceilings.StreamsPerConn; v > 0 {
		l.MaxAttemptsPerConn = min(v, math.MaxInt16)
	}
	return l
}
