package buffer

import "time"

// MinProgressBytes is the number of bytes by which a chain has to grow before it counts as having made progress, so
// that a peer that sends a byte now and then makes none.
const MinProgressBytes = 1 << 10

// Progress tells how long something that is being received into buffers has not grown. If buffers run out, what has not
// grown for longest makes room: its peer has stopped, or sends next to nothing. The zero Progress is ready for use.
type Progress struct {
	at    time.Duration // when the last progress was made, on the caller's monotonic clock
	bytes int           // received then; 0: nothing has been received
}

// Record notes that received bytes have arrived in all by now.
func (p *Progress) Record(now time.Duration, received int) {
	if received <= 0 {
		*p = Progress{}
		return
	}
	if p.bytes == 0 || received-p.bytes >= MinProgressBytes {
		*p = Progress{at: now, bytes: received}
	}
}

// Renew notes progress now, whatever has been received. It is called if more has arrived than has been read.
func (p *Progress) Renew(now time.Duration) { p.at = now }

// Stalled returns the time since the last progress.
func (p *Progress) Stalled(now time.Duration) time.Duration { return now - p.at }
