package simwire

import (
	"encoding/binary"
	"fmt"

	"shaleyard/routing"
)

// Crash reports that an instance's decision code has failed, or that its settings can't work.
type Crash struct{ Text string }

// Reply collects the actions that answer one batch.
type Reply struct{ buffer []byte }

// Reset starts the reply to the batch of that number.
func (r *Reply) Reset(number uint32) {
	r.buffer = binary.BigEndian.AppendUint32(r.buffer[:0], number)
	r.buffer = binary.BigEndian.AppendUint32(r.buffer, 0) // the length, see Bytes
}

// Bytes completes the header and returns the reply; it is valid until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buffer[4:], uint32(len(r.buffer)-replyHeaderBytes))
	return r.buffer
}

// Append adds an action of an instance: a routing action or a Crash.
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

// appendAction appends the fields of an action, and returns its code.
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

// host appends an address: four bytes and a port.
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

// text appends a text with its length; what is beyond maxTextBytes is cut off.
func (r *Reply) text(text []byte) {
	text = text[:min(len(text), maxTextBytes)]
	r.u16(uint16(len(text)))
	r.buffer = append(r.buffer, text...)
}
