// Package flightrecorder keeps the latest events of a process in memory, in a bounded ring, and logs them on request.
// Recording copies a few words: nothing is formatted until it is logged.
package flightrecorder

// Recorder keeps the latest events. It is used on the event loop alone; the nil Recorder keeps nothing.
type Recorder struct {
	ring  []Event
	next  int    // where the next event goes
	total uint64 // events ever recorded
}

// NewRecorder returns a Recorder that keeps up to size events.
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

// Latest returns a copy of the latest events, oldest first, limit of them at most.
func (r *Recorder) Latest(limit int) Events {
	if r == nil {
		return nil
	}
	all := append(append(Events{}, r.ring[r.next:]...), r.ring[:r.next]...)
	return all[max(0, len(all)-limit):]
}
