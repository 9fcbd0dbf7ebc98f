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

// tier is what kind of server a stand-in is.
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

// fillTimeout is for how long a fill waits for a source that says nothing.
const fillTimeout = time.Second

// cachedCopy is a copy that a server holds.
type cachedCopy struct{ since time.Time }

// fill is a fetch of an object under way; others may wait for it.
type fill struct {
	done   chan struct{}
	ok     bool
	status string
	copy   cachedCopy
}

// server is a cache, a parent or the origin. Its link carries weight transfers at full pace and is divided among
// more. A cold one has a share of that which rises in a line; asked for more than it bears within a time, it
// falls over and stays down.
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
	cold            bool // since is a late start: the cold budget holds
	silent          bool
	busy            bool // turns all requests away
	exited          bool // its process is gone
	collapsed       bool
	activeTransfers int
	activeFills     int
	cached          map[string]cachedCopy
	fillsInFlight   map[string]*fill
	conns           map[net.Conn]bool
	recentArrivals  []arrival // within the last fall, for falling over
	recentCalls     []time.Time
	capacityFactor  float64 // of its capacity that the origin has now
}

// addressWait is for how long a server waits for the address of the one that it replaces.
const addressWait = 2 * time.Second

type arrival struct {
	at   time.Time
	work float64
}

func (l *Testbed) newServer(name, zone string, t tier, spec ServerSpec, addr *net.TCPAddr, cold bool) (*server, error) {
	s := &server{testbed: l, name: name, zone: zone, tier: t, spec: spec, addr: addr, state: "ready", startedAt: time.Now(), cold: cold,
		capacityFactor: 1, cached: map[string]cachedCopy{}, fillsInFlight: map[string]*fill{}, conns: map[net.Conn]bool{}}
	ln, err := net.ListenTCP("tcp", addr)
	// The old process's socket is closed once its accept has returned, which may be a moment after it was told to.
	for until := time.Now().Add(addressWait); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
		ln, err = net.ListenTCP("tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	s.listener, s.addr = ln, ln.Addr().(*net.TCPAddr)
	e := Event{Kind: "life", Who: name, What: "up", Class: kindNames[t], Site: zone, Weight: spec.Weight,
		Conns: spec.MaxConns}
	if cold {
		e.ColdFrom, e.Ramp, e.Fall, e.Multiple = spec.ColdFrom, spec.RampMS, spec.FallMS, spec.Multiple
	}
	l.history.record(e)
	go s.accept(ln)
	return s, nil
}

func (s *server) accept(ln *net.TCPListener) {
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		s.mu.Lock()
		over := s.spec.MaxConns > 0 && len(s.conns) >= s.spec.MaxConns
		if !over {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if over {
			s.testbed.history.record(Event{Kind: "conn", Who: s.name, What: "turned away"})
			resetConn(c)
			continue
		}
		s.testbed.history.record(Event{Kind: "conn", Who: s.name, What: "accepted"})
		go s.serve(c)
	}
}

// stop ends the process: its connections are reset, and new ones refused.
func (s *server) stop(what string) {
	s.mu.Lock()
	was := s.exited
	s.exited = true
	s.listener.Close()
	for c := range s.conns {
		resetConn(c)
	}
	s.mu.Unlock()
	if !was {
		s.testbed.history.record(Event{Kind: "life", Who: s.name, What: what, Site: s.zone})
	}
}

func (s *server) serve(c net.Conn) {
	w := s.testbed.faults.wrap(c, linkNames[s.tier], -1)
	defer func() {
		c.Close()
		s.testbed.faults.forget(w)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var write sync.Mutex
	var stops sync.Map
	for {
		words, err := readCommand(r)
		if err != nil {
			return
		}
		director, known := s.testbed.directorFor(words[1])
		if known {
			w.setDirector(director)
		}
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent || !w.delivers() {
			continue
		}
		switch {
		case words[0] == "HELO":
			s.writeReply(w, &write, words[1], "UP", "-", "")
		case words[0] == "STOP" && len(words) == 2:
			stops.Store(words[1], true)
		case words[0] == "REQ" && len(words) == 4 && known:
			stops.Delete(words[1])
			go s.handleRequest(w, &write, &stops, director, words)
		default:
			s.testbed.history.record(Event{Kind: "fault", Who: s.name, What: fmt.Sprintf("can't use %.60q", words)})
			return
		}
	}
}

func (s *server) writeReply(w io.Writer, write *sync.Mutex, words ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, x := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(x), x)
	}
	write.Lock()
	defer write.Unlock()
	_, _ = io.WriteString(w, b.String())
}

// handleRequest takes one REQ from its arrival to its answer.
func (s *server) handleRequest(w io.Writer, write *sync.Mutex, stops *sync.Map, director int, words []string) {
	ref, fields := words[1], map[string]string{}
	for f := range strings.SplitSeq(words[2], ",") {
		k, v, _ := strings.Cut(f, "=")
		fields[k] = v
	}
	work := s.testbed.transferWork(fields["asset"])
	s.testbed.history.record(Event{Kind: "req", Who: s.name, Director: directorName(director), Ref: ref,
		Class: fields["sort"], Object: fields["asset"], Source: fields["up"], Work: work})
	if !s.admitWork(work) {
		return
	}
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	if busy {
		s.testbed.history.record(Event{Kind: "done", Who: s.name, Director: directorName(director), Ref: ref, What: "BUSY"})
		s.writeReply(w, write, ref, "BUSY", "-", "")
		return
	}
	came := time.Now()
	word, note, cp := s.lookUp(ref, director, fields, words[3])
	waited := time.Since(came)
	if word == "OK" {
		time.Sleep(s.reserveTransfer(work))
		s.mu.Lock()
		s.activeTransfers--
		s.mu.Unlock()
	}
	if _, stopped := stops.LoadAndDelete(ref); stopped {
		return
	}
	tail, body := "-", ""
	if note != "" {
		tail = fmt.Sprintf("n=%s,fill=%d", note, waited.Milliseconds())
	}
	e := Event{Kind: "done", Who: s.name, Director: directorName(director), Ref: ref, What: word, Class: note}
	if word == "OK" {
		tail = fmt.Sprintf("rev=1,since=%d,n=%s", cp.since.UnixMilli(), note)
		body = responseBody(fields["asset"], fields["slice"], cp.since.UnixMilli())
		e.Since = s.testbed.history.sinceStart(cp.since.UnixMilli())
	}
	s.testbed.history.record(e)
	s.writeReply(w, write, ref, word, tail, body)
}

// responseBody is what the client checks: the object, and when this copy left the origin.
func responseBody(object, part string, since int64) string {
	return fmt.Sprintf("%s/%s/%d/%s", object, part, since, strings.Repeat("x", 200))
}

// reserveTransfer reserves the link for one answer, and tells how long that takes on it as full as it is now.
func (s *server) reserveTransfer(work float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeTransfers++
	slow := max(1, float64(s.activeTransfers)/(s.spec.Weight*s.capacityShare()))
	return time.Duration((work*slow + s.spec.LatencyMS/1000) * float64(time.Second))
}

// capacityShare is the part of its link that the server can give now.
func (s *server) capacityShare() float64 {
	ramp := time.Duration(s.spec.RampMS * float64(time.Millisecond))
	if !s.cold || ramp == 0 {
		return 1
	}
	return min(1, s.spec.ColdFrom+(1-s.spec.ColdFrom)*float64(time.Since(s.startedAt))/float64(ramp))
}

// admitWork counts work that has arrived. A cold server that gets more than its multiple of what it can do now, over
// the time of its fall, falls over.
func (s *server) admitWork(work float64) bool {
	s.mu.Lock()
	if s.collapsed {
		s.mu.Unlock()
		return false
	}
	fall := time.Duration(s.spec.FallMS * float64(time.Millisecond))
	now := time.Now()
	share := s.capacityShare()
	if s.tier == originTier || share >= 1 {
		s.mu.Unlock()
		return true
	}
	s.recentArrivals = append(s.recentArrivals, arrival{now, work})
	for now.Sub(s.recentArrivals[0].at) > fall {
		s.recentArrivals = s.recentArrivals[1:]
	}
	sum := 0.0
	for _, a := range s.recentArrivals {
		sum += a.work
	}
	if sum <= s.spec.Multiple*s.spec.Weight*share*fall.Seconds()*1.5 { // the rule's own budget is the checker's
		s.mu.Unlock()
		return true
	}
	s.collapsed = true
	s.mu.Unlock()
	s.stop("fell over")
	return false
}

// lookUp finds the object here or fills it from the source that the request names.
func (s *server) lookUp(ref string, director int, fields map[string]string, body string) (word, note string, cp cachedCopy) {
	key := fields["asset"] + "/" + fields["slice"]
	if s.tier == originTier {
		return s.runAtOrigin(ref, fields, body)
	}
	if fields["sort"] == "repayment" {
		up := s.testbed.serverNamed(fields["up"])
		if up == nil {
			return "MISS", "", cp
		}
		s.testbed.history.record(Event{Kind: "source", Who: up.name, Director: directorName(director), Ref: ref})
		return up.lookUp(ref, director, fields, body)
	}
	oldest := time.Duration(1<<62 - 1)
	if v, err := strconv.ParseInt(fields["cap"], 10, 64); err == nil && v > 0 {
		oldest = time.Duration(v) * time.Millisecond
	}
	s.mu.Lock()
	if have, ok := s.cached[key]; ok && time.Since(have.since) < oldest {
		s.mu.Unlock()
		return "OK", "HIT", have
	}
	join := strings.Contains(fields["do"], "share") || s.tier == parentTier
	under := s.fillsInFlight[key]
	if under != nil && join && s.spec.CoalescesFills {
		s.mu.Unlock()
		<-under.done
		if !under.ok || time.Since(under.copy.since) >= oldest {
			return "MISS", "UP_DOWN", cp
		}
		return "OK", "COLLAPSED", under.copy
	}
	up := s.testbed.serverNamed(fields["up"])
	switch {
	case up == nil:
		s.mu.Unlock()
		if under != nil {
			return "MISS", "COLLAPSED", cp
		}
		return "MISS", "", cp
	case s.spec.FillSlots > 0 && s.activeFills >= s.spec.FillSlots:
		s.mu.Unlock()
		return "BUSY", "NO_FILL", cp
	}
	s.activeFills++
	f := &fill{done: make(chan struct{})}
	s.fillsInFlight[key] = f
	s.mu.Unlock()
	f.ok, f.status, f.copy = s.fetchFromSource(up, ref, director, fields)
	s.mu.Lock()
	s.activeFills--
	delete(s.fillsInFlight, key)
	if f.ok && (s.tier == parentTier || (fields["store"] != "" && fields["store"] != "0")) {
		s.cached[key] = f.copy
	}
	s.mu.Unlock()
	close(f.done)
	switch {
	case f.ok:
		return "OK", f.status, f.copy
	case f.status == "UP_BUSY":
		return "BUSY", f.status, cp
	}
	return "MISS", f.status, cp
}

// fetchFromSource asks the source, which counts it as work that reaches it.
func (s *server) fetchFromSource(up *server, ref string, director int, fields map[string]string) (bool, string, cachedCopy) {
	s.testbed.history.record(Event{Kind: "source", Who: up.name, Director: directorName(director), Ref: ref,
		Object: fields["asset"], Work: s.testbed.transferWork(fields["asset"])})
	up.mu.Lock()
	dead, silent, busy := up.exited || up.collapsed || up.state == "gone", up.silent, up.busy
	up.mu.Unlock()
	switch {
	case busy:
		return false, "UP_BUSY", cachedCopy{}
	case silent && !dead:
		time.Sleep(fillTimeout)
		return false, "UP_DOWN", cachedCopy{}
	}
	if dead || !up.admitWork(s.testbed.transferWork(fields["asset"])) {
		return false, "UP_DOWN", cachedCopy{}
	}
	next := map[string]string{"sort": fields["sort"], "asset": fields["asset"], "slice": fields["slice"], "cap": fields["cap"]}
	if up.tier == parentTier && !strings.Contains(fields["do"], "peek") {
		next["up"] = originName
	}
	word, note, cp := up.lookUp(ref, director, next, "")
	if work := s.testbed.transferWork(fields["asset"]); word == "OK" && up.tier == parentTier {
		// The bytes are passed on as they come, so that only what a crowded link adds is waited for here.
		took := up.reserveTransfer(work)
		time.Sleep(max(0, took-time.Duration(work*float64(time.Second))))
		up.update(func() { up.activeTransfers-- })
	} else {
		time.Sleep(time.Duration(up.spec.LatencyMS * float64(time.Millisecond)))
	}
	switch {
	case word == "OK" && up.tier == parentTier && (note == "HIT" || note == "COLLAPSED"):
		return true, "MISS", cp // the protocol's word for a fill from the source's copy
	case word == "OK" && up.tier == cacheTier:
		return true, "MISS", cp
	case word == "OK":
		return true, "MISS_ORIGIN", cp
	case note == "UP_BUSY" || note == "ORIGIN_ERR":
		return false, "ORIGIN_ERR", cachedCopy{}
	case word == "BUSY":
		return false, "UP_BUSY", cachedCopy{}
	}
	return false, "UP_MISS", cachedCopy{}
}

// runAtOrigin runs a write, or gives an object out. It can do so many a second; more are turned away.
func (s *server) runAtOrigin(ref string, fields map[string]string, body string) (word, note string, cp cachedCopy) {
	s.mu.Lock()
	now := time.Now()
	s.recentCalls = append(s.recentCalls, now)
	for now.Sub(s.recentCalls[0]) > time.Second {
		s.recentCalls = s.recentCalls[1:]
	}
	busy := float64(len(s.recentCalls)) > s.testbed.experiment.Origin.PerSecond*s.capacityFactor
	s.mu.Unlock()
	if busy {
		s.testbed.history.record(Event{Kind: "origin", What: "busy", Object: fields["asset"]})
		return "BUSY", "", cp
	}
	if fields["sort"] == "repayment" {
		s.testbed.history.record(Event{Kind: "run", Who: s.name, Ref: ref})
	} else {
		s.testbed.history.record(Event{Kind: "origin", What: "fetch", Object: fields["asset"]})
	}
	time.Sleep(time.Duration(s.testbed.experiment.Origin.LatencyMS * float64(time.Millisecond)))
	note = "MISS_ORIGIN"
	if fields["sort"] != "repayment" {
		note = "HIT"
	}
	return "OK", note, cachedCopy{since: now}
}

// setCapacityFactor sets the part of its capacity that the origin has.
func (s *server) setCapacityFactor(part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacityFactor = part
}

// purge drops what is older than the purge.
func (s *server) purge(object string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, have := range s.cached {
		if strings.HasPrefix(k, object+"/") && have.since.Before(at) {
			delete(s.cached, k)
		}
	}
}

// readCommand reads a RESP array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	number := func(mark byte) (int, error) {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, string(mark))))
		if err != nil || line[0] != mark || n < 0 || n > 1<<20 {
			return 0, fmt.Errorf("%.40q is no length", line)
		}
		return n, nil
	}
	n, err := number('*')
	if err != nil {
		return nil, err
	}
	if n < 2 || n > 4 {
		return nil, fmt.Errorf("command of %d words", n)
	}
	words := make([]string, n)
	for i := range words {
		size, err := number('$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:size])
	}
	return words, nil
}
