package testbed

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reply is what came of one request.
type reply struct {
	outcome    string // served, refused, failed, lost
	retryAfter time.Duration
	body       string
}

// clientConn is a client's connection to one director: calls by number, answers in any order.
type clientConn struct {
	*faultyConn
	mu      sync.Mutex
	seq     int32
	pending map[int32]chan reply
	closed  bool
}

const maxOpenRequests = 32 // requests open on one connection (protocol page)

func (l *Testbed) dialDirector(director int) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", l.directors[director].addr(), time.Second)
	if err != nil {
		return nil, err
	}
	x := &clientConn{faultyConn: l.faults.wrap(c, "clients", director), pending: map[int32]chan reply{}}
	go x.readReplies(l)
	return x, nil
}

func (c *clientConn) readReplies(l *Testbed) {
	var err error
	for err == nil {
		var size [4]byte
		if _, err = io.ReadFull(c.Conn, size[:]); err != nil {
			break
		}
		n := binary.BigEndian.Uint32(size[:])
		if n > 1<<20 {
			break
		}
		frame := make([]byte, n)
		if _, err = io.ReadFull(c.Conn, frame); err != nil {
			break
		}
		seq, r, bad := readReply(frame)
		if bad != nil {
			l.history.record(Event{Kind: "fault", Who: directorName(c.director), What: bad.Error()})
			break
		}
		c.mu.Lock()
		ch := c.pending[seq]
		delete(c.pending, seq)
		c.mu.Unlock()
		if ch == nil {
			l.history.record(Event{Kind: "stray", Who: directorName(c.director), Number: int(seq)})
			continue
		}
		ch <- r
	}
	c.Conn.Close()
	l.faults.forget(c.faultyConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for seq, ch := range c.pending {
		delete(c.pending, seq)
		ch <- reply{outcome: "lost"}
	}
}

// call writes a call and returns where its answer comes; nil: this connection takes no more.
func (c *clientConn) call(build func(seq int32) []byte) (chan reply, int32) {
	c.mu.Lock()
	if c.closed || len(c.pending) >= maxOpenRequests {
		c.mu.Unlock()
		return nil, 0
	}
	c.seq++
	seq, ch := c.seq, make(chan reply, 1)
	c.pending[seq] = ch
	frame := build(seq)
	_, err := c.Write(frame)
	c.mu.Unlock()
	if err != nil {
		c.Conn.Close()
	}
	return ch, seq
}

// cancel gives a request up: no answer is owed from now on, and one that crosses this is dropped.
func (c *clientConn) cancel(seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.pending[seq]; ch != nil {
		c.pending[seq] = make(chan reply, 1) // whoever answers late talks to nobody
		_, _ = c.Write(thriftCall(4, "revoke", 1<<30, binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))))
	}
}

// thriftCall builds a framed call in the strict binary protocol.
func thriftCall(kind byte, name string, seq int32, args []byte) []byte {
	b := []byte{0, 0, 0, 0, 0x80, 1, 0, kind}
	b = append(binary.BigEndian.AppendUint32(b, uint32(len(name))), name...)
	b = append(append(binary.BigEndian.AppendUint32(b, uint32(seq)), args...), 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

func submitArgs(body string, fields ...string) []byte {
	str := func(b []byte, s string) []byte { return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...) }
	b := binary.BigEndian.AppendUint32([]byte{13, 0, 1, 11, 11}, uint32(len(fields)/2))
	for _, f := range fields {
		b = str(b, f)
	}
	return str(append(b, 11, 0, 2), body)
}

var errTruncated = errors.New("answer cut short")

// readReply reads an answer, a refusal or a failure.
func readReply(p []byte) (seq int32, r reply, err error) {
	b := bytes.NewBuffer(p)
	take := func(n int) []byte {
		x := b.Next(n)
		if len(x) < n {
			err = errTruncated
			return make([]byte, max(n, 0))
		}
		return x
	}
	num := func() int { return int(int32(binary.BigEndian.Uint32(take(4)))) }
	str := func() string {
		n := num()
		if n < 0 || n > b.Len() {
			err = errTruncated
			return ""
		}
		return string(take(n))
	}
	kind := take(4)[3]
	str()
	seq = int32(num())
	if kind == 3 {
		return seq, reply{outcome: "failed"}, err
	}
	take(1)
	switch field := binary.BigEndian.Uint16(take(2)); field {
	case 0, 1, 2:
		r.outcome = [...]string{"served", "refused", "failed"}[field]
	default:
		return seq, r, fmt.Errorf("field %d in a result", field)
	}
	for t := take(1)[0]; t != 0 && err == nil; t = take(1)[0] {
		take(2)
		switch t {
		case 11:
			r.body = str()
		case 13:
			take(2)
			for n := num(); n > 0 && err == nil; n-- {
				if k, v := str(), str(); k == "cooldown" {
					ms, _ := strconv.ParseFloat(v, 64)
					r.retryAfter = time.Duration(ms * float64(time.Millisecond))
				}
			}
		case 2:
			if take(1)[0] == 0 && r.outcome == "served" {
				r.outcome = "not good"
			}
		default:
			return seq, r, fmt.Errorf("field of type %d in an answer", t)
		}
	}
	return seq, r, err
}

// loadGenerator is all clients. Their requests come at a rate, whatever becomes of earlier ones, and go to the directors
// that the front holds for ready.
type loadGenerator struct {
	testbed     *Testbed
	rng         *rand.Rand
	zipf        *rand.Zipf
	mu          sync.Mutex
	connections map[int][]*clientConn
	factor      float64
	lastRef     uint64
	inFlight    sync.WaitGroup
}

func newLoadGenerator(l *Testbed, seed uint64) *loadGenerator {
	rng := rand.New(rand.NewPCG(seed, 7))
	return &loadGenerator{testbed: l, rng: rng, zipf: rand.NewZipf(rng, l.experiment.Clients.Zipf, 1, uint64(l.experiment.Clients.Objects-1)),
		connections: map[int][]*clientConn{}, factor: 1}
}

// run sends requests until the time is over, and waits until all are answered.
func (k *loadGenerator) run(until time.Time) {
	next := time.Now()
	for {
		k.mu.Lock()
		rate := k.testbed.experiment.Clients.PerSecond * k.factor
		gap := time.Duration(k.rng.ExpFloat64() / max(rate, 1e-3) * float64(time.Second))
		k.mu.Unlock()
		next = next.Add(min(gap, time.Second))
		if next.After(until) {
			break
		}
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		if gap > time.Second {
			continue
		}
		k.mu.Lock()
		branch := k.rng.IntN(k.testbed.experiment.Branches)
		director := k.pickDirector(branch)
		object := fmt.Sprintf("%016x", 1+k.zipf.Uint64())
		class := "media"
		if k.rng.Float64() < k.testbed.experiment.Clients.Repayments {
			class = "repayment"
		}
		k.mu.Unlock()
		if director < 0 {
			k.testbed.history.record(Event{Kind: "nowhere", Site: branchName(branch)})
			continue
		}
		k.inFlight.Add(1)
		go func() {
			defer k.inFlight.Done()
			k.request(director, class, object)
		}()
	}
	k.inFlight.Wait()
}

// pickDirector is a director of a branch that the front has taken in; director 0 may get several times the mean.
func (k *loadGenerator) pickDirector(branch int) int {
	n := len(k.testbed.directors)
	if s := k.testbed.experiment.Clients.Skew; s > 0 && branch == 0 && k.testbed.directors[0].isInRotation() && k.rng.Float64() < s/float64(n) {
		return 0
	}
	for range 4 * n {
		if d := k.rng.IntN(n); k.testbed.branchOfDirector(d) == branch && k.testbed.directors[d].isInRotation() {
			return d
		}
	}
	return -1
}

// request is one first try and its repeats, each under a ref of its own. A repayment is repeated only after a
// refusal, which proves that it never ran, or where no director was reached.
func (k *loadGenerator) request(director int, class, object string) {
	allow := 2 * time.Second
	deadline := time.Now().Add(allow)
	for try := range k.testbed.experiment.Clients.MaxAttempts {
		left := time.Until(deadline)
		if left < 100*time.Millisecond {
			return
		}
		r, reached := k.attempt(director, class, object, left, try > 0)
		if r.outcome == "served" || r.outcome == "left" || (class == "repayment" && reached && r.outcome != "refused") {
			return
		}
		k.mu.Lock()
		wait := r.retryAfter
		if wait == 0 {
			wait = time.Duration(20+k.rng.IntN(60)) * time.Millisecond
		}
		if d := k.pickDirector(k.testbed.branchOfDirector(director)); d >= 0 {
			director = d
		}
		k.mu.Unlock()
		time.Sleep(wait)
	}
}

func (k *loadGenerator) attempt(director int, class, object string, allow time.Duration, again bool) (reply, bool) {
	k.mu.Lock()
	k.lastRef++
	leaves, closes := k.rng.Float64() < k.testbed.experiment.Clients.LeaveShare, k.lastRef%2 == 0
	after := time.Duration(2 * k.rng.Float64() * k.testbed.experiment.Clients.LeaveAfterMS * float64(time.Millisecond))
	ref := fmt.Sprintf("%016x", k.lastRef<<16|uint64(k.rng.IntN(1<<16)))
	k.mu.Unlock()
	k.testbed.directorByRef.Store(ref, director)
	body := ""
	if class == "repayment" {
		body = "1.00 to loan " + ref
	}
	args := submitArgs(body, "service", class, "ref", ref, "allow", strconv.FormatInt(allow.Milliseconds(), 10),
		"lookup", object, "chunk", "0", "tag", "0", "room", strconv.FormatFloat(100*k.testbed.objectSize(object), 'f', 1, 64))
	k.testbed.history.record(Event{Kind: "ask", Ref: ref, Director: directorName(director), Class: class, Object: object,
		Site: branchName(k.testbed.branchOfDirector(director)), TimeoutMS: float64(allow.Milliseconds()), Retry: again, Work: k.testbed.transferWork(object)})
	build := func(seq int32) []byte { return thriftCall(1, "submit", seq, args) }
	sent := time.Now()
	c, ch, seq := k.send(director, leaves && closes, build)
	if ch == nil {
		k.testbed.history.record(Event{Kind: "answer", Ref: ref, Director: directorName(director), What: "unreached"})
		return reply{outcome: "unreached"}, false
	}
	// Well behind its time: whether an answer is in time is for the checker to say.
	timer := time.NewTimer(allow + 500*time.Millisecond)
	defer timer.Stop()
	var leave <-chan time.Time
	if leaves {
		leave = time.After(after)
	}
	var r reply
	for again := true; r.outcome == ""; {
		select {
		case r = <-ch:
			if r.outcome == "lost" && again && time.Since(sent) < closeRaceWindow {
				if c2, ch2, seq2 := k.send(director, true, build); ch2 != nil {
					c, ch, seq, again, r = c2, ch2, seq2, false, reply{}
				}
			}
		case <-leave:
			e := Event{Kind: "leave", Ref: ref, Director: directorName(director), What: "cancel"}
			if closes {
				e.What = "close"
			}
			k.testbed.history.record(e)
			if closes {
				c.Conn.Close()
			} else {
				c.cancel(seq)
			}
			return reply{outcome: "left"}, true
		case <-timer.C:
			c.cancel(seq)
			r = reply{outcome: "none"}
		}
	}
	e := Event{Kind: "answer", Ref: ref, Director: directorName(director), What: r.outcome, Class: class, Object: object}
	if r.outcome == "served" {
		parts := strings.SplitN(r.body, "/", 4)
		since, err := int64(0), error(nil)
		if len(parts) == 4 {
			since, err = strconv.ParseInt(parts[2], 10, 64)
		}
		if len(parts) != 4 || err != nil || r.body != responseBody(object, "0", since) {
			e.What = "spoilt"
		}
		e.Since = k.testbed.history.sinceStart(since)
	}
	k.testbed.history.record(e)
	return r, true
}

// closeRaceWindow is the time within which a request that crosses its connection's close is sent again on a new one, once
// (protocol page).
const closeRaceWindow = 50 * time.Millisecond

// send calls on a connection that has room, or on a new one; alone: on one that nobody else uses.
func (k *loadGenerator) send(director int, alone bool, build func(int32) []byte) (*clientConn, chan reply, int32) {
	k.mu.Lock()
	pool := k.connections[director]
	k.mu.Unlock()
	for _, c := range pool {
		if alone {
			break
		}
		if ch, seq := c.call(build); ch != nil {
			return c, ch, seq
		}
	}
	c, err := k.testbed.dialDirector(director)
	if err != nil {
		return nil, nil, 0
	}
	if alone {
		ch, seq := c.call(build)
		return c, ch, seq
	}
	k.mu.Lock()
	kept := k.connections[director][:0:0]
	for _, o := range k.connections[director] {
		o.mu.Lock()
		if !o.closed {
			kept = append(kept, o)
		}
		o.mu.Unlock()
	}
	k.connections[director] = append(kept, c)
	k.mu.Unlock()
	ch, seq := c.call(build)
	return c, ch, seq
}

func (k *loadGenerator) setFactor(factor float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.factor = factor
}
