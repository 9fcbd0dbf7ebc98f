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
	what     string // served, refused, failed, lost
	cooldown time.Duration
	body     string
}

// conn is a client's connection to one director: calls by number, answers in any order.
type conn struct {
	*wire
	mu    sync.Mutex
	seq   int32
	open  map[int32]chan reply
	ended bool
}

const openMost = 32 // requests open on one connection (protocol page)

func (l *Testbed) dial(director int) (*conn, error) {
	c, err := net.DialTimeout("tcp", l.directors[director].addr(), time.Second)
	if err != nil {
		return nil, err
	}
	x := &conn{wire: l.faults.wrap(c, "clients", director), open: map[int32]chan reply{}}
	go x.read(l)
	return x, nil
}

func (c *conn) read(l *Testbed) {
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
			l.record.add(Event{Kind: "fault", Who: directorName(c.director), What: bad.Error()})
			break
		}
		c.mu.Lock()
		ch := c.open[seq]
		delete(c.open, seq)
		c.mu.Unlock()
		if ch == nil {
			l.record.add(Event{Kind: "stray", Who: directorName(c.director), Number: int(seq)})
			continue
		}
		ch <- r
	}
	c.Conn.Close()
	l.faults.drop(c.wire)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for seq, ch := range c.open {
		delete(c.open, seq)
		ch <- reply{what: "lost"}
	}
}

// call writes a call and returns where its answer comes; nil: this connection takes no more.
func (c *conn) call(build func(seq int32) []byte) (chan reply, int32) {
	c.mu.Lock()
	if c.ended || len(c.open) >= openMost {
		c.mu.Unlock()
		return nil, 0
	}
	c.seq++
	seq, ch := c.seq, make(chan reply, 1)
	c.open[seq] = ch
	frame := build(seq)
	_, err := c.Write(frame)
	c.mu.Unlock()
	if err != nil {
		c.Conn.Close()
	}
	return ch, seq
}

// revoke gives a request up: no answer is owed from now on, and one that crosses this is dropped.
func (c *conn) revoke(seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.open[seq]; ch != nil {
		c.open[seq] = make(chan reply, 1) // whoever answers late talks to nobody
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

var errShort = errors.New("answer cut short")

// readReply reads an answer, a refusal or a failure.
func readReply(p []byte) (seq int32, r reply, err error) {
	b := bytes.NewBuffer(p)
	take := func(n int) []byte {
		x := b.Next(n)
		if len(x) < n {
			err = errShort
			return make([]byte, max(n, 0))
		}
		return x
	}
	num := func() int { return int(int32(binary.BigEndian.Uint32(take(4)))) }
	str := func() string {
		n := num()
		if n < 0 || n > b.Len() {
			err = errShort
			return ""
		}
		return string(take(n))
	}
	kind := take(4)[3]
	str()
	seq = int32(num())
	if kind == 3 {
		return seq, reply{what: "failed"}, err
	}
	take(1)
	switch field := binary.BigEndian.Uint16(take(2)); field {
	case 0, 1, 2:
		r.what = [...]string{"served", "refused", "failed"}[field]
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
					r.cooldown = time.Duration(ms * float64(time.Millisecond))
				}
			}
		case 2:
			if take(1)[0] == 0 && r.what == "served" {
				r.what = "not good"
			}
		default:
			return seq, r, fmt.Errorf("field of type %d in an answer", t)
		}
	}
	return seq, r, err
}

// crowd is all clients. Their requests come at a rate, whatever becomes of earlier ones, and go to the directors
// that the front holds for ready.
type crowd struct {
	l    *Testbed
	rng  *rand.Rand
	zipf *rand.Zipf
	mu   sync.Mutex
	pool map[int][]*conn
	load float64
	refs uint64
	open sync.WaitGroup
}

func newCrowd(l *Testbed, seed uint64) *crowd {
	rng := rand.New(rand.NewPCG(seed, 7))
	return &crowd{l: l, rng: rng, zipf: rand.NewZipf(rng, l.x.Clients.Zipf, 1, uint64(l.x.Clients.Objects-1)),
		pool: map[int][]*conn{}, load: 1}
}

// run sends requests until the time is over, and waits until all are answered.
func (k *crowd) run(until time.Time) {
	next := time.Now()
	for {
		k.mu.Lock()
		rate := k.l.x.Clients.PerSecond * k.load
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
		branch := k.rng.IntN(k.l.x.Branches)
		director := k.pick(branch)
		object := fmt.Sprintf("%016x", 1+k.zipf.Uint64())
		class := "media"
		if k.rng.Float64() < k.l.x.Clients.Repayments {
			class = "repayment"
		}
		k.mu.Unlock()
		if director < 0 {
			k.l.record.add(Event{Kind: "nowhere", Site: branchName(branch)})
			continue
		}
		k.open.Add(1)
		go func() {
			defer k.open.Done()
			k.request(director, class, object)
		}()
	}
	k.open.Wait()
}

// pick is a director of a branch that the front has taken in; director 0 may get several times the mean.
func (k *crowd) pick(branch int) int {
	n := len(k.l.directors)
	if s := k.l.x.Clients.Skew; s > 0 && branch == 0 && k.l.directors[0].inFront() && k.rng.Float64() < s/float64(n) {
		return 0
	}
	for range 4 * n {
		if d := k.rng.IntN(n); k.l.branchOf(d) == branch && k.l.directors[d].inFront() {
			return d
		}
	}
	return -1
}

// request is one first try and its repeats, each under a ref of its own. A repayment is repeated only after a
// refusal, which proves that it never ran, or where no director was reached.
func (k *crowd) request(director int, class, object string) {
	allow := 2 * time.Second
	deadline := time.Now().Add(allow)
	for try := range k.l.x.Clients.MaxAttempts {
		left := time.Until(deadline)
		if left < 100*time.Millisecond {
			return
		}
		r, reached := k.try(director, class, object, left, try > 0)
		if r.what == "served" || r.what == "left" || (class == "repayment" && reached && r.what != "refused") {
			return
		}
		k.mu.Lock()
		wait := r.cooldown
		if wait == 0 {
			wait = time.Duration(20+k.rng.IntN(60)) * time.Millisecond
		}
		if d := k.pick(k.l.branchOf(director)); d >= 0 {
			director = d
		}
		k.mu.Unlock()
		time.Sleep(wait)
	}
}

func (k *crowd) try(director int, class, object string, allow time.Duration, again bool) (reply, bool) {
	k.mu.Lock()
	k.refs++
	leaves, closes := k.rng.Float64() < k.l.x.Clients.LeaveShare, k.refs%2 == 0
	after := time.Duration(2 * k.rng.Float64() * k.l.x.Clients.LeaveAfterMS * float64(time.Millisecond))
	ref := fmt.Sprintf("%016x", k.refs<<16|uint64(k.rng.IntN(1<<16)))
	k.mu.Unlock()
	k.l.refs.Store(ref, director)
	body := ""
	if class == "repayment" {
		body = "1.00 to loan " + ref
	}
	args := submitArgs(body, "service", class, "ref", ref, "allow", strconv.FormatInt(allow.Milliseconds(), 10),
		"lookup", object, "chunk", "0", "tag", "0", "room", strconv.FormatFloat(100*k.l.size(object), 'f', 1, 64))
	k.l.record.add(Event{Kind: "ask", Ref: ref, Director: directorName(director), Class: class, Object: object,
		Site: branchName(k.l.branchOf(director)), TimeoutMS: float64(allow.Milliseconds()), Retry: again, Work: k.l.work(object)})
	build := func(seq int32) []byte { return thriftCall(1, "submit", seq, args) }
	sent := time.Now()
	c, ch, seq := k.send(director, leaves && closes, build)
	if ch == nil {
		k.l.record.add(Event{Kind: "answer", Ref: ref, Director: directorName(director), What: "unreached"})
		return reply{what: "unreached"}, false
	}
	// Well behind its time: whether an answer is in time is for the checker to say.
	timer := time.NewTimer(allow + 500*time.Millisecond)
	defer timer.Stop()
	var leave <-chan time.Time
	if leaves {
		leave = time.After(after)
	}
	var r reply
	for again := true; r.what == ""; {
		select {
		case r = <-ch:
			if r.what == "lost" && again && time.Since(sent) < crossing {
				if c2, ch2, seq2 := k.send(director, true, build); ch2 != nil {
					c, ch, seq, again, r = c2, ch2, seq2, false, reply{}
				}
			}
		case <-leave:
			e := Event{Kind: "leave", Ref: ref, Director: directorName(director), What: "cancel"}
			if closes {
				e.What = "close"
			}
			k.l.record.add(e)
			if closes {
				c.Conn.Close()
			} else {
				c.revoke(seq)
			}
			return reply{what: "left"}, true
		case <-timer.C:
			c.revoke(seq)
			r = reply{what: "none"}
		}
	}
	e := Event{Kind: "answer", Ref: ref, Director: directorName(director), What: r.what, Class: class, Object: object}
	if r.what == "served" {
		parts := strings.SplitN(r.body, "/", 4)
		since, err := int64(0), error(nil)
		if len(parts) == 4 {
			since, err = strconv.ParseInt(parts[2], 10, 64)
		}
		if len(parts) != 4 || err != nil || r.body != bodyOf(object, "0", since) {
			e.What = "spoilt"
		}
		e.Since = k.l.record.at(since)
	}
	k.l.record.add(e)
	return r, true
}

// crossing is the time within which a request that crosses its connection's close is sent again on a new one, once
// (protocol page).
const crossing = 50 * time.Millisecond

// send calls on a connection that has room, or on a new one; alone: on one that nobody else uses.
func (k *crowd) send(director int, alone bool, build func(int32) []byte) (*conn, chan reply, int32) {
	k.mu.Lock()
	pool := k.pool[director]
	k.mu.Unlock()
	for _, c := range pool {
		if alone {
			break
		}
		if ch, seq := c.call(build); ch != nil {
			return c, ch, seq
		}
	}
	c, err := k.l.dial(director)
	if err != nil {
		return nil, nil, 0
	}
	if alone {
		ch, seq := c.call(build)
		return c, ch, seq
	}
	k.mu.Lock()
	kept := k.pool[director][:0:0]
	for _, o := range k.pool[director] {
		o.mu.Lock()
		if !o.ended {
			kept = append(kept, o)
		}
		o.mu.Unlock()
	}
	k.pool[director] = append(kept, c)
	k.mu.Unlock()
	ch, seq := c.call(build)
	return c, ch, seq
}

func (k *crowd) times(factor float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.load = factor
}
