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

// fillLimit is for how long a fill waits for a source that says nothing.
const fillLimit = time.Second

// copyOf is a copy that a server holds.
type copyOf struct{ since time.Time }

// fill is a fetch of an object under way; others may wait for it.
type fill struct {
	done chan struct{}
	ok   bool
	note string
	copy copyOf
}

// server is a cache, a parent or the origin. Its link carries weight transfers at full pace and is divided among
// more. A cold one has a share of that which rises in a line; asked for more than it bears within a time, it
// falls over and stays down.
type server struct {
	lab  *Testbed
	name string
	tier tier
	zone string
	spec ServerSpec
	addr *net.TCPAddr

	mu      sync.Mutex
	ln      *net.TCPListener
	state   string // ready, draining, gone
	since   time.Time
	cold    bool // since is a late start: the cold budget holds
	silent  bool
	busy    bool // turns all requests away
	ended   bool // its process is gone
	fell    bool
	active  int
	fills   int
	held    map[string]copyOf
	under   map[string]*fill
	conns   map[net.Conn]bool
	arrived []arrival // within the last fall, for falling over
	calls   []time.Time
	part    float64 // of its capacity that the origin has now
}

// addressFree is for how long a server waits for the address of the one that it replaces.
const addressFree = 2 * time.Second

type arrival struct {
	at   time.Time
	work float64
}

func (l *Testbed) newServer(name, zone string, t tier, spec ServerSpec, addr *net.TCPAddr, cold bool) (*server, error) {
	s := &server{lab: l, name: name, zone: zone, tier: t, spec: spec, addr: addr, state: "ready", since: time.Now(), cold: cold,
		part: 1, held: map[string]copyOf{}, under: map[string]*fill{}, conns: map[net.Conn]bool{}}
	ln, err := net.ListenTCP("tcp", addr)
	// The old process's socket is closed once its accept has returned, which may be a moment after it was told to.
	for until := time.Now().Add(addressFree); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
		ln, err = net.ListenTCP("tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	s.ln, s.addr = ln, ln.Addr().(*net.TCPAddr)
	e := Event{Kind: "life", Who: name, What: "up", Class: kindNames[t], Site: zone, Weight: spec.Weight,
		Conns: spec.MaxConns}
	if cold {
		e.ColdFrom, e.Ramp, e.Fall, e.Multiple = spec.ColdFrom, spec.RampMS, spec.FallMS, spec.Multiple
	}
	l.record.add(e)
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
			s.lab.record.add(Event{Kind: "conn", Who: s.name, What: "turned away"})
			reset(c)
			continue
		}
		s.lab.record.add(Event{Kind: "conn", Who: s.name, What: "accepted"})
		go s.serve(c)
	}
}

// down ends the process: its connections are reset, and new ones refused.
func (s *server) down(what string) {
	s.mu.Lock()
	was := s.ended
	s.ended = true
	s.ln.Close()
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
	if !was {
		s.lab.record.add(Event{Kind: "life", Who: s.name, What: what, Site: s.zone})
	}
}

func (s *server) serve(c net.Conn) {
	w := s.lab.faults.wrap(c, linkNames[s.tier], -1)
	defer func() {
		c.Close()
		s.lab.faults.drop(w)
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
		director, known := s.lab.directorOf(words[1])
		if known {
			w.belongs(director)
		}
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent || !w.arrives() {
			continue
		}
		switch {
		case words[0] == "HELO":
			s.answer(w, &write, words[1], "UP", "-", "")
		case words[0] == "STOP" && len(words) == 2:
			stops.Store(words[1], true)
		case words[0] == "REQ" && len(words) == 4 && known:
			stops.Delete(words[1])
			go s.request(w, &write, &stops, director, words)
		default:
			s.lab.record.add(Event{Kind: "fault", Who: s.name, What: fmt.Sprintf("can't use %.60q", words)})
			return
		}
	}
}

func (s *server) answer(w io.Writer, write *sync.Mutex, words ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, x := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(x), x)
	}
	write.Lock()
	defer write.Unlock()
	_, _ = io.WriteString(w, b.String())
}

// request takes one REQ from its arrival to its answer.
func (s *server) request(w io.Writer, write *sync.Mutex, stops *sync.Map, director int, words []string) {
	ref, fields := words[1], map[string]string{}
	for f := range strings.SplitSeq(words[2], ",") {
		k, v, _ := strings.Cut(f, "=")
		fields[k] = v
	}
	work := s.lab.work(fields["asset"])
	s.lab.record.add(Event{Kind: "req", Who: s.name, Director: directorName(director), Ref: ref,
		Class: fields["sort"], Object: fields["asset"], Source: fields["up"], Work: work})
	if !s.bears(work) {
		return
	}
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	if busy {
		s.lab.record.add(Event{Kind: "done", Who: s.name, Director: directorName(director), Ref: ref, What: "BUSY"})
		s.answer(w, write, ref, "BUSY", "-", "")
		return
	}
	came := time.Now()
	word, note, cp := s.take(ref, director, fields, words[3])
	waited := time.Since(came)
	if word == "OK" {
		time.Sleep(s.transfer(work))
		s.mu.Lock()
		s.active--
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
		body = bodyOf(fields["asset"], fields["slice"], cp.since.UnixMilli())
		e.Since = s.lab.record.at(cp.since.UnixMilli())
	}
	s.lab.record.add(e)
	s.answer(w, write, ref, word, tail, body)
}

// bodyOf is what the client checks: the object, and when this copy left the origin.
func bodyOf(object, part string, since int64) string {
	return fmt.Sprintf("%s/%s/%d/%s", object, part, since, strings.Repeat("x", 200))
}

// transfer reserves the link for one answer, and tells how long that takes on it as full as it is now.
func (s *server) transfer(work float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	slow := max(1, float64(s.active)/(s.spec.Weight*s.share()))
	return time.Duration((work*slow + s.spec.LatencyMS/1000) * float64(time.Second))
}

// share is the part of its link that the server can give now.
func (s *server) share() float64 {
	ramp := time.Duration(s.spec.RampMS * float64(time.Millisecond))
	if !s.cold || ramp == 0 {
		return 1
	}
	return min(1, s.spec.ColdFrom+(1-s.spec.ColdFrom)*float64(time.Since(s.since))/float64(ramp))
}

// bears counts work that has arrived. A cold server that gets more than its multiple of what it can do now, over
// the time of its fall, falls over.
func (s *server) bears(work float64) bool {
	s.mu.Lock()
	if s.fell {
		s.mu.Unlock()
		return false
	}
	fall := time.Duration(s.spec.FallMS * float64(time.Millisecond))
	now := time.Now()
	share := s.share()
	if s.tier == originTier || share >= 1 {
		s.mu.Unlock()
		return true
	}
	s.arrived = append(s.arrived, arrival{now, work})
	for now.Sub(s.arrived[0].at) > fall {
		s.arrived = s.arrived[1:]
	}
	sum := 0.0
	for _, a := range s.arrived {
		sum += a.work
	}
	if sum <= s.spec.Multiple*s.spec.Weight*share*fall.Seconds()*1.5 { // the rule's own budget is the checker's
		s.mu.Unlock()
		return true
	}
	s.fell = true
	s.mu.Unlock()
	s.down("fell over")
	return false
}

// take finds the object here or fills it from the source that the request names.
func (s *server) take(ref string, director int, fields map[string]string, body string) (word, note string, cp copyOf) {
	key := fields["asset"] + "/" + fields["slice"]
	if s.tier == originTier {
		return s.atOrigin(ref, fields, body)
	}
	if fields["sort"] == "repayment" {
		up := s.lab.server(fields["up"])
		if up == nil {
			return "MISS", "", cp
		}
		s.lab.record.add(Event{Kind: "source", Who: up.name, Director: directorName(director), Ref: ref})
		return up.take(ref, director, fields, body)
	}
	oldest := time.Duration(1<<62 - 1)
	if v, err := strconv.ParseInt(fields["cap"], 10, 64); err == nil && v > 0 {
		oldest = time.Duration(v) * time.Millisecond
	}
	s.mu.Lock()
	if have, ok := s.held[key]; ok && time.Since(have.since) < oldest {
		s.mu.Unlock()
		return "OK", "HIT", have
	}
	join := strings.Contains(fields["do"], "share") || s.tier == parentTier
	under := s.under[key]
	if under != nil && join && s.spec.CoalescesFills {
		s.mu.Unlock()
		<-under.done
		if !under.ok || time.Since(under.copy.since) >= oldest {
			return "MISS", "UP_DOWN", cp
		}
		return "OK", "COLLAPSED", under.copy
	}
	up := s.lab.server(fields["up"])
	switch {
	case up == nil:
		s.mu.Unlock()
		if under != nil {
			return "MISS", "COLLAPSED", cp
		}
		return "MISS", "", cp
	case s.spec.FillSlots > 0 && s.fills >= s.spec.FillSlots:
		s.mu.Unlock()
		return "BUSY", "NO_FILL", cp
	}
	s.fills++
	f := &fill{done: make(chan struct{})}
	s.under[key] = f
	s.mu.Unlock()
	f.ok, f.note, f.copy = s.fetch(up, ref, director, fields)
	s.mu.Lock()
	s.fills--
	delete(s.under, key)
	if f.ok && (s.tier == parentTier || (fields["store"] != "" && fields["store"] != "0")) {
		s.held[key] = f.copy
	}
	s.mu.Unlock()
	close(f.done)
	switch {
	case f.ok:
		return "OK", f.note, f.copy
	case f.note == "UP_BUSY":
		return "BUSY", f.note, cp
	}
	return "MISS", f.note, cp
}

// fetch asks the source, which counts it as work that reaches it.
func (s *server) fetch(up *server, ref string, director int, fields map[string]string) (bool, string, copyOf) {
	s.lab.record.add(Event{Kind: "source", Who: up.name, Director: directorName(director), Ref: ref,
		Object: fields["asset"], Work: s.lab.work(fields["asset"])})
	up.mu.Lock()
	dead, silent, busy := up.ended || up.fell || up.state == "gone", up.silent, up.busy
	up.mu.Unlock()
	switch {
	case busy:
		return false, "UP_BUSY", copyOf{}
	case silent && !dead:
		time.Sleep(fillLimit)
		return false, "UP_DOWN", copyOf{}
	}
	if dead || !up.bears(s.lab.work(fields["asset"])) {
		return false, "UP_DOWN", copyOf{}
	}
	next := map[string]string{"sort": fields["sort"], "asset": fields["asset"], "slice": fields["slice"], "cap": fields["cap"]}
	if up.tier == parentTier && !strings.Contains(fields["do"], "peek") {
		next["up"] = originName
	}
	word, note, cp := up.take(ref, director, next, "")
	if work := s.lab.work(fields["asset"]); word == "OK" && up.tier == parentTier {
		// The bytes are passed on as they come, so that only what a crowded link adds is waited for here.
		took := up.transfer(work)
		time.Sleep(max(0, took-time.Duration(work*float64(time.Second))))
		up.set(func() { up.active-- })
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
		return false, "ORIGIN_ERR", copyOf{}
	case word == "BUSY":
		return false, "UP_BUSY", copyOf{}
	}
	return false, "UP_MISS", copyOf{}
}

// atOrigin runs a write, or gives an object out. It can do so many a second; more are turned away.
func (s *server) atOrigin(ref string, fields map[string]string, body string) (word, note string, cp copyOf) {
	s.mu.Lock()
	now := time.Now()
	s.calls = append(s.calls, now)
	for now.Sub(s.calls[0]) > time.Second {
		s.calls = s.calls[1:]
	}
	busy := float64(len(s.calls)) > s.lab.x.Origin.PerSecond*s.part
	s.mu.Unlock()
	if busy {
		s.lab.record.add(Event{Kind: "origin", What: "busy", Object: fields["asset"]})
		return "BUSY", "", cp
	}
	if fields["sort"] == "repayment" {
		s.lab.record.add(Event{Kind: "run", Who: s.name, Ref: ref})
	} else {
		s.lab.record.add(Event{Kind: "origin", What: "fetch", Object: fields["asset"]})
	}
	time.Sleep(time.Duration(s.lab.x.Origin.LatencyMS * float64(time.Millisecond)))
	note = "MISS_ORIGIN"
	if fields["sort"] != "repayment" {
		note = "HIT"
	}
	return "OK", note, copyOf{since: now}
}

// pace sets the part of its capacity that the origin has.
func (s *server) pace(part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part = part
}

// purge drops what is older than the purge.
func (s *server) purge(object string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, have := range s.held {
		if strings.HasPrefix(k, object+"/") && have.since.Before(at) {
			delete(s.held, k)
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
