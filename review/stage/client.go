package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// sent is a request of a client, with what has come of it.
type sent struct {
	ref, class, object string
	seq                int32
	allow              time.Duration
	at                 float64 // when its last byte was written, in milliseconds of the record
	written            bool    // all of it was written without an error
	others             int     // requests without an answer when it was written, without itself
	begun              bool    // the first bytes of its answer have come
	word               string  // the word of its whole answer; empty: none has come
	answers            int
	spoilt             bool // served with other bytes than the object's
}

// client is a connection of a client, with its requests.
type client struct {
	name string
	rec  *record
	conn *net.TCPConn
	pace int // bytes read in a second at most; 0: as fast as they come

	mu       sync.Mutex
	writeMu  sync.Mutex
	requests []*sent
	read     int
	ended    error // why the connection has ended; nil: it has not
	endedAt  float64
	done     chan struct{} // closed at the end of the connection
	changed  chan struct{} // gets a value after each answer
}

// readBuffer is the receive buffer of a client that reads at a pace of its own.
const readBuffer = 128 << 10

func dialClient(rec *record, name, address string, pace int) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, rec: rec, conn: conn.(*net.TCPConn), pace: pace, done: make(chan struct{}),
		changed: make(chan struct{}, 1024)}
	if pace > 0 {
		if err := c.conn.SetReadBuffer(readBuffer); err != nil {
			return nil, err
		}
	}
	go c.readAnswers()
	return c, nil
}

// Read implements io.Reader at the client's pace.
func (c *client) Read(into []byte) (int, error) {
	const step = 10 * time.Millisecond
	if c.pace > 0 {
		into = into[:min(len(into), c.pace/int(time.Second/step))]
		time.Sleep(step)
	}
	n, err := c.conn.Read(into)
	c.mu.Lock()
	c.read += n
	c.mu.Unlock()
	return n, err
}

func (c *client) readAnswers() {
	defer close(c.done)
	// Small parts are read together, so that the pace holds for the bytes and not for the calls.
	var reader io.Reader = c
	if c.pace > 0 {
		reader = &gathered{from: c, size: c.pace / 100}
	}
	for {
		message, err := readFrame(reader, func(header []byte) { c.find(header, func(r *sent) { r.begun = true }) })
		if err != nil {
			c.mu.Lock()
			c.ended, c.endedAt = err, c.rec.ms()
			c.mu.Unlock()
			c.rec.log("%s connection ended: %v", c.name, err)
			return
		}
		c.take(decodeAnswer(message))
	}
}

// gathered reads from a source in parts of one size.
type gathered struct {
	from io.Reader
	size int
	rest []byte
}

// Read implements io.Reader.
func (g *gathered) Read(into []byte) (int, error) {
	if len(g.rest) == 0 {
		part := make([]byte, g.size)
		n, err := g.from.Read(part)
		if err != nil {
			return 0, err
		}
		g.rest = part[:n]
	}
	n := copy(into, g.rest)
	g.rest = g.rest[n:]
	return n, nil
}

// find calls use for the request that the header of a message names.
func (c *client) find(header []byte, use func(*sent)) {
	seq := int32(binary.BigEndian.Uint32(header[len(header)-4:]))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.requests {
		if request.seq == seq {
			use(request)
		}
	}
}

// take records an answer.
func (c *client) take(got answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.requests {
		if request.seq != got.seq {
			continue
		}
		request.answers++
		request.word = got.word
		if got.word == "served" && request.class != "repayment" && !bytes.Equal(got.body, objectBody(request.object)) {
			request.spoilt = true
		}
		c.rec.log("%s answer %s seq %d: %s, %d bytes %v", c.name, request.ref, got.seq, got.word, len(got.body),
			got.fields)
		select {
		case c.changed <- struct{}{}:
		default:
		}
		return
	}
	c.rec.log("%s answer to no request: seq %d %s good %v", c.name, got.seq, got.word, got.good)
}

// newID returns a random id of 16 hexadecimal digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// objectOf returns the id of a new object with a size of at most 240,000 bytes.
func objectOf(size int) string { return fmt.Sprintf("%011x%05x", rand.Uint64()>>20, size) }

// submit sends a request.
func (c *client) submit(class, object string, allow time.Duration, body []byte) error {
	c.mu.Lock()
	request := &sent{ref: newID(), class: class, object: object, seq: int32(len(c.requests) + 1), allow: allow}
	c.requests = append(c.requests, request)
	c.mu.Unlock()
	return c.write(request, requestFrame(request, body))
}

// requestFrame returns the message of a request.
func requestFrame(request *sent, body []byte) []byte {
	size := len(objectBody(request.object))
	return submitFrame(request.seq, body, "service", request.class, "ref", request.ref,
		"allow", strconv.FormatInt(request.allow.Milliseconds(), 10), "lookup", request.object, "chunk", "0",
		"tag", "17", "room", strconv.FormatFloat(float64(size)/100, 'f', 1, 64))
}

// write writes the message of a request and records when its last byte was written.
func (c *client) write(request *sent, message []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.conn.Write(message)
	others := c.open() - 1
	c.mu.Lock()
	request.at, request.written, request.others = c.rec.ms(), err == nil, others
	c.mu.Unlock()
	c.rec.log("%s sends %s seq %d %s %s: %v", c.name, request.ref, request.seq, request.class, request.object, err)
	return err
}

// waitAll waits until all requests have an answer, the connection has ended or the time is over.
func (c *client) waitAll(limit time.Duration) {
	deadline := time.After(limit)
	for c.open() > 0 {
		select {
		case <-c.changed:
		case <-c.done:
			return
		case <-deadline:
			return
		}
	}
}

// open returns the number of requests without an answer.
func (c *client) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, request := range c.requests {
		if request.answers == 0 {
			count++
		}
	}
	return count
}

// received returns the number of bytes that were read.
func (c *client) received() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// watch records now and then how much the client has read.
func (c *client) watch(every time.Duration) {
	go func() {
		for {
			select {
			case <-c.done:
				return
			case <-time.After(every):
				c.rec.log("%s has read %d bytes, %d requests are open", c.name, c.received(), c.open())
			}
		}
	}()
}

// crossing is the time within which a request may cross the close of a connection that has no open request.
const crossing = 50 // ms

// tally counts what has come of the requests of clients.
type tally struct {
	sent, served, refused, failed int
	notTaken                      int // could not be written, or crossed the end of its connection
	broken                        int // the answer had begun when the connection ended: it has failed and is not lost
	lost                          int // the connection ended, or the time was over, before anything of an answer came
	lostRun                       int // of these, those that a server has run
	lostRepayments                int // of these, repayments
	lostInTime                    int // of the lost ones, those whose connection ended before their time was over
	wrong                         int // a second answer, one that can't be read, or other bytes
}

// add counts the requests of a client. runs tells how often a server has run a request.
func (t *tally) add(c *client, runs func(ref string) int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.requests {
		t.sent++
		switch {
		case request.answers > 1 || request.spoilt || request.word == "unreadable":
			t.wrong++
		case request.word == "served":
			t.served++
		case request.word == "refused":
			t.refused++
		case request.word != "":
			t.failed++
		case request.begun:
			t.broken++
		case !request.written, c.ended != nil && c.endedAt-request.at <= crossing && runs(request.ref) == 0:
			t.notTaken++
		default:
			t.addLost(c, request, runs(request.ref))
		}
	}
}

func (t *tally) addLost(c *client, request *sent, runs int) {
	t.lost++
	if c.ended != nil && c.endedAt-request.at < float64(request.allow.Milliseconds()) {
		t.lostInTime++
	}
	if runs > 0 {
		t.lostRun++
		if request.class == "repayment" {
			t.lostRepayments++
		}
	}
	c.rec.log("%s LOST: %s seq %d %s, sent at %.1f with %d other requests open, run %d times; "+
		"connection ended at %.1f: %v", c.name, request.ref, request.seq, request.class, request.at, request.others,
		runs, c.endedAt, c.ended)
}

// String implements fmt.Stringer.
func (t *tally) String() string {
	return fmt.Sprintf("%d sent: %d served, %d refused, %d failed, %d broken off, %d not taken, %d wrong, "+
		"%d never answered (%d by a connection that ended before their time was over; a server ran %d, of these %d "+
		"repayments)", t.sent, t.served, t.refused, t.failed, t.broken, t.notTaken, t.wrong, t.lost, t.lostInTime,
		t.lostRun, t.lostRepayments)
}

var errNotReady = errors.New("the director was not ready in time")
