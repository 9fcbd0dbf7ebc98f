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

// drawOne draws one of several values.
func drawOne[T any](s *simulation, values ...T) T { return values[s.rng.IntN(len(values))] }

// step lets one thing happen.
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
		s.record("junk from a client")
		client.malformed = true
		client.data("\xff\xff\xff\xff" + strings.Repeat("j", s.rng.IntN(3000)))
	case draw < 31:
		client.data(nettest.Frame(1, "heartbeat", 1000, []byte{2, 0, 1, 0}))
	case draw < 45 && len(s.dials) > 0:
		s.completeDial()
	case draw < 72 && hasCache:
		s.respond(cache)
	case draw < 75:
		name := drawOne(s, "c1", "c2", "c3", "p1")
		s.updateEndpoint(name, drawOne(s, routing.Draining, routing.Gone, routing.Ready, routing.Ready), 0)
	case draw < 76:
		s.updateEndpoint(drawOne(s, "c1", "c2", "c3", "p1"), routing.Ready, s.clock)
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
		s.carryOutClose()
	default:
		s.advance(time.Duration(s.rng.IntN(40)) * time.Millisecond)
	}
}

func (s *simulation) connectClient() {
	client := &clientPeer{simulation: s, open: map[int32]*simulatedRequest{}}
	session := s.downstream.Accept(client)
	if session == nil {
		return
	}
	client.session = session
	s.clientPeers = append(s.clientPeers, client)
}

// submit has a client send a request, whole or in two pieces.
func (s *simulation) submit(client *clientPeer) {
	s.lastRef++
	client.seq++
	ref, class := fmt.Sprintf("%016x", s.lastRef), drawOne(s, "read", "read", "pay", "keyed")
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
		request.cancelled = true // no request is accepted there any more
	} else {
		client.open[client.seq] = request
	}
	s.record("%p asks for %s of %s, %d ms", client, ref, class, timeoutMS)
	body := strings.Repeat("b", s.rng.IntN(200))
	object := fmt.Sprintf("%016x", 1+s.rng.IntN(20))
	frame := nettest.SubmitFrame(client.seq, body, "service", class, "ref", ref, "allow", fmt.Sprint(timeoutMS),
		"lookup", object, "chunk", "0", "tag", "0", "room", "50", "known", "tag1", "replay", "key"+ref)
	if cut := s.rng.IntN(8 * len(frame)); cut < len(frame) {
		client.data(frame[:cut])
		frame = frame[cut:]
	}
	client.data(frame)
}

// revoke has a client revoke one of its requests.
func (s *simulation) revoke(client *clientPeer) {
	for seq, request := range client.open {
		s.record("revoke %d", seq)
		request.cancelled = request.cancelled || !client.malformed && !client.halfClosed
		client.data(nettest.Frame(4, "revoke", 99, binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))))
		if request.cancelled {
			delete(client.open, seq)
		}
		return
	}
}

// completeDial ends one of the dials that are under way.
func (s *simulation) completeDial() {
	i := s.rng.IntN(len(s.dials))
	cache := s.dials[i]
	s.dials = append(s.dials[:i], s.dials[i+1:]...)
	draw := s.rng.IntN(10)
	switch {
	case draw < 7:
		s.record("%s is connected", cache.name)
		s.cachePeers = append(s.cachePeers, cache)
		cache.stream.Opened(cache)
	case draw < 9:
		s.record("%s refuses", cache.name)
		cache.stream.Failed(errRefused)
	default:
		s.record("%s resets a dial", cache.name)
		cache.stream.Failed(fmt.Errorf("dial: %w", syscall.ECONNRESET))
	}
}

func (s *simulation) suspend() {
	s.record("suspend")
	s.suspended = true
	whether := time.Duration(s.rng.IntN(2))
	s.director.Suspend(whether * time.Duration(s.rng.IntN(400)) * time.Millisecond)
}

// respond has a cache do something on a connection.
func (s *simulation) respond(cache *cachePeer) {
	switch {
	case cache.unsent != "":
		s.endPartialAnswer(cache)
	case len(cache.answered) > 0 && s.rng.IntN(8) == 0:
		ref := drawOne(s, cache.answered...)
		s.sendAnswer(cache, ref, drawOne(s, "BUSY", "MISS", "OK"), "n=HIT", "copy", func() {})
	case len(cache.pending) == 0 || s.rng.IntN(25) == 0:
		s.record("%s resets", cache.name)
		cache.disconnect()
	default:
		s.answerPending(cache)
	}
}

// endPartialAnswer sends the rest of an answer, or resets the connection.
func (s *simulation) endPartialAnswer(cache *cachePeer) {
	rest, onComplete := cache.unsent, cache.onComplete
	cache.unsent = ""
	if s.rng.IntN(2) == 0 {
		s.record("%s resets amid an answer", cache.name)
		cache.disconnect()
		return
	}
	onComplete()
	cache.send(rest)
}

// answerPending answers one of the requests that a cache has got on a connection, or another one that nobody sent.
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

// sendAnswer answers a request, at once or in two pieces; onComplete is called before the last of it is sent.
func (s *simulation) sendAnswer(cache *cachePeer, ref, word, fields, body string, onComplete func()) {
	s.record("%s answers %s %s", cache.name, ref, word)
	text := respArray(ref, word, fields, body)
	if cut := s.rng.IntN(12 * len(text)); cut < len(text) {
		cache.send(text[:cut])
		cache.unsent, cache.onComplete = text[cut:], onComplete
		return
	}
	onComplete()
	cache.send(text)
}
