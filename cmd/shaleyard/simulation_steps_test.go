package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/nettest"
	"shaleyard/routing"
)

var errRefused = errors.New("refused")

// pickOne returns one of values at random.
func pickOne[T any](s *simulation, values ...T) T { return values[s.rng.IntN(len(values))] }

// step performs one action that the random generator chooses: of a client, of a cache, of the discovery service or of
// the process, or the passing of time.
func (s *simulation) step() {
	client, hasClient := pickMatching(
		s.rng,
		s.clientPeers,
		func(client *clientPeer) bool { return !client.disconnected },
	)
	cache, hasCache := pickMatching(s.rng, s.cachePeers, func(cache *cachePeer) bool { return !cache.disconnected })
	draw := s.rng.IntN(100)
	switch {
	case draw < 4 || !hasClient:
		s.connectClient()
	case draw < 24:
		s.submit(client)
	case draw < 27:
		s.revoke(client)
	case draw < 29:
		s.record("a client closes")
		client.disconnect()
	case draw < 30:
		s.record("a client sends malformed data")
		client.malformed = true
		client.send("\xff\xff\xff\xff" + strings.Repeat("j", s.rng.IntN(3000)))
	case draw < 31:
		client.send(nettest.Frame(1, "heartbeat", 1000, []byte{2, 0, 1, 0}))
	case draw < 45 && len(s.pendingDials) > 0:
		s.completeDial()
	case draw < 72 && hasCache:
		s.respond(cache)
	case draw < 75:
		name := pickOne(s, "c1", "c2", "c3", "p1")
		s.updateEndpoint(name, pickOne(s, routing.Draining, routing.Gone, routing.Ready, routing.Ready), 0)
	case draw < 76:
		s.updateEndpoint(pickOne(s, "c1", "c2", "c3", "p1"), routing.Ready, s.clock)
	case draw < 77:
		s.director.Purge(director.Purge{ObjectKey: uint64(1 + s.rng.IntN(20)), IssuedAt: s.clock})
	case draw < 78 && !s.suspended:
		s.suspend()
	case draw < 82 && s.suspended:
		s.record("resume")
		s.resume(s.rng.IntN(2) == 0)
	case draw < 83 && hasCache:
		cache.Buffered = 5 - cache.Buffered
	case draw < 84:
		client.Buffered = 5 - client.Buffered
	case len(s.pendingCloses) > 0 && draw < 92:
		s.runPendingClose()
	default:
		s.advance(time.Duration(s.rng.IntN(40)) * time.Millisecond)
	}
}

// connectClient opens a client connection, unless the server rejects it.
func (s *simulation) connectClient() {
	client := &clientPeer{simulation: s, open: map[int32]*simulatedRequest{}}
	session := s.downstream.Accept(client)
	if session == nil {
		return
	}
	client.session = session
	s.clientPeers = append(s.clientPeers, client)
}

// submit lets a client send a request, in one piece or in two. If the server no longer reads requests on the
// connection, the request counts as cancelled and no answer is expected.
func (s *simulation) submit(client *clientPeer) {
	s.lastRef++
	client.seq++
	ref, class := fmt.Sprintf("%016x", s.lastRef), pickOne(s, "read", "read", "pay", "keyed")
	timeoutMS := 100 + s.rng.IntN(1900)
	request := &simulatedRequest{
		outstanding: map[*cachePeer]routing.Time{},
		class:       class,
		client:      client,
		seq:         client.seq,
		deadline:    s.clock + time.Duration(timeoutMS)*time.Millisecond + answerSlack,
	}
	if s.finalDeadline != 0 {
		request.deadline = max(min(request.deadline, s.finalDeadline+answerSlack), s.clock+time.Millisecond)
	}
	s.requests[ref] = request
	if client.malformed || client.halfClosed {
		request.cancelled = true // the server accepts no more requests on this connection
	} else {
		client.open[client.seq] = request
	}
	s.record("client %p submits %s, class %s, timeout %d ms", client, ref, class, timeoutMS)
	body := strings.Repeat("b", s.rng.IntN(200))
	object := fmt.Sprintf("%016x", 1+s.rng.IntN(20))
	frame := nettest.SubmitFrame(client.seq, body, "service", class, "ref", ref, "allow", fmt.Sprint(timeoutMS),
		"lookup", object, "chunk", "0", "tag", "0", "room", "50", "known", "tag1", "replay", "key"+ref)
	if cut := s.rng.IntN(8 * len(frame)); cut < len(frame) {
		client.send(frame[:cut])
		frame = frame[cut:]
	}
	client.send(frame)
}

// revoke lets a client revoke one of its open requests, if it has one. Unless the server no longer reads messages on
// the connection, the request counts as cancelled from here on.
func (s *simulation) revoke(client *clientPeer) {
	for seq, request := range client.open {
		s.record("revoke %d", seq)
		request.cancelled = request.cancelled || !client.malformed && !client.halfClosed
		client.send(nettest.Frame(4, "revoke", 99, binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))))
		if request.cancelled {
			delete(client.open, seq)
		}
		return
	}
}

// completeDial ends one of the pending dials with success, a refusal or a reset.
func (s *simulation) completeDial() {
	i := s.rng.IntN(len(s.pendingDials))
	cache := s.pendingDials[i]
	s.pendingDials = append(s.pendingDials[:i], s.pendingDials[i+1:]...)
	draw := s.rng.IntN(10)
	switch {
	case draw < 7:
		s.record("%s is connected", cache.name)
		s.cachePeers = append(s.cachePeers, cache)
		cache.stream.Opened(cache)
	case draw < 9:
		s.record("%s refuses a connection", cache.name)
		cache.stream.Failed(errRefused)
	default:
		s.record("%s resets a connection attempt", cache.name)
		cache.stream.Failed(fmt.Errorf("dial: %w", syscall.ECONNRESET))
	}
}

// suspend suspends the director, as after a pause of the process. The length of the pause is 0 in half of the cases,
// and otherwise below 400 ms.
func (s *simulation) suspend() {
	s.record("suspend")
	s.suspended = true
	zeroOrOne := time.Duration(s.rng.IntN(2))
	s.director.Suspend(zeroOrOne * time.Duration(s.rng.IntN(400)) * time.Millisecond)
}

// respond lets a cache act on a connection: the cache ends a partial answer, sends a second answer to a request, resets
// the connection, or answers a pending request.
func (s *simulation) respond(cache *cachePeer) {
	switch {
	case cache.unsent != "":
		s.endPartialAnswer(cache)
	case len(cache.answered) > 0 && s.rng.IntN(8) == 0:
		ref := pickOne(s, cache.answered...)
		s.sendAnswer(cache, ref, pickOne(s, "BUSY", "MISS", "OK"), "n=HIT", "copy", func() {})
	case len(cache.pending) == 0 || s.rng.IntN(25) == 0:
		s.record("%s resets", cache.name)
		cache.disconnect()
	default:
		s.answerPending(cache)
	}
}

// endPartialAnswer lets a cache send the rest of a partial answer, or reset the connection instead.
func (s *simulation) endPartialAnswer(cache *cachePeer) {
	rest, onComplete := cache.unsent, cache.onComplete
	cache.unsent = ""
	if s.rng.IntN(2) == 0 {
		s.record("%s resets the connection within an answer", cache.name)
		cache.disconnect()
		return
	}
	onComplete()
	cache.send(rest)
}

// answerPending lets a cache answer one of the pending requests of a connection. In one of 20 cases the answer carries
// a reference that no request has, and the pending request never gets an answer on this connection.
func (s *simulation) answerPending(cache *cachePeer) {
	i := s.rng.IntN(len(cache.pending))
	ref := cache.pending[i]
	cache.pending = append(cache.pending[:i], cache.pending[i+1:]...)
	request := s.requests[ref]
	executed := func() {
		cache.answered = append(cache.answered, ref)
		delete(request.outstanding, cache)
	}
	notExecuted := func() {
		request.possibleExecutions--
		executed()
	}
	draw := s.rng.IntN(20)
	switch {
	case draw < 10:
		s.sendAnswer(cache, ref, "OK", "n=HIT,rev=t,since=1", strings.Repeat("o", s.rng.IntN(1500)), executed)
	case draw < 11:
		s.sendAnswer(cache, ref, "SAME", "n=HIT,rev=tag1,since=1", "", executed)
	case draw < 14:
		s.sendAnswer(cache, ref, "MISS", "-", "", notExecuted)
	case draw < 17:
		s.sendAnswer(cache, ref, "BUSY", "n=UP_BUSY", "", notExecuted)
	case draw < 18:
		s.sendAnswer(cache, ref, "ERR", "-", "", executed)
	case draw < 19:
		s.sendAnswer(cache, ref, "WHAT", "n=NEVER", "x", executed)
	default:
		s.sendAnswer(cache, "ffffffffffffffff", "OK", "n=HIT", "nobody asked", func() {})
	}
}

// sendAnswer sends an answer, or only its first part and leaves the rest for endPartialAnswer. onComplete is called
// before the last byte is sent.
func (s *simulation) sendAnswer(cache *cachePeer, ref, status, fields, body string, onComplete func()) {
	s.record("%s answers %s %s", cache.name, ref, status)
	text := respArray(ref, status, fields, body)
	if cut := s.rng.IntN(12 * len(text)); cut < len(text) {
		cache.send(text[:cut])
		cache.unsent, cache.onComplete = text[cut:], onComplete
		return
	}
	onComplete()
	cache.send(text)
}
