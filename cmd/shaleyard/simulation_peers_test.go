package main

import (
	"encoding/binary"
	"math"
	"strings"

	"shaleyard/internal/eventloop"
	"shaleyard/internal/nettest"
	"shaleyard/routing"
)

// cachePeer is the remote end of one connection to a cache, a parent or the origin. The program's end is stream.
type cachePeer struct {
	nettest.FakeConn
	simulation   *simulation
	name         string
	stream       eventloop.Stream
	pending      []string // references of attempts that are not answered
	answered     []string // references of attempts that are answered; the peer may answer them a second time
	unsent       string   // rest of a partial answer
	onComplete   func()   // called before unsent is sent
	disconnected bool
}

// Writev receives one command from the program. STOP cancels an attempt; REQ starts one.
func (p *cachePeer) Writev(pieces [][]byte) (int, error) {
	words := strings.Split(string(joinPieces(pieces)), "\r\n")
	switch words[2] {
	case "STOP":
		p.simulation.requests[words[4]].cancelAttempt(p)
	case "REQ":
		p.receiveAttempt(words[4], words[6])
	default:
		p.simulation.failf("unknown command %q sent to a cache", words[2])
	}
	return 1, nil
}

// receiveAttempt records an attempt and checks that the director may send it to this cache now: the request is still
// open, the director is not suspended, the cache and the source are ready, the request's class allows a retry if the
// attempt is one, and there is no second outstanding attempt if hedging is forbidden.
func (p *cachePeer) receiveAttempt(ref, fields string) {
	sim, source := p.simulation, ""
	for field := range strings.SplitSeq(fields, ",") {
		if value, ok := strings.CutPrefix(field, "up="); ok {
			source = value
		}
	}
	request := sim.requests[ref]
	sim.record("attempt of %s, class %s, at %s with source %q", ref, request.class, p.name, source)
	retried := request.possibleExecutions > 0
	switch {
	case sim.suspended:
		sim.failf("attempt of %s written while the director is suspended", ref)
	case request.cancelled:
		sim.failf("attempt of %s written after the request was cancelled", ref)
	case request.answered:
		sim.failf("attempt of %s written after the request was answered", ref)
	case sim.endpointStates[p.name] != routing.Ready:
		sim.failf("attempt of %s sent to %s, which is %v, want %v", ref, p.name, sim.endpointStates[p.name],
			routing.Ready)
	case source != "" && sim.endpointStates[source] != routing.Ready:
		sim.failf("attempt of %s has source %s, which is %v, want %v", ref, source, sim.endpointStates[source],
			routing.Ready)
	case request.class == "pay" && retried:
		sim.failf("%s retried although it is not idempotent and may have run", ref)
	case request.class == "keyed" && retried && sim.clock >= request.firstWrittenAt+dedupWindow:
		sim.failf("%s retried %v after its first attempt, want less than %v", ref, sim.clock-request.firstWrittenAt,
			dedupWindow)
	}
	for _, until := range request.outstanding {
		if sim.hedgingForbidden && sim.clock < until {
			sim.failf("%s has two outstanding attempts although hedging is forbidden", ref)
		}
	}
	request.outstanding[p] = math.MaxInt64
	request.possibleExecutions++
	if request.possibleExecutions == 1 {
		request.firstWrittenAt = sim.clock
	}
	p.pending = append(p.pending, ref)
}

// send delivers bytes from the cache to the program.
func (p *cachePeer) send(text string) {
	if err := p.stream.Data([]byte(text)); err != nil {
		p.disconnected = true // on an error of Data, the event loop closes the connection at once
		p.stream.Closed()
	}
}

// Close implements eventloop.Conn. It cancels the attempts on the connection. The program's stream is notified of the
// close later, by runPendingClose.
func (p *cachePeer) Close() error {
	for _, request := range p.simulation.requests {
		request.cancelAttempt(p)
	}
	if !p.disconnected {
		p.simulation.pendingCloses = append(p.simulation.pendingCloses, p.disconnect)
	}
	return nil
}

// disconnect ends the connection, drops its attempts and notifies the program's stream, once.
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

// clientPeer is the remote end of one client connection. The program's end is session.
type clientPeer struct {
	nettest.FakeConn
	simulation   *simulation
	session      eventloop.Session
	seq          int32
	open         map[int32]*simulatedRequest
	disconnected bool
	malformed    bool // the client has sent malformed data, after which the program reads no more requests
	halfClosed   bool // the program has closed its half
}

// Writev receives one answer to the client and checks that it belongs to an open request, or to a heartbeat.
func (p *clientPeer) Writev(pieces [][]byte) (int, error) {
	sim, message := p.simulation, joinPieces(pieces)
	nameLength := int(binary.BigEndian.Uint32(message[8:]))
	name, rest := string(message[12:12+nameLength]), message[12+nameLength:]
	seq := int32(binary.BigEndian.Uint32(rest))
	request := p.open[seq]
	sim.record("answer to %d", seq)
	switch {
	case p.disconnected, p.halfClosed:
		sim.failf("answer to %d written after the connection was disconnected or half-closed", seq)
	case request == nil && name == "heartbeat":
		return len(message), nil
	case request == nil:
		sim.failf("answer to %d, which is no open request of the connection", seq)
	case request.answered:
		sim.failf("second answer to %d", seq)
	}
	// reply is Thrift's message type of an answer; an answer of another type is an exception.
	const reply = 2
	if message[7] == reply && rest[5] == 0 && rest[6] == 0 { // field 0 of the result: the request was served
		sim.served++
	}
	request.answered = true
	delete(p.open, seq)
	return len(message), nil
}

// CloseWrite implements eventloop.Conn. It ends the test if the connection has an open request that was not cancelled.
func (p *clientPeer) CloseWrite() error {
	p.halfClosed = true
	p.checkNoOpenRequests("half-closed")
	return nil
}

// Close implements eventloop.Conn. The program's session is notified of the close later, by runPendingClose. Close ends
// the test if the connection has an open request that was not cancelled, unless the client has disconnected or does not
// read its answers, or the program has closed its half already.
func (p *clientPeer) Close() error {
	if !p.disconnected && !p.halfClosed && p.Buffered == 0 {
		p.checkNoOpenRequests("closed")
	}
	p.simulation.pendingCloses = append(p.simulation.pendingCloses, p.disconnect)
	return nil
}

// checkNoOpenRequests ends the test if a request of the connection is open that was not cancelled. The failure message
// names action, which is what the program did to the connection.
func (p *clientPeer) checkNoOpenRequests(action string) {
	for seq, request := range p.open {
		if !request.cancelled {
			p.simulation.failf("connection %s while request %d has no answer", action, seq)
		}
	}
}

// disconnect ends the connection, cancels its open requests and notifies the program's session, once.
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

// send delivers bytes from the client to the program, unless the connection has ended.
func (p *clientPeer) send(text string) {
	if !p.disconnected {
		_ = p.session.Data([]byte(text)) // always nil: the server itself closes a connection with malformed data
	}
}
