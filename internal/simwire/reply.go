package simwire

import (
	"encoding/binary"
	"fmt"

	"shaleyard/routing"
)

// Crash is the action that reports a panic of an instance's router, or settings that are invalid.
type Crash struct{ Text string }

// Reply encodes the actions that answer one batch of events. Call Reset before the first Append.
type Reply struct{ buffer []byte }

// Reset discards the buffered reply and starts the reply to the batch with the given number.
func (r *Reply) Reset(number uint32) {
	r.buffer = binary.BigEndian.AppendUint32(r.buffer[:0], number)
	r.buffer = binary.BigEndian.AppendUint32(r.buffer, 0) // the length, which Bytes fills in
}

// Bytes writes the length into the header and returns the encoded reply. The slice is valid until the next Reset or
// Append.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buffer[4:], uint32(len(r.buffer)-replyHeaderBytes))
	return r.buffer
}

// Append encodes an action of an instance: an action of package routing or a Crash. It returns an error for any other
// type.
func (r *Reply) Append(instance uint16, action any) error {
	start := len(r.buffer)
	r.buffer = append(r.buffer, make([]byte, recordHeaderBytes)...)
	r.u16(instance)
	code, known := r.appendAction(action)
	if !known {
		r.buffer = r.buffer[:start]
		return fmt.Errorf("unknown action %T", action)
	}
	r.buffer[start] = code
	size := len(r.buffer) - start - recordHeaderBytes
	binary.BigEndian.PutUint32(r.buffer[start+1:], uint32(size))
	return nil
}

// appendAction encodes the fields of an action and returns the action's code. known is false for a type that the
// protocol does not have.
func (r *Reply) appendAction(action any) (code byte, known bool) {
	switch a := action.(type) {
	case routing.Forward:
		return r.appendForward(a), true
	case routing.Fetch:
		return r.appendFetch(a), true
	case routing.Cancel:
		return r.appendCancel(a), true
	case routing.Reject:
		return r.appendReject(a), true
	case routing.Fail:
		r.u32(a.ID)
		return actionFail, true
	case routing.SetTimer:
		return r.appendSetTimer(a), true
	case routing.Probe:
		r.host(a.Host)
		return actionProbe, true
	case routing.CloseIdleConnections:
		r.host(a.Host)
		return actionCloseIdle, true
	case routing.SendPeerMessage:
		return r.appendPeerMessage(a), true
	case routing.Subscribe:
		r.boolean(a.Enabled)
		return actionSubscribe, true
	case routing.PollEndpoints:
		return actionPollEndpoints, true
	case routing.Log:
		r.text([]byte(a.Message))
		return actionLog, true
	case Crash:
		r.text([]byte(a.Text))
		return actionCrash, true
	}
	return 0, false
}

func (r *Reply) appendForward(a routing.Forward) byte {
	r.u32(a.ID)
	r.time(a.Timeout)
	r.host(a.Host)
	return actionForward
}

func (r *Reply) appendFetch(a routing.Fetch) byte {
	r.u32(a.ID)
	r.u8(uint8(a.Flags))
	r.time(a.Timeout)
	r.u8(a.RetentionRank)
	r.host(a.Source)
	r.host(a.Host)
	r.time(a.MaxAge)
	return actionFetch
}

func (r *Reply) appendCancel(a routing.Cancel) byte {
	r.u32(a.ID)
	r.u16(uint16(a.Attempt))
	return actionCancel
}

func (r *Reply) appendReject(a routing.Reject) byte {
	r.u32(a.ID)
	r.time(a.RetryAfter)
	return actionReject
}

func (r *Reply) appendSetTimer(a routing.SetTimer) byte {
	r.u64(a.Token)
	r.time(a.At)
	return actionSetTimer
}

func (r *Reply) appendPeerMessage(a routing.SendPeerMessage) byte {
	r.u32(a.To)
	r.text(a.Data)
	return actionPeerMessage
}

func (r *Reply) u8(v uint8)          { r.buffer = append(r.buffer, v) }
func (r *Reply) u16(v uint16)        { r.buffer = binary.BigEndian.AppendUint16(r.buffer, v) }
func (r *Reply) u32(v uint32)        { r.buffer = binary.BigEndian.AppendUint32(r.buffer, v) }
func (r *Reply) u64(v uint64)        { r.buffer = binary.BigEndian.AppendUint64(r.buffer, v) }
func (r *Reply) time(t routing.Time) { r.u64(uint64(t)) }

// host appends an IPv4 address and a port, in 4 and 2 bytes.
func (r *Reply) host(h routing.Host) {
	r.u16(uint16(h >> 32))
	r.u32(uint32(h))
}

func (r *Reply) boolean(v bool) {
	if v {
		r.u8(1)
		return
	}
	r.u8(0)
}

// text appends the length of a text in 2 bytes and the text, which it truncates to maxTextBytes.
func (r *Reply) text(text []byte) {
	text = text[:min(len(text), maxTextBytes)]
	r.u16(uint16(len(text)))
	r.buffer = append(r.buffer, text...)
}
