package flightrecorder

import (
	"go.uber.org/zap/zapcore"

	"shaleyard/routing"
)

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events.
const (
	ConnOpened      Kind = iota // a client's connection was accepted
	ConnClosing                 // a client's connection began to drain or linger, or input was dropped in these phases
	ConnClosed                  // a client's connection is closed: no answer can reach the client any more
	RequestAccepted             // a request was read and must be answered
	RequestRejected             // a request was rejected before routing, for Event.Reason
	RequestEnded                // a request was answered, or cancelled by its client
	AttemptSent                 // an attempt was sent upstream
	AttemptEnded                // an attempt has ended, with Event.Reason as its result
)

var kindNames = [...]string{
	ConnOpened:      "conn_opened",
	ConnClosing:     "conn_closing",
	ConnClosed:      "conn_closed",
	RequestAccepted: "request_accepted",
	RequestRejected: "request_rejected",
	RequestEnded:    "request_ended",
	AttemptSent:     "attempt_sent",
	AttemptEnded:    "attempt_ended",
}

// String returns the name of the kind in the log, or "unknown".
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Event is one recorded event of a connection, a request or an attempt. Fields that do not apply to its Kind are 0.
type Event struct {
	At      routing.Time
	Kind    Kind
	Reason  Reason
	Conn    uint64       // the client's connection, counted from 1
	Request uint32       // the handle of the request
	Attempt int          // the attempt's number within the request, from 0; each further one is a retry or a hedge
	Host    routing.Host // the server to which the attempt was sent
	Count   int          // open requests of the connection, or bytes dropped on it
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Event) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddInt64("at_us", e.At.Microseconds())
	encoder.AddString("kind", e.Kind.String())
	if e.Reason != ReasonNone {
		encoder.AddString("reason", e.Reason.String())
	}
	if e.Conn != 0 {
		encoder.AddUint64("conn", e.Conn)
	}
	if e.Request != 0 {
		encoder.AddUint32("request", e.Request)
	}
	if e.Kind == AttemptSent || e.Kind == AttemptEnded {
		encoder.AddInt("attempt", e.Attempt)
	}
	if e.Host != 0 {
		encoder.AddUint64("host", uint64(e.Host))
	}
	if e.Count != 0 {
		encoder.AddInt("count", e.Count)
	}
	return nil
}

// Events is a sequence of events, oldest first.
type Events []Event

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (events Events) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, event := range events {
		if err := encoder.AppendObject(event); err != nil {
			return err
		}
	}
	return nil
}
