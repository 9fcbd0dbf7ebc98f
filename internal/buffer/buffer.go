// Package buffer lends buffers of one size from a bounded pool, and joins them to chains that hold bodies. It is not
// safe for concurrent use: the event loop owns it.
package buffer

import "errors"

// ErrExhausted reports that as many buffers are in use as the pool may lend.
var ErrExhausted = errors.New("buffer pool exhausted")

// Pool lends buffers of one size.
type Pool struct {
	size  int // bytes of a buffer
	limit int // buffers in use at once
	inUse int
	free  [][]byte
}

// keptFraction is the part of the limit, as a divisor, that the pool keeps free for reuse.
const keptFraction = 4

// NewPool returns a pool that lends up to limit buffers of size bytes.
func NewPool(size, limit int) *Pool { return &Pool{size: size, limit: limit} }

// InUse is the number of buffers that are lent.
func (p *Pool) InUse() int { return p.inUse }

func (p *Pool) acquire() ([]byte, error) {
	if p.inUse >= p.limit {
		return nil, ErrExhausted
	}
	p.inUse++
	last := len(p.free) - 1
	if last < 0 {
		return make([]byte, 0, p.size), nil
	}
	free := p.free[last]
	p.free = p.free[:last]
	return free, nil
}

// release takes a buffer back. Only a quarter of the limit is kept, and the rest left to the garbage collector, so that
// a burst does not hold its memory for good.
func (p *Pool) release(buffer []byte) {
	p.inUse--
	if len(p.free) < p.limit/keptFraction {
		p.free = append(p.free, buffer[:0])
	}
}
