package downstream

import (
	"errors"
	"fmt"

	"shaleyard/internal/buffer"
	"shaleyard/internal/director"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/thrift"
)

// seqIDInUseError reports that a client has given two open requests one sequence number.
type seqIDInUseError struct{ seqID int32 }

// Error implements error.
func (e *seqIDInUseError) Error() string { return fmt.Sprintf("sequence number %d is open", e.seqID) }

// messageTypeError reports that a client has sent a message of a type that clients don't send.
type messageTypeError struct{ messageType thrift.MessageType }

// Error implements error.
func (e *messageTypeError) Error() string { return fmt.Sprintf("message of type %d", e.messageType) }

// handleMessage handles the message of one frame. An error means that the stream is malformed.
func (c *Connection) handleMessage(frame []byte) error {
	counters := &c.server.Counters
	counters.Frames++
	c.lastActivity = c.server.now()
	c.lastMessage = c.lastActivity
	c.messageStarted = 0
	c.receivedMessage = true

	r := thrift.NewReader(frame)
	header := r.MessageHeader()
	if err := r.Err(); err != nil {
		counters.BadMessage++
		return err
	}
	called := header.Type == thrift.Call
	oneway := header.Type == thrift.Oneway
	switch {
	case !called && !oneway:
		counters.BadMessage++
		return &messageTypeError{messageType: header.Type}
	case header.Method == methodRevoke: // some clients send it as a call
		return c.handleRevoke(&r)
	case header.Method == methodSubmit && called:
		return c.handleSubmit(header, &r)
	case header.Method == methodHeartbeat && called:
		c.handleHeartbeat(header)
	default:
		c.handleUnknownMethod(header)
	}
	return nil
}

func (c *Connection) handleRevoke(r *thrift.Reader) error {
	counters := &c.server.Counters
	counters.Revokes++
	seqID := readRevokeArgs(r)
	if err := r.Err(); err != nil {
		counters.BadMessage++
		return err
	}
	request, open := c.openRequests[seqID]
	if !open {
		return nil
	}
	delete(c.openRequests, seqID)
	c.server.handler.Cancel(request)
	return nil
}

func (c *Connection) handleHeartbeat(header thrift.MessageHeader) {
	server := c.server
	server.Counters.Heartbeats++
	w := &server.replyWriter
	beginAnswer(w, header.Method, header.SeqID, 0)
	finishAnswer(w, server.ready())
	c.write(w.Frame(0))
}

// handleUnknownMethod answers a call; nobody waits for the answer to a oneway message.
func (c *Connection) handleUnknownMethod(header thrift.MessageHeader) {
	c.server.Counters.UnknownMethod++
	if header.Type == thrift.Oneway {
		return
	}
	c.writeApplicationException(header, thrift.UnknownMethod, "unknown method")
}

// handleSubmit hands a request to the director, or answers it at once where that is not possible.
func (c *Connection) handleSubmit(header thrift.MessageHeader, r *thrift.Reader) error {
	server := c.server
	server.Counters.Submits++
	args := readSubmitArgs(r, server.limits.MaxRequestFields)
	if _, inUse := c.openRequests[header.SeqID]; inUse {
		server.Counters.BadMessage++
		return &seqIDInUseError{seqID: header.SeqID}
	}
	request := director.Request{ConnID: c.id, Body: server.pool.NewChain()}
	err := r.Err()
	if err == nil {
		err = server.parseRequest(args, &request)
	}
	if err == nil {
		err = request.Body.Append(args.body)
	}
	switch {
	case errors.Is(err, buffer.ErrExhausted):
		request.Body.Release()
		server.Counters.OutOfCapacity++
		c.rejectLocally(header.SeqID, flightrecorder.ReasonBuffersExhausted)
	case err != nil:
		c.rejectInvalid(header, err)
	case len(c.openRequests) >= server.limits.MaxRequestsPerConn:
		request.Body.Release()
		server.Counters.TooManyOpenRequests++
		c.rejectLocally(header.SeqID, flightrecorder.ReasonTooManyOpenRequests)
	default:
		c.submit(header.SeqID, request)
	}
	return nil
}

// rejectInvalid answers a request that has invalid fields. The error's text is sent to the client.
func (c *Connection) rejectInvalid(header thrift.MessageHeader, cause error) {
	server := c.server
	server.Counters.BadFields++
	event := flightrecorder.Event{Kind: flightrecorder.RequestRejected, Conn: c.id}
	server.record(event, flightrecorder.ReasonInvalidFields)
	c.writeApplicationException(header, thrift.ProtocolError, cause.Error())
}

// submit hands a request to the director.
func (c *Connection) submit(seqID int32, request director.Request) {
	server := c.server
	if c.openRequests == nil { // most connections that are idle never have an open request again
		c.openRequests = map[int32]handle.Handle{}
	}
	// The reply may come within Submit, so the number is in use before.
	c.openRequests[seqID] = 0
	requestHandle, ok := server.handler.Submit(request, c, uint64(uint32(seqID)))
	if !ok {
		request.Body.Release()
		delete(c.openRequests, seqID)
		server.Counters.OutOfCapacity++
		c.rejectLocally(seqID, flightrecorder.ReasonRequestTableFull)
		return
	}
	if _, open := c.openRequests[seqID]; open {
		c.openRequests[seqID] = requestHandle
		return
	}
	if c.phase == phaseClosed { // closed within Submit, by the answer to another request: this one had no handle then
		server.handler.Cancel(requestHandle)
	}
}
