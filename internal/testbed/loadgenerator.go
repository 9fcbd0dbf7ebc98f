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
	clientTimeout = 2 * time.Second        // of a request, over all attempts
	minTimeout    = 100 * time.Millisecond // an attempt with less is not made
	answerMargin  = 500 * time.Millisecond // behind its time: whether an answer is in time is for the checker to say
	maxGap        = time.Second            // between two requests: the rate may change meanwhile

	// closeRaceWindow is the time within which a request that meets its connection's close is sent again on a new one,
	// once (protocol page).
	closeRaceWindow = 50 * time.Millisecond

	classMedia     = "media"
	classRepayment = "repayment"
)

// loadGenerator is all clients. Their requests come at a rate, whatever becomes of earlier ones, and go to the
// directors that are in rotation.
type loadGenerator struct {
	testbed     *Testbed
	mu          sync.Mutex
	rng         *rand.Rand
	zipf        *rand.Zipf
	connections map[int][]*clientConn // by director
	factor      float64               // of the experiment's rate
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

// run sends requests until the time is over, and waits until all are answered.
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

// drawGap draws the time to the next request: they come as a Poisson process.
func (g *loadGenerator) drawGap() time.Duration {
	const minRate = 1e-3
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := g.testbed.experiment.Clients.PerSecond * g.factor
	return time.Duration(g.rng.ExpFloat64() / max(rate, minRate) * float64(time.Second))
}

// startRequest draws a request and sends it, unless there is no director for it.
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

// pickDirector is a director of a branch that is in rotation; director 0 may get several times the mean. -1: there is
// none. It is called with the lock held.
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

// request is one first attempt and its retries, each under a ref of its own. A repayment is retried only after a
// refusal, which proves that it never ran, or where no director was reached.
func (g *loadGenerator) request(director int, class, object string) {
	deadline := time.Now().Add(clientTimeout)
	for number := range g.testbed.experiment.Clients.MaxAttempts {
		timeout := time.Until(deadline)
		if timeout < minTimeout {
			return
		}
		a := g.newAttempt(director, class, object, timeout, number > 0)
		answer := a.run()
		reached := answer.outcome != outcomeUnreached
		if answer.outcome == outcomeServed || answer.outcome == outcomeLeft ||
			(class == classRepayment && reached && answer.outcome != outcomeRefused) {
			return
		}
		g.mu.Lock()
		wait := answer.retryAfter
		if wait == 0 {
			wait = time.Duration(20+g.rng.IntN(60)) * time.Millisecond
		}
		if other := g.pickDirector(g.testbed.branchOfDirector(director)); other >= 0 {
			director = other
		}
		g.mu.Unlock()
		time.Sleep(wait)
	}
}

// setFactor changes the load.
func (g *loadGenerator) setFactor(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.factor = factor
}

// clientAttempt is one attempt of a client at a request.
type clientAttempt struct {
	generator *loadGenerator
	director  int
	class     string
	object    string
	ref       string
	timeout   time.Duration
	retry     bool

	leaves     bool // the client does not wait for the answer,
	closes     bool // closes its connection in place of a cancellation,
	leaveAfter time.Duration

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
	a.leaves, a.closes = g.rng.Float64() < clients.LeaveShare, g.lastRef%2 == 0
	a.leaveAfter = time.Duration(2 * g.rng.Float64() * clients.LeaveAfterMS * float64(time.Millisecond))
	a.ref = fmt.Sprintf("%016x", g.lastRef<<16|uint64(g.rng.IntN(1<<16)))
	g.mu.Unlock()
	g.testbed.directorByRef.Store(a.ref, director)
	return a
}

// run sends the request and waits for what comes of it.
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
	if !a.send(a.leaves && a.closes) {
		testbed.history.record(
			Event{Kind: "answer", Ref: a.ref, Director: directorName(a.director), What: outcomeUnreached},
		)
		return reply{outcome: outcomeUnreached}
	}
	answer := a.await()
	if answer.outcome != outcomeLeft {
		a.recordAnswer(answer)
	}
	return answer
}

// call builds the call of submit.
func (a *clientAttempt) call(seq int32) []byte {
	body := ""
	if a.class == classRepayment {
		body = "1.00 to loan " + a.ref
	}
	size := strconv.FormatFloat(100*a.generator.testbed.objectSize(a.object), 'f', 1, 64)
	args := submitArgs(body, "service", a.class, "ref", a.ref, "allow", strconv.FormatInt(a.timeout.Milliseconds(), 10),
		"lookup", a.object, "chunk", "0", "tag", "0", "room", size)
	return thriftCall(thriftCallKind, "submit", seq, args)
}

// send sends the call; false: no director was reached.
func (a *clientAttempt) send(alone bool) bool {
	conn, answer, seq := a.generator.send(a.director, alone, a.call)
	if answer == nil {
		return false
	}
	a.conn, a.answer, a.seq = conn, answer, seq
	return true
}

// await waits for the answer, or until the client gives up. A request that meets its connection's close is sent again,
// once.
func (a *clientAttempt) await() reply {
	sent := time.Now()
	timer := time.NewTimer(a.timeout + answerMargin)
	defer timer.Stop()
	var leave <-chan time.Time
	if a.leaves {
		leave = time.After(a.leaveAfter)
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
		case <-leave:
			a.leave()
			return reply{outcome: outcomeLeft}
		case <-timer.C:
			a.conn.cancel(a.seq)
			return reply{outcome: outcomeNone}
		}
	}
}

// leave closes the connection or cancels the request.
func (a *clientAttempt) leave() {
	event := Event{Kind: "leave", Ref: a.ref, Director: directorName(a.director), What: "cancel"}
	if a.closes {
		event.What = "close"
	}
	a.generator.testbed.history.record(event)
	if a.closes {
		_ = a.conn.Close()
	} else {
		a.conn.cancel(a.seq)
	}
}

// recordAnswer records the outcome. What was served must be the right object.
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

// copyTime is when the copy in a body left the origin, in Unix milliseconds.
func copyTime(body string) (unixMS int64, ok bool) {
	const timePart, parts = 2, 4
	list := strings.SplitN(body, "/", parts)
	if len(list) != parts {
		return 0, false
	}
	unixMS, err := strconv.ParseInt(list[timePart], 10, 64)
	return unixMS, err == nil
}

// send calls on a connection that has room, or on a new one; alone: on one that nobody else uses.
func (g *loadGenerator) send(director int, alone bool, build func(int32) []byte) (*clientConn, chan reply, int32) {
	g.mu.Lock()
	pool := g.connections[director]
	g.mu.Unlock()
	for _, conn := range pool {
		if alone {
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
	if !alone {
		g.addToPool(director, conn)
	}
	answer, seq := conn.call(build)
	return conn, answer, seq
}

// addToPool adds a connection to those of a director, and drops those that are closed.
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
