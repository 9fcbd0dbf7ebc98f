// Package flightrecorder keeps the latest events of a process in memory, in a ring buffer of fixed size, for logging on
// request. Recording an event only copies a few words: events are not formatted until they are logged.
package flightrecorder

// Recorder keeps the latest events. It must be used on the event loop only. A nil Recorder is valid and keeps no
// events.
type Recorder struct {
	ring  []Event
	next  int    // index that Record overwrites next: that of the oldest event once the ring is full; 0 before
	total uint64 // number of events ever recorded
}

// NewRecorder returns a Recorder that keeps the latest size events.
func NewRecorder(size int) *Recorder { return &Recorder{ring: make([]Event, 0, size)} }

// Record adds an event. Once the ring is full, the event replaces the oldest one.
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

// Total returns the number of events ever recorded.
func (r *Recorder) Total() uint64 {
	if r == nil {
		return 0
	}
	return r.total
}

// Latest returns a copy of the latest events, at most limit of them, oldest first.
func (r *Recorder) Latest(limit int) Events {
	if r == nil {
		return nil
	}
	all := append(append(Events{}, r.ring[r.next:]...), r.ring[:r.next]...)
	return all[max(0, len(all)-limit):]
}
