package testbed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// tier is the kind of a server: cache, parent or origin.
type tier int

const (
	cacheTier tier = iota
	parentTier
	originTier
)

var (
	kindNames = [...]string{"edge", "parent", "origin"}
	linkNames = [...]string{"caches", "parents", "origin"}
)

func hubName(i int) string    { return fmt.Sprintf("hub-%d", i+1) }
func branchName(i int) string { return fmt.Sprintf("branch-%d", i+1) }

// Result codes of the cache protocol.
const (
	resultOK   = "OK"
	resultMiss = "MISS"
	resultBusy = "BUSY"

	unknownDirector = -1
)

// addressReuseTimeout is how long a server waits for the address of the server that it replaces.
const addressReuseTimeout = 2 * time.Second

// cachedCopy is a copy of an object in a cache. since is the time at which the copy left the origin.
type cachedCopy struct{ since time.Time }

// server is the stand-in for a cache, a parent or the origin. Its link carries spec.Weight transfers at full rate; more
// transfers share the link. A cold server starts with a fraction of this capacity, which rises linearly to all of it.
// If the work that arrives within a time window exceeds the cold server's current budget, the server collapses and
// stays down.
type server struct {
	testbed *Testbed
	name    string
	tier    tier
	zone    string
	spec    ServerSpec
	addr    *net.TCPAddr

	mu              sync.Mutex
	listener        *net.TCPListener
	state           string // ready, draining, gone
	startedAt       time.Time
	cold            bool // capacity ramps up from startedAt (slow start)
	silent          bool // a fault: nothing is answered
	busy            bool // a fault: all requests are rejected
	exited          bool // the simulated process has ended
	collapsed       bool // by overload while cold
	activeTransfers int
	activeFills     int
	cached          map[string]cachedCopy
	fillsInFlight   map[string]*fill
	conns           map[net.Conn]bool
	recentArrivals  []arrival   // of the last spec.FallMS
	recentCalls     []time.Time // requests to the origin within the last second
	capacityFactor  float64     // of the origin: multiplies its rate limit
}

// arrival is work that arrived at a server. The work is the transfer time at full rate, in seconds.
type arrival struct {
	at   time.Time
	work float64
}

func (t *Testbed) newServer(
	name, zone string,
	tier tier,
	spec ServerSpec,
	addr *net.TCPAddr,
	cold bool,
) (*server, error) {
	standIn := &server{
		testbed:        t,
		name:           name,
		tier:           tier,
		zone:           zone,
		spec:           spec,
		state:          "ready",
		startedAt:      time.Now(),
		cold:           cold,
		cached:         map[string]cachedCopy{},
		fillsInFlight:  map[string]*fill{},
		conns:          map[net.Conn]bool{},
		capacityFactor: 1,
	}
	listener, err := listenWhenFree(addr)
	if err != nil {
		return nil, err
	}
	standIn.listener, standIn.addr = listener, listener.Addr().(*net.TCPAddr)
	event := Event{Kind: "life", Who: name, What: "up", Class: kindNames[tier], Site: zone, Weight: spec.Weight,
		Conns: spec.MaxConns}
	if cold {
		event.ColdFrom, event.Ramp, event.Fall, event.Multiple = spec.ColdFrom, spec.RampMS, spec.FallMS, spec.Multiple
	}
	t.history.record(event)
	go standIn.accept(listener)
	return standIn, nil
}

// listenWhenFree listens on an address and retries for addressReuseTimeout while the address is in use (EADDRINUSE).
// The kernel frees the address of a closed listener only after a concurrent accept call has returned.
func listenWhenFree(addr *net.TCPAddr) (*net.TCPListener, error) {
	deadline := time.Now().Add(addressReuseTimeout)
	for {
		listener, err := net.ListenTCP("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(deadline) {
			return listener, err
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *server) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := s.spec.MaxConns > 0 && len(s.conns) >= s.spec.MaxConns
		if !full {
			s.conns[conn] = true
		}
		s.mu.Unlock()
		if full {
			s.testbed.history.record(Event{Kind: "conn", Who: s.name, What: "turned away"})
			resetConn(conn)
			continue
		}
		s.testbed.history.record(Event{Kind: "conn", Who: s.name, What: "accepted"})
		go s.serve(conn)
	}
}

// stop simulates the end of the server's process: open connections are reset, and new ones are refused. The first call
// records the reason.
func (s *server) stop(reason string) {
	s.mu.Lock()
	alreadyExited := s.exited
	s.exited = true
	_ = s.listener.Close()
	for conn := range s.conns {
		resetConn(conn)
	}
	s.mu.Unlock()
	if !alreadyExited {
		s.testbed.history.record(Event{Kind: "life", Who: s.name, What: reason, Site: s.zone})
	}
}

// serverConn is a connection from a director to a server.
type serverConn struct {
	server    *server
	conn      *faultyConn
	writeMu   sync.Mutex
	cancelled sync.Map // refs that the director has cancelled
}

func (s *server) serve(tcp net.Conn) {
	c := &serverConn{server: s, conn: s.testbed.faults.wrap(tcp, linkNames[s.tier], unknownDirector)}
	defer func() {
		_ = tcp.Close()
		s.testbed.faults.forget(c.conn)
		s.mu.Lock()
		delete(s.conns, tcp)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(tcp)
	for {
		words, err := readCommand(reader)
		if err != nil || !c.handle(words) {
			return
		}
	}
}

// handle processes one command of a director: HELO, REQ or STOP. A silent server or a faulty link drops the command. It
// returns false if the command is invalid, and the caller then closes the connection.
func (c *serverConn) handle(words []string) bool {
	standIn := c.server
	director, known := standIn.testbed.directorFor(words[1])
	if known {
		c.conn.setDirector(director)
	}
	standIn.mu.Lock()
	silent := standIn.silent
	standIn.mu.Unlock()
	if silent || !c.conn.delivers() {
		return true
	}
	switch {
	case words[0] == "HELO":
		c.writeReply(words[1], "UP", "-", "")
	case words[0] == "STOP" && len(words) == 2:
		c.cancelled.Store(words[1], true)
	case words[0] == "REQ" && len(words) == 4 && known:
		c.cancelled.Delete(words[1])
		go c.handleRequest(newServerRequest(director, words))
	default:
		standIn.testbed.history.record(
			Event{Kind: "fault", Who: standIn.name, What: fmt.Sprintf("can't use %.60q", words)},
		)
		return false
	}
	return true
}

func (c *serverConn) writeReply(words ...string) {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = io.WriteString(c.conn, text.String())
}

// serverRequest is a request of a director, decoded from a REQ command.
type serverRequest struct {
	ref      string
	director int
	body     string

	class        string
	object       string
	part         string
	source       string        // name of the server to fill from; empty if there is none
	maxAge       time.Duration // copies of this age or older are not served
	store        bool          // cache the copy that a fill fetches
	mayCoalesce  bool          // the request may wait for another request's fill
	onlyIfCached bool          // the source must not fetch from the origin
}

// unlimitedAge is the maxAge of a request that accepts copies of any age.
const unlimitedAge = time.Duration(1<<62 - 1)

func newServerRequest(director int, words []string) serverRequest {
	fields := map[string]string{}
	for field := range strings.SplitSeq(words[2], ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	request := serverRequest{
		ref:          words[1],
		director:     director,
		body:         words[3],
		class:        fields["sort"],
		object:       fields["asset"],
		part:         fields["slice"],
		source:       fields["up"],
		maxAge:       unlimitedAge,
		store:        fields["store"] != "" && fields["store"] != "0",
		mayCoalesce:  strings.Contains(fields["do"], "share"),
		onlyIfCached: strings.Contains(fields["do"], "peek"),
	}
	if ms, err := strconv.ParseInt(fields["cap"], 10, 64); err == nil && ms > 0 {
		request.maxAge = time.Duration(ms) * time.Millisecond
	}
	return request
}

func (r serverRequest) key() string { return r.object + "/" + r.part }

// handleRequest serves a request and writes the reply. It writes none if the server collapses under the request or the
// director has cancelled it.
func (c *serverConn) handleRequest(request serverRequest) {
	standIn, history := c.server, c.server.testbed.history
	work := standIn.testbed.transferWork(request.object)
	history.record(Event{Kind: "req", Who: standIn.name, Director: directorName(request.director), Ref: request.ref,
		Class: request.class, Object: request.object, Source: request.source, Work: work})
	if !standIn.admitWork(work) {
		return
	}
	standIn.mu.Lock()
	busy := standIn.busy
	standIn.mu.Unlock()
	if busy {
		history.record(
			Event{Kind: "done", Who: standIn.name, Director: directorName(request.director), Ref: request.ref,
				What: resultBusy},
		)
		c.writeReply(request.ref, resultBusy, "-", "")
		return
	}
	arrived := time.Now()
	found := standIn.lookUp(request)
	waited := time.Since(arrived)
	if found.result == resultOK {
		time.Sleep(standIn.reserveTransfer(work))
		standIn.update(func() { standIn.activeTransfers-- })
	}
	if _, cancelled := c.cancelled.LoadAndDelete(request.ref); cancelled {
		return
	}
	event := Event{Kind: "done", Who: standIn.name, Director: directorName(request.director), Ref: request.ref,
		What: found.result, Class: found.status}
	tail, body := "-", ""
	if found.status != "" {
		tail = fmt.Sprintf("n=%s,fill=%d", found.status, waited.Milliseconds())
	}
	if found.result == resultOK {
		since := found.copy.since.UnixMilli()
		tail = fmt.Sprintf("rev=1,since=%d,n=%s", since, found.status)
		body = responseBody(request.object, request.part, since)
		event.Since = history.sinceStart(since)
	}
	history.record(event)
	c.writeReply(request.ref, found.result, tail, body)
}

// responseBody returns the body of an answer, which the client verifies. It holds the object, the part, the time at
// which the copy left the origin (Unix milliseconds) and padding.
func responseBody(object, part string, since int64) string {
	return fmt.Sprintf("%s/%s/%d/%s", object, part, since, strings.Repeat("x", 200))
}

// purge removes the copies of an object that left the origin before the purge.
func (s *server) purge(object string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, held := range s.cached {
		if strings.HasPrefix(key, object+"/") && held.since.Before(at) {
			delete(s.cached, key)
		}
	}
}
