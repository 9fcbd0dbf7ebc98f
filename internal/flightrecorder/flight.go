// Package flight keeps the latest events of a process in memory, in a bounded ring, and writes them out when somebody asks
// what has happened. Recording costs a copy of a few words: nothing is formatted until it is wanted.
package flightrecorder

import (
	"go.uber.org/zap/zapcore"

	"shaleyard/routing"
)

// Kind is what has happened.
type Kind uint8

// The kinds of events.
const (
	ConnOpened      Kind = iota // a client's connection was accepted
	ConnClosing                 // its end was begun by us, for a reason
	ConnClosed                  // nothing reaches the client any more
	RequestAccepted             // a request was read and is owed an answer
	RequestRejected             // refused before the decisions were asked, for a reason
	RequestEnded                // answered, or withdrawn
	AttemptSent                 // an attempt was given to a peer
	AttemptEnded                // and has ended, for a reason
)

var kindNames = [...]string{"conn_opened", "conn_ending", "conn_closed", "request_taken", "request_refused", "request_ended",
	"attempt_sent", "attempt_ended"}

// String is the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Reason is why it has happened. The words are constants of who records them.
type Reason string

// Event is one thing that has happened. What does not apply is 0.
type Event struct {
	At      routing.Time
	Kind    Kind
	Reason  Reason
	Conn    uint64       // the client's connection, counted from 1
	Request uint32       // handle of the request
	Attempt int          // its number within the request, from 0: a higher one is a retry or a second copy
	Host    routing.Host // whom it was sent to
	Count   int          // open requests of a connection, bytes dropped on it
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Event) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddInt64("at_us", e.At.Microseconds())
	to.AddString("kind", e.Kind.String())
	if e.Reason != "" {
		to.AddString("reason", string(e.Reason))
	}
	if e.Conn != 0 {
		to.AddUint64("conn", e.Conn)
	}
	if e.Request != 0 {
		to.AddUint32("request", e.Request)
	}
	if e.Kind == AttemptSent || e.Kind == AttemptEnded {
		to.AddInt("attempt", e.Attempt)
	}
	if e.Host != 0 {
		to.AddUint64("host", uint64(e.Host))
	}
	if e.Count != 0 {
		to.AddInt("count", e.Count)
	}
	return nil
}

// Recorder keeps the latest events. It is used on the event loop alone; the nil Recorder keeps nothing.
type Recorder struct {
	ring  []Event
	next  int    // where the next event goes
	total uint64 // events ever recorded
}

// NewRecorder returns a recorder of so many events.
func NewRecorder(size int) *Recorder { return &Recorder{ring: make([]Event, 0, size)} }

// Record keeps an event in the place of the oldest.
func (r *Recorder) Record(e Event) {
	if r == nil || cap(r.ring) == 0 {
		return
	}
	r.total++
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
}

// Total is the number of events ever recorded.
func (r *Recorder) Total() uint64 {
	if r == nil {
		return 0
	}
	return r.total
}

// Latest is a copy of the latest events, oldest first, most at most.
func (r *Recorder) Latest(most int) Events {
	if r == nil {
		return nil
	}
	all := append(append(Events{}, r.ring[r.next:]...), r.ring[:r.next]...)
	return all[max(0, len(all)-most):]
}

// Events are events in their order.
type Events []Event

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l Events) MarshalLogArray(to zapcore.ArrayEncoder) error {
	for _, e := range l {
		if err := to.AppendObject(e); err != nil {
			return err
		}
	}
	return nil
}
