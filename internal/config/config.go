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
	Name     string
	Listen   string
	Feed     string
	Operator string // where operators call; "": nowhere
	Seed     uint64
	Known    Known
	Settings routing.Settings
	Limits   Limits

	Inherited int // descriptor of a listening socket that was handed down; 0: none
}

// Known is the control feed's history at the start.
type Known struct {
	N      uint64            `json:"n"`
	Events []json.RawMessage `json:"events"`
}

// Limits are all sizes, counts and times that the program keeps to.
type Limits struct {
	Cores       float64
	MemoryBytes int64 // soft limit for the Go runtime
	Descriptors int

	// Clients.
	ClientConns   int           // connections clients may hold
	ClientOpen    int           // open requests on one connection
	RequestFrame  int           // bytes of one Thrift frame
	RequestBody   int           // bytes a write carries
	RequestFields int           // entries of the field map
	ClientBacklog int           // bytes a client may leave unread
	TotalBacklog  int           // bytes all clients together may leave unread
	ClientMessage time.Duration // for a connection's first message, and for any from its first byte to its last
	ClientKeeps   time.Duration // clients close a connection that was idle for so long, or leave it for good
	ClientIdle    time.Duration // an idle client connection is closed after this
	ClientLinger  time.Duration // our half closed, a connection is read on for so long until the client closes its own
	ClientStuck   time.Duration // who takes nothing for so long is cut off where the program is to be emptied
	ClientLingers int           // connections that linger at once, beyond ClientConns
	LingerBytes   int           // that are read and dropped on a connection that is ending
	FlushCheck    time.Duration // between looks whether a client has read what is left for it
	PartGrace     time.Duration // a new connection has so long for its first message when the program parts or is drained
	OpenRequests  int           // requests taken and not answered
	LongestAllow  time.Duration // that a client may wait
	Overdue       time.Duration // past its time, a request without an answer is failed

	// Caches, parents, origin.
	PeerConns      int           // descriptors that dialled connections may hold
	DialRoom       int           // beyond those: for dials that take the place of idle ones, until these are closed
	ConnsPerPeer   int           // connections to one peer, before attempts share them
	StreamsPerConn int           // attempts open on one connection
	ConnectTimeout time.Duration // a connection not up by then has failed
	PeerIdle       time.Duration // an idle connection is closed after this
	PeerKeepLeast  time.Duration // connections idle for less are used again, whatever resets teach
	PeerCrossing   time.Duration // a request that is reset within this of its writing may have crossed the close of an idle connection
	PeerSilence    time.Duration // asked and silent for so long, a connection takes nothing new
	PeerGhost      time.Duration // an answer that crosses a STOP is looked out for so long
	AnswerBody     int           // bytes of an object
	AnswerFields   int           // bytes of an answer's fields

	// Control feed.
	FeedLine    int           // bytes of one line
	FeedSilence time.Duration // no line for so long: call again
	FeedRetry   time.Duration // shortest wait after a call that failed
	FeedCall    time.Duration // a call takes no longer with the service well: connect, subscribe, read what was missed
	FeedHeed    time.Duration // within which a drain must be heeded from when the service has it
	FeedPurge   time.Duration // and a purge
	FeedStart   time.Duration // span of the fleet's first calls; no work is taken before ours. 0: FeedPurge's, and all work
	FeedLate    time.Duration // after which its news count as told though nothing arrived
	FeedWait    time.Duration // readiness waits for a list no longer
	Members     int           // members held at once

	// Buffers.
	BufferSize  int
	BufferCount int

	// Operators' calls and drains.
	OperatorConns int           // connections of operators held at once
	LoopStalled   time.Duration // an event loop that has not run for so long makes the process not ready
	DrainNotice   time.Duration // the front hears of a drain within this; until then clients would come back
	DrainWork     time.Duration // after a drain was asked for, work is taken on open connections for so long
	DrainEnd      time.Duration // and who goes on sending, or reads nothing, is ended by then
	DrainCheck    time.Duration // between looks at what a drained process holds

	// Stop.
	StopWork   time.Duration // after SIGTERM connections and requests are still taken for so long
	StopMoving time.Duration // and so long on a listener that another process takes over: clients move there as they have nothing open
	StopAnswer time.Duration // after SIGTERM all that was taken is answered by then
	RefuseFor  time.Duration // who is refused as the process is being emptied may as well stay away for so long
	StopCheck  time.Duration // between looks whether all is answered
	StopEnd    time.Duration // after SIGTERM the program ends no later

	// Pauses of the process.
	PauseLimit  time.Duration // a loop that has not run for so long was paused
	PauseSettle time.Duration // and then reads what has come for a tenth of that, and so long at most, before it acts
	PauseLong   time.Duration // behind a longer pause, work is let in as after a start

	// Logs.
	FlightEvents int           // latest events that are kept in memory
	FlightAtExit int           // and of these, so many are written at the exit
	ReportEvery  time.Duration // all counters are logged so often, so that a fleet can be counted from its logs
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
	Feed     string          `json:"feed"`
	Operator string          `json:"operator"`
	Known    Known           `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// transport holds the settings that only sockets need.
type transport struct {
	Ceilings struct {
		ConnectTimeout time.Duration `json:"connectTimeout"`
		Keepalive      time.Duration `json:"keepalive"`
		StreamsPerConn int           `json:"streamsPerConn"`
	} `json:"ceilings"`
}

// beat is the time between two signs of life of the feed (protocol page).
const beat = time.Second

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
	if v := getenv("EDGE_LISTEN"); v != "" && v != c.Listen {
		return nil, fmt.Errorf("EDGE_LISTEN: %q, but listen is %q", v, c.Listen)
	}
	if v := getenv("EDGE_FD"); v != "" {
		if c.Inherited, err = strconv.Atoi(v); err != nil || c.Inherited < 3 {
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
	c := &Config{Name: d.Name, Listen: d.Listen, Feed: d.Feed, Operator: d.Operator, Known: d.Known}
	if d.Name == "" {
		return nil, errors.New("name: missing")
	}
	for _, a := range []struct{ field, value string }{{"listen", d.Listen}, {"feed", d.Feed}, {"operator", d.Operator}} {
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
	var t transport
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
	c.Limits = fill(d, t, &c.Settings)
	return c, nil
}

// Replaceable tells whether a running program may go over to the configuration n: one that is for another
// director, or for another address, must not be taken for this one's.
func (c *Config) Replaceable(n *Config) error {
	switch {
	case n.Name != c.Name:
		return fmt.Errorf("name: %q, but this is %q", n.Name, c.Name)
	case n.Listen != c.Listen:
		return fmt.Errorf("listen: %q can't change from %q without a restart", n.Listen, c.Listen)
	}
	return nil
}

// fill derives the limits. Of the memory, a third may hold bodies in buffers, a sixth what clients have not
// read; the rest is for the program and the collector's headroom.
func fill(d document, t transport, s *routing.Settings) Limits {
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

		ClientConns:   sockets / 3,
		ClientOpen:    32,
		RequestFrame:  96 << 10,
		RequestBody:   48_000,
		RequestFields: 32,
		ClientBacklog: 32 * (240_000 + 1<<10),
		TotalBacklog:  memory / 6,
		ClientMessage: 2 * time.Second,
		ClientKeeps:   4500 * time.Millisecond,
		ClientIdle:    30 * time.Second,
		ClientLinger:  500 * time.Millisecond,
		ClientStuck:   500 * time.Millisecond,
		ClientLingers: lingers,
		LingerBytes:   1 << 20,
		FlushCheck:    10 * time.Millisecond,
		PartGrace:     2 * time.Second, // some clients take that long to write: what comes on a new connection is owed an answer
		OpenRequests:  4096,
		LongestAllow:  10 * time.Minute,
		Overdue:       25 * time.Millisecond,

		PeerConns:      sockets - sockets/3 - reserve,
		DialRoom:       dialRoom,
		ConnsPerPeer:   min(max((sockets-sockets/3-reserve)/8, 1), 32),
		StreamsPerConn: 100,
		ConnectTimeout: time.Second,
		PeerIdle:       15 * time.Second,
		PeerKeepLeast:  50 * time.Millisecond,
		PeerCrossing:   50 * time.Millisecond, // protocol page, of the close of an idle connection
		PeerSilence:    time.Second,
		PeerGhost:      5 * time.Second,
		AnswerBody:     240_000,
		AnswerFields:   4 << 10,

		FeedLine:    4 << 20,
		FeedSilence: 1300 * time.Millisecond,
		FeedRetry:   100 * time.Millisecond,
		FeedCall:    500 * time.Millisecond,
		FeedHeed:    2 * time.Second,
		FeedPurge:   500 * time.Millisecond,
		FeedLate:    7 * time.Second, // protocol page, 'Figures'
		FeedWait:    2 * time.Second, // the spread of the first calls, and a call
		Members:     4096,

		BufferSize: 16 << 10,

		OperatorConns: operatorConns,
		LoopStalled:   time.Second,
		DrainNotice:   500 * time.Millisecond, // the front asks ten times a second and sends nobody new 0.2 s behind a no
		DrainWork:     1200 * time.Millisecond,
		DrainEnd:      3200 * time.Millisecond,
		DrainCheck:    20 * time.Millisecond,

		StopWork:   700 * time.Millisecond,
		RefuseFor:  time.Second,
		StopCheck:  5 * time.Millisecond,
		StopMoving: (kill - 200*time.Millisecond) * 3 / 5, // what comes then has the rest of the time for its answer
		StopAnswer: kill - 200*time.Millisecond,
		StopEnd:    kill - 50*time.Millisecond,

		PauseLimit:  80 * time.Millisecond, // under the time in which a client's leaving must be heeded, over the router's tick
		PauseSettle: 30 * time.Millisecond,
		PauseLong:   300 * time.Millisecond, // well under the time to heed a purge

		FlightEvents: 2048,
		FlightAtExit: 256,
		ReportEvery:  5 * time.Second,
	}
	l.BufferCount = memory / 3 / l.BufferSize
	if s.SiteLimits.MaxOpenRequests > 0 {
		l.OpenRequests = min(l.OpenRequests, s.SiteLimits.MaxOpenRequests)
	}
	if v := t.Ceilings.ConnectTimeout; v > 0 {
		l.ConnectTimeout = v
	}
	if v := s.Guarantees.DrainGrace; v > 0 {
		l.FeedHeed = v
	}
	// What is told in silence is heard when the silence is over and the service was called again. A sign of life comes
	// each second, so that nothing shorter than that, with room for the way, is a silence.
	l.FeedSilence = max(beat+beat/10, min(l.FeedSilence, l.FeedHeed-l.FeedCall-beat/5))
	if v := s.Tiers.PurgeSlack; v > 0 {
		l.FeedPurge = v
	}
	if v := t.Ceilings.Keepalive; v > 0 {
		l.PeerIdle = v * 3 / 4 // before the peer does: an attempt that crosses its close may have run
	}
	if v := t.Ceilings.StreamsPerConn; v > 0 {
		l.StreamsPerConn = min(v, math.MaxInt16)
	}
	return l
}
