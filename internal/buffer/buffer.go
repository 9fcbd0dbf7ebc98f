// Package buffer provides a bounded pool of fixed-size buffers, and chains of these buffers that hold message bodies
// and partly received frames. Pools and chains are not safe for concurrent use: all their methods run on the event
// loop.
package buffer

import "errors"

// ErrExhausted is the error of Chain.Append when the pool's maximum number of buffers is in use.
var ErrExhausted = errors.New("buffer pool exhausted")

// Pool lends buffers of one size, up to a maximum number at once.
type Pool struct {
	size  int      // capacity of each buffer, in bytes
	limit int      // maximum number of buffers in use at once
	inUse int      // buffers that are lent now
	free  [][]byte // released buffers that are kept for reuse
}

// freeListDivisor is the divisor of the pool's limit that gives the maximum number of released buffers kept for reuse.
const freeListDivisor = 4

// NewPool returns a pool that lends at most limit buffers at once, of size bytes each.
func NewPool(size, limit int) *Pool { return &Pool{size: size, limit: limit} }

// InUse returns the number of buffers that are lent now.
func (p *Pool) InUse() int { return p.inUse }

// acquire returns an empty buffer, or ErrExhausted if limit buffers are in use.
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

// release returns a buffer to the pool. The pool keeps at most a quarter of its limit for reuse and leaves the rest to
// the garbage collector, so that the memory of a burst is freed again.
func (p *Pool) release(buffer []byte) {
	p.inUse--
	if len(p.free) < p.limit/freeListDivisor {
		p.free = append(p.free, buffer[:0])
	}
}
