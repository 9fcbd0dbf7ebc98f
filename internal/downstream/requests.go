package downstream

import (
	"errors"
	"fmt"

	"shaleyard/internal/director"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/thrift"
)

// seqIDInUseError is the error for a submit whose sequence number is that of an open request on the same connection.
type seqIDInUseError struct{ seqID int32 }

// Error implements error.
func (e *seqIDInUseError) Error() string {
	return fmt.Sprintf("sequence number %d is already in use by an open request", e.seqID)
}

// messageTypeError is the error for a message from a client that is neither a call nor oneway.
type messageTypeError struct{ messageType thrift.MessageType }

// Error implements error.
func (e *messageTypeError) Error() string {
	return fmt.Sprintf("unexpected message type %d, must be a call or oneway", e.messageType)
}

// recordMessage notes that a message is complete.
func (c *Connection) recordMessage() {
	c.server.Counters.Frames++
	c.lastActivity = c.server.now()
	c.lastMessage = c.lastActivity
	c.messageStarted = 0
	c.receivedMessage = true
}

// handleMessage handles the message of one frame. It returns an error if the stream is malformed and must not be read
// any further.
func (c *Connection) handleMessage(frame []byte) error {
	counters := &c.server.Counters
	c.recordMessage()
	r := thrift.NewReader(frame)
	header := r.MessageHeader()
	if err := r.Err(); err != nil {
		counters.BadMessage++
		return err
	}
	isCall := header.Type == thrift.Call
	isOneway := header.Type == thrift.Oneway
	switch {
	case !isCall && !isOneway:
		counters.BadMessage++
		return &messageTypeError{messageType: header.Type}
	case header.Method == methodRevoke: // some clients send it as a call
		return c.handleRevoke(&r)
	case header.Method == methodSubmit && isCall:
		return c.handleSubmit(header, &r)
	case header.Method == methodHeartbeat && isCall:
		return c.handleHeartbeat(header, &r)
	default:
		c.handleUnknownMethod(header)
	}
	return nil
}

// handleHeartbeat answers a heartbeat. If its arguments are malformed, they are answered with an application exception
// and returned as an error.
func (c *Connection) handleHeartbeat(header thrift.MessageHeader, r *thrift.Reader) error {
	server := c.server
	server.Counters.Heartbeats++
	readHeartbeatArgs(r)
	if err := r.Err(); err != nil {
		server.Counters.BadMessage++
		c.writeApplicationException(header, thrift.ProtocolError, err.Error())
		return err
	}
	w := &server.replyWriter
	beginAnswer(w, header.Method, header.SeqID, 0)
	finishAnswer(w, server.ready())
	c.writeMessage(w.Frame(0))
	return nil
}

// handleUnknownMethod answers a call of an unknown method with an application exception. A oneway message gets no
// answer.
func (c *Connection) handleUnknownMethod(header thrift.MessageHeader) {
	c.server.Counters.UnknownMethod++
	if header.Type == thrift.Oneway {
		return
	}
	c.writeApplicationException(header, thrift.UnknownMethod, "unknown method")
}

// handleSubmit validates a request and submits it to the director. A request that is invalid or exceeds a limit is
// answered at once. A message that is not what its lengths announce is answered as well and returned as an error: where
// it ends is not certain, so that what follows might be a part of it. So is a sequence number in use.
func (c *Connection) handleSubmit(header thrift.MessageHeader, r *thrift.Reader) error {
	server := c.server
	server.Counters.Submits++
	args := readSubmitArgs(r, server.limits.MaxRequestFields)
	if _, inUse := c.openRequests[header.SeqID]; inUse {
		server.Counters.BadMessage++
		return &seqIDInUseError{seqID: header.SeqID}
	}
	request := director.Request{ConnID: c.id, Body: server.bodyPool.NewChain()}
	if err := r.Err(); err != nil {
		c.rejectInvalid(header, err)
		return malformedStream(err)
	}
	err := server.parseRequest(args, &request)
	switch {
	case err != nil:
		c.rejectInvalid(header, err)
	case len(c.openRequests)+c.recentRevokes() >= server.limits.MaxRequestsPerConn:
		server.Counters.TooManyOpenRequests++
		c.rejectLocally(header.SeqID, flightrecorder.ReasonTooManyOpenRequests)
	case !c.hasPlaceForRequest():
		server.Counters.OutOfCapacity++
		c.rejectLocally(header.SeqID, flightrecorder.ReasonRequestTableFull)
	case !c.hasRoomForRequest():
		server.Counters.RejectedForUnreadOutput++
		c.rejectLocally(header.SeqID, flightrecorder.ReasonAnswersNotRead)
	case !c.hasRoomForBody(len(args.body)) || request.Body.Append(args.body) != nil:
		request.Body.Release()
		server.Counters.OutOfCapacity++
		c.rejectLocally(header.SeqID, flightrecorder.ReasonBuffersExhausted)
	default:
		c.submit(header.SeqID, request)
	}
	return nil
}

// malformedStream returns the error of a malformed message if it makes the rest of the stream unusable. Too many fields
// exceed a limit and are not malformed.
func malformedStream(err error) error {
	if _, ok := errors.AsType[*fieldCountError](err); ok {
		return nil
	}
	return err
}

// rejectUnfinished rejects a request of which only a part has arrived, because the rest will not be read. Its client
// has an answer then, even if it has just written the last byte. Nothing is written if the part does not tell that it
// belongs to a request.
func (c *Connection) rejectUnfinished(reason flightrecorder.Reason) {
	if c.frameLength == 0 {
		return
	}
	header, err := c.partialFrame.messageHeader()
	if err != nil || header.Type != thrift.Call || header.Method != methodSubmit {
		return
	}
	if _, inUse := c.openRequests[header.SeqID]; !inUse {
		c.rejectLocally(header.SeqID, reason)
	}
}

// rejectUnread rejects a submit whose arguments have not been read. It returns an error if the sequence number is in
// use.
func (c *Connection) rejectUnread(seqID int32, reason flightrecorder.Reason) error {
	counters := &c.server.Counters
	counters.Submits++
	if _, inUse := c.openRequests[seqID]; inUse {
		counters.BadMessage++
		return &seqIDInUseError{seqID: seqID}
	}
	counters.OutOfCapacity++
	c.rejectLocally(seqID, reason)
	return nil
}

// rejectInvalid answers a request with invalid arguments. The text of cause is sent to the client.
func (c *Connection) rejectInvalid(header thrift.MessageHeader, cause error) {
	server := c.server
	server.Counters.BadFields++
	event := flightrecorder.Event{Kind: flightrecorder.RequestRejected, Conn: c.id}
	server.record(event, flightrecorder.ReasonInvalidFields)
	c.writeApplicationException(header, thrift.ProtocolError, cause.Error())
}

// submit submits a request to the director, or holds it while more input of the client is unread.
func (c *Connection) submit(seqID int32, request director.Request) {
	if c.inputUnread {
		c.hold(seqID, request)
		return
	}
	c.enterRequest(seqID, &request)
	c.submitEntered(seqID, request)
}

// enterRequest enters a request as open.
func (c *Connection) enterRequest(seqID int32, request *director.Request) {
	if c.openRequests == nil { // most idle connections never need the map
		c.openRequests = map[int32]openRequest{}
	}
	open := openRequest{bodyBuffers: request.Body.Buffers()}
	c.openRequests[seqID] = open
	c.bodyBuffers += open.bodyBuffers
}

// submitEntered submits an open request to the director, and rejects it if the director has no room for it. The
// director can reply before Submit returns.
func (c *Connection) submitEntered(seqID int32, request director.Request) {
	server := c.server
	requestHandle, ok := server.handler.Submit(request, c, uint64(uint32(seqID)))
	if !ok {
		request.Body.Release()
		c.forgetRequest(seqID)
		server.Counters.OutOfCapacity++
		c.rejectLocally(seqID, flightrecorder.ReasonRequestTableFull)
		return
	}
	if open, stillOpen := c.openRequests[seqID]; stillOpen {
		open.handle = requestHandle
		c.openRequests[seqID] = open
		return
	}
	// The answer to another request can close the connection during Submit. enterClosed cannot cancel this request
	// then, because its handle is not known yet.
	if c.phase == phaseClosed {
		server.handler.Cancel(requestHandle)
	}
}

// forgetRequest removes a request from the open ones.
func (c *Connection) forgetRequest(seqID int32) {
	c.bodyBuffers -= c.openRequests[seqID].bodyBuffers
	delete(c.openRequests, seqID)
}
