package testbed

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	clientTimeout     = 2 * time.Second        // for a request, over all its attempts
	minAttemptTimeout = 100 * time.Millisecond // no attempt is made with less time left
	lateAnswerGrace   = 500 * time.Millisecond // extra wait for an answer: the checker decides whether it is late
	maxGap            = time.Second            // longest wait; a longer gap is drawn again, as the rate may change

	// closeRaceWindow is the time after sending within which a lost connection counts as a race between the request and
	// the director's close. The client protocol allows such a request to be sent once more, on a new connection.
	closeRaceWindow = 50 * time.Millisecond

	classMedia     = "media"
	classRepayment = "repayment"
)

// loadGenerator simulates all clients. It is an open-loop generator: requests arrive at a rate that does not depend on
// the outcome of earlier ones. They go to the directors that are in rotation.
type loadGenerator struct {
	testbed     *Testbed
	mu          sync.Mutex
	rng         *rand.Rand
	zipf        *rand.Zipf
	connections map[int][]*clientConn // connection pools, by director
	factor      float64               // multiplies the request rate of the experiment
	lastRef     uint64
	inFlight    sync.WaitGroup
}

func newLoadGenerator(testbed *Testbed, seed uint64) *loadGenerator {
	rng := rand.New(rand.NewPCG(seed, 7))
	clients := testbed.experiment.Clients
	return &loadGenerator{
		testbed:     testbed,
		rng:         rng,
		zipf:        rand.NewZipf(rng, clients.Zipf, 1, uint64(clients.Objects-1)),
		connections: map[int][]*clientConn{},
		factor:      1,
	}
}

// run starts requests until the given time, and returns when all of them have ended.
func (g *loadGenerator) run(until time.Time) {
	next := time.Now()
	for {
		gap := g.drawGap()
		next = next.Add(min(gap, maxGap))
		if next.After(until) {
			break
		}
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		if gap <= maxGap {
			g.startRequest()
		}
	}
	g.inFlight.Wait()
}

// drawGap draws the time until the next request. Arrivals are a Poisson process, so the gaps are exponential.
func (g *loadGenerator) drawGap() time.Duration {
	const minRate = 1e-3
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := g.testbed.experiment.Clients.PerSecond * g.factor
	return time.Duration(g.rng.ExpFloat64() / max(rate, minRate) * float64(time.Second))
}

// startRequest draws the branch, director, object and class of a request and starts it. If no director of the branch is
// in rotation, it records "nowhere" and starts nothing.
func (g *loadGenerator) startRequest() {
	g.mu.Lock()
	branch := g.rng.IntN(g.testbed.experiment.Branches)
	director := g.pickDirector(branch)
	object := fmt.Sprintf("%016x", 1+g.zipf.Uint64())
	class := classMedia
	if g.rng.Float64() < g.testbed.experiment.Clients.Repayments {
		class = classRepayment
	}
	g.mu.Unlock()
	if director < 0 {
		g.testbed.history.record(Event{Kind: "nowhere", Site: branchName(branch)})
		return
	}
	g.inFlight.Go(func() { g.request(director, class, object) })
}

// pickDirector draws a director of a branch among those that are in rotation, or returns -1 if it finds none. Director
// 0 is drawn more often if the experiment sets a skew. The caller holds g.mu.
func (g *loadGenerator) pickDirector(branch int) int {
	testbed := g.testbed
	count := len(testbed.directors)
	skew := testbed.experiment.Clients.Skew
	if skew > 0 && branch == 0 && testbed.directors[0].isInRotation() && g.rng.Float64() < skew/float64(count) {
		return 0
	}
	for range 4 * count {
		director := g.rng.IntN(count)
		if testbed.branchOfDirector(director) == branch && testbed.directors[director].isInRotation() {
			return director
		}
	}
	return -1
}

// request makes the first attempt at a request and its retries, each with its own ref. A repayment is retried only if
// the director rejected it, which proves that it was not executed, or if there was no connection to the director.
func (g *loadGenerator) request(director int, class, object string) {
	deadline := time.Now().Add(clientTimeout)
	for number := range g.testbed.experiment.Clients.MaxAttempts {
		timeout := time.Until(deadline)
		if timeout < minAttemptTimeout {
			return
		}
		a := g.newAttempt(director, class, object, timeout, number > 0)
		answer := a.run()
		reached := answer.outcome != outcomeUnreachable
		if answer.outcome == outcomeServed || answer.outcome == outcomeAbandoned ||
			(class == classRepayment && reached && answer.outcome != outcomeRefused) {
			return
		}
		g.mu.Lock()
		wait := answer.retryAfter
		if wait == 0 {
			wait = time.Duration(20+g.rng.IntN(60)) * time.Millisecond
		}
		if next := g.pickDirector(g.testbed.branchOfDirector(director)); next >= 0 {
			director = next
		}
		g.mu.Unlock()
		time.Sleep(wait)
	}
}

// setFactor sets the factor by which the request rate of the experiment is multiplied.
func (g *loadGenerator) setFactor(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.factor = factor
}

// clientAttempt is one attempt of a client to have a request served.
type clientAttempt struct {
	generator *loadGenerator
	director  int
	class     string
	object    string
	ref       string
	timeout   time.Duration
	retry     bool

	abandons     bool // the client gives up after abandonAfter
	closesConn   bool // a client that gives up closes its connection instead of cancelling the request
	abandonAfter time.Duration

	conn   *clientConn
	answer chan reply
	seq    int32
}

func (g *loadGenerator) newAttempt(
	director int,
	class, object string,
	timeout time.Duration,
	retry bool,
) *clientAttempt {
	clients := g.testbed.experiment.Clients
	a := &clientAttempt{generator: g, director: director, class: class, object: object, timeout: timeout, retry: retry}
	g.mu.Lock()
	g.lastRef++
	a.abandons, a.closesConn = g.rng.Float64() < clients.LeaveShare, g.lastRef%2 == 0
	a.abandonAfter = time.Duration(2 * g.rng.Float64() * clients.LeaveAfterMS * float64(time.Millisecond))
	a.ref = fmt.Sprintf("%016x", g.lastRef<<16|uint64(g.rng.IntN(1<<16)))
	g.mu.Unlock()
	g.testbed.directorByRef.Store(a.ref, director)
	return a
}

// run sends the request, waits for its outcome and records both.
func (a *clientAttempt) run() reply {
	testbed := a.generator.testbed
	testbed.history.record(
		Event{
			Kind:     "ask",
			Ref:      a.ref,
			Director: directorName(a.director),
			Class:    a.class,
			Object:   a.object,
			Site: branchName(
				testbed.branchOfDirector(a.director),
			),
			TimeoutMS: float64(a.timeout.Milliseconds()),
			Retry:     a.retry,
			Work:      testbed.transferWork(a.object),
		},
	)
	if !a.send(a.abandons && a.closesConn) {
		testbed.history.record(
			Event{Kind: "answer", Ref: a.ref, Director: directorName(a.director), What: outcomeUnreachable},
		)
		return reply{outcome: outcomeUnreachable}
	}
	answer := a.await()
	if answer.outcome != outcomeAbandoned {
		a.recordAnswer(answer)
	}
	return answer
}

// call returns the encoded submit call of the attempt. Its first argument is the sequence number of the call.
func (a *clientAttempt) call(seq int32) []byte {
	body := ""
	if a.class == classRepayment {
		body = "1.00 to loan " + a.ref
	}
	size := strconv.FormatFloat(100*a.generator.testbed.objectSize(a.object), 'f', 1, 64)
	args := submitArgs(body, "service", a.class, "ref", a.ref, "allow", strconv.FormatInt(a.timeout.Milliseconds(), 10),
		"lookup", a.object, "chunk", "0", "tag", "0", "room", size)
	return thriftCall(thriftMessageCall, "submit", seq, args)
}

// send sends the call and reports whether there is a connection to the director. If dedicated is set, no other request
// shares the connection.
func (a *clientAttempt) send(dedicated bool) bool {
	conn, answer, seq := a.generator.send(a.director, dedicated, a.call)
	if answer == nil {
		return false
	}
	a.conn, a.answer, a.seq = conn, answer, seq
	return true
}

// await waits for the answer, the timeout or the moment at which the client gives up. If the connection is lost within
// closeRaceWindow, the request is sent once more on a new connection.
func (a *clientAttempt) await() reply {
	sent := time.Now()
	timer := time.NewTimer(a.timeout + lateAnswerGrace)
	defer timer.Stop()
	var abandoned <-chan time.Time
	if a.abandons {
		abandoned = time.After(a.abandonAfter)
	}
	mayResend := true
	for {
		select {
		case answer := <-a.answer:
			if answer.outcome == outcomeLost && mayResend && time.Since(sent) < closeRaceWindow && a.send(true) {
				mayResend = false
				continue
			}
			return answer
		case <-abandoned:
			a.abandon()
			return reply{outcome: outcomeAbandoned}
		case <-timer.C:
			a.conn.cancel(a.seq)
			return reply{outcome: outcomeTimedOut}
		}
	}
}

// abandon gives the request up: it cancels the request, or closes the connection if closesConn is set.
func (a *clientAttempt) abandon() {
	event := Event{Kind: "leave", Ref: a.ref, Director: directorName(a.director), What: "cancel"}
	if a.closesConn {
		event.What = "close"
	}
	a.generator.testbed.history.record(event)
	if a.closesConn {
		_ = a.conn.Close()
	} else {
		a.conn.cancel(a.seq)
	}
}

// recordAnswer records the outcome of the attempt. An answer whose body is not that of the requested object is recorded
// as outcomeCorrupted.
func (a *clientAttempt) recordAnswer(answer reply) {
	history := a.generator.testbed.history
	event := Event{Kind: "answer", Ref: a.ref, Director: directorName(a.director), What: answer.outcome, Class: a.class,
		Object: a.object}
	if answer.outcome == outcomeServed {
		since, ok := copyTime(answer.body)
		if !ok || answer.body != responseBody(a.object, "0", since) {
			event.What = outcomeCorrupted
		}
		event.Since = history.sinceStart(since)
	}
	history.record(event)
}

// copyTime returns the time at which the copy in a response body left the origin, in Unix milliseconds. ok is false if
// the body holds no valid time.
func copyTime(body string) (unixMS int64, ok bool) {
	const timeIndex, partCount = 2, 4
	parts := strings.SplitN(body, "/", partCount)
	if len(parts) != partCount {
		return 0, false
	}
	unixMS, err := strconv.ParseInt(parts[timeIndex], 10, 64)
	return unixMS, err == nil
}

// send sends a call to a director on a pooled connection with a free slot, or on a new connection. If dedicated is set,
// it uses a new connection that does not join the pool. The returned channel is nil if the call was not sent.
func (g *loadGenerator) send(director int, dedicated bool, build func(int32) []byte) (*clientConn, chan reply, int32) {
	g.mu.Lock()
	pool := g.connections[director]
	g.mu.Unlock()
	for _, conn := range pool {
		if dedicated {
			break
		}
		if answer, seq := conn.call(build); answer != nil {
			return conn, answer, seq
		}
	}
	conn, err := g.testbed.dialDirector(director)
	if err != nil {
		return nil, nil, 0
	}
	if !dedicated {
		g.addToPool(director, conn)
	}
	answer, seq := conn.call(build)
	return conn, answer, seq
}

// addToPool adds a connection to the pool of a director and removes the closed connections from that pool.
func (g *loadGenerator) addToPool(director int, conn *clientConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var open []*clientConn
	for _, other := range g.connections[director] {
		other.mu.Lock()
		if !other.closed {
			open = append(open, other)
		}
		other.mu.Unlock()
	}
	g.connections[director] = append(open, conn)
}
