package main

import (
	"encoding/binary"
	"math"
	"strings"

	"shaleyard/internal/eventloop"
	"shaleyard/internal/nettest"
	"shaleyard/routing"
)

// cachePeer is the far end of a connection to a cache, a parent or the origin.
type cachePeer struct {
	nettest.FakeConn
	simulation   *simulation
	name         string
	stream       eventloop.Stream
	pending      []string // references of attempts that are not answered
	answered     []string // references of attempts that are, of which a second answer may come
	unsent       string   // of an answer under way
	onComplete   func()   // to be called before the rest of that is sent
	disconnected bool
}

// Writev takes what the program sends to a cache.
func (p *cachePeer) Writev(pieces [][]byte) (int, error) {
	words := strings.Split(string(joinPieces(pieces)), "\r\n")
	switch words[2] {
	case "STOP":
		p.simulation.requests[words[4]].cancelAttempt(p)
	case "REQ":
		p.takeAttempt(words[4], words[6])
	default:
		p.simulation.failf("%q to a cache", words[2])
	}
	return 1, nil
}

// takeAttempt checks that an attempt may be sent to this cache now.
func (p *cachePeer) takeAttempt(ref, fields string) {
	sim, source := p.simulation, ""
	for field := range strings.SplitSeq(fields, ",") {
		if value, ok := strings.CutPrefix(field, "up="); ok {
			source = value
		}
	}
	request := sim.requests[ref]
	sim.record("%s of %s to %s, up %q", ref, request.class, p.name, source)
	retried := request.possibleExecutions > 0
	switch {
	case sim.suspended:
		sim.failf("%s was written while the director is suspended", ref)
	case request.cancelled:
		sim.failf("%s was begun though its client had gone", ref)
	case request.answered:
		sim.failf("%s was begun though it was answered", ref)
	case sim.endpointStates[p.name] != routing.Ready:
		sim.failf("%s went to %s, which is %v", ref, p.name, sim.endpointStates[p.name])
	case source != "" && sim.endpointStates[source] != routing.Ready:
		sim.failf("%s has source %s, which is %v", ref, source, sim.endpointStates[source])
	case request.class == "pay" && retried:
		sim.failf("%s was sent again though it may have run", ref)
	case request.class == "keyed" && retried && sim.clock >= request.firstWrittenAt+dedupWindow:
		sim.failf("%s was repeated %v after it may first have run", ref, sim.clock-request.firstWrittenAt)
	}
	for _, until := range request.outstanding {
		if sim.hedgingForbidden && sim.clock < until {
			sim.failf("%s got a hedged attempt, which is not allowed", ref)
		}
	}
	request.outstanding[p] = math.MaxInt64
	request.possibleExecutions++
	if request.possibleExecutions == 1 {
		request.firstWrittenAt = sim.clock
	}
	p.pending = append(p.pending, ref)
}

// send sends bytes to the program.
func (p *cachePeer) send(text string) {
	if err := p.stream.Data([]byte(text)); err != nil {
		p.disconnected = true // the event loop closes at once what can't be parsed
		p.stream.Closed()
	}
}

// Close implements eventloop.Conn; it takes effect later.
func (p *cachePeer) Close() error {
	for _, request := range p.simulation.requests {
		request.cancelAttempt(p)
	}
	if !p.disconnected {
		p.simulation.pendingCloses = append(p.simulation.pendingCloses, p.disconnect)
	}
	return nil
}

// disconnect ends the connection from the far end.
func (p *cachePeer) disconnect() {
	if p.disconnected {
		return
	}
	p.disconnected = true
	for _, request := range p.simulation.requests {
		delete(request.outstanding, p)
	}
	p.stream.Closed()
}

// clientPeer is the far end of a client's connection.
type clientPeer struct {
	nettest.FakeConn
	simulation   *simulation
	session      eventloop.Session
	seq          int32
	open         map[int32]*simulatedRequest
	disconnected bool
	malformed    bool // has sent what can't be parsed
	halfClosed   bool // by the program
}

// Writev takes an answer to a client.
func (p *clientPeer) Writev(pieces [][]byte) (int, error) {
	sim, message := p.simulation, joinPieces(pieces)
	nameLength := int(binary.BigEndian.Uint32(message[8:]))
	name, rest := string(message[12:12+nameLength]), message[12+nameLength:]
	seq := int32(binary.BigEndian.Uint32(rest))
	request := p.open[seq]
	sim.record("answer to %d", seq)
	switch {
	case p.disconnected, p.halfClosed:
		sim.failf("an answer on a connection that has ended")
	case request == nil && name == "heartbeat":
		return len(message), nil
	case request == nil:
		sim.failf("sequence number %d was answered, which is not open", seq)
	case request.answered:
		sim.failf("sequence number %d was answered twice", seq)
	}
	// Thrift's type of an answer; the other one is an exception
	const reply = 2
	if message[7] == reply && rest[5] == 0 && rest[6] == 0 { // its field 0: the request was served
		sim.served++
	}
	request.answered = true
	delete(p.open, seq)
	return len(message), nil
}

// CloseWrite implements eventloop.Conn.
func (p *clientPeer) CloseWrite() error {
	p.halfClosed = true
	p.checkNothingOwed("left without an answer")
	return nil
}

// Close implements eventloop.Conn; it takes effect later.
func (p *clientPeer) Close() error {
	if !p.disconnected && !p.halfClosed && p.Buffered == 0 {
		p.checkNothingOwed("closed upon")
	}
	p.simulation.pendingCloses = append(p.simulation.pendingCloses, p.disconnect)
	return nil
}

// checkNothingOwed fails if a request of the connection is open that the client has not revoked.
func (p *clientPeer) checkNothingOwed(what string) {
	for seq, request := range p.open {
		if !request.cancelled {
			p.simulation.failf("sequence number %d was %s", seq, what)
		}
	}
}

// disconnect ends the connection from the far end.
func (p *clientPeer) disconnect() {
	if p.disconnected {
		return
	}
	p.disconnected = true
	for _, request := range p.open {
		request.cancelled = true
	}
	p.session.Closed()
}

// data sends bytes to the program.
func (p *clientPeer) data(text string) {
	if !p.disconnected {
		_ = p.session.Data([]byte(text)) // an error closes the connection, which the peer is told of
	}
}
