// Package buffer lends buffers of one size from a bounded pool and strings them into chains for bodies.
// It is not safe for concurrent use: the event loop owns it.
package buffer

import "errors"

// ErrExhausted tells that the pool has lent all that its limit allows.
var ErrExhausted = errors.New("buffer pool exhausted")

// Pool lends buffers of one size.
type Pool struct {
	size, limit int
	inUse       int
	free        [][]byte
}

// NewPool returns a pool of at most most buffers of size bytes.
func NewPool(size, most int) *Pool { return &Pool{size: size, limit: most} }

// InUse is the number of buffers out.
func (p *Pool) InUse() int { return p.inUse }

func (p *Pool) acquire() ([]byte, error) {
	if p.inUse >= p.limit {
		return nil, ErrExhausted
	}
	p.inUse++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b, nil
	}
	return make([]byte, 0, p.size), nil
}

// release takes a buffer back. What is beyond a quarter of the limit goes to the garbage collector, so that a
// burst does not pin its memory for good.
func (p *Pool) release(b []byte) {
	p.inUse--
	if len(p.free) < p.limit/4 {
		p.free = append(p.free, b[:0])
	}
}

// Chain is a string of buffers with one owner. Its zero value is empty and can't be written to.
type Chain struct {
	pool    *Pool
	buffers [][]byte
	length  int
}

// NewChain returns an empty chain on the pool.
func (p *Pool) NewChain() Chain { return Chain{pool: p} }

// Len is the number of bytes held.
func (c *Chain) Len() int { return c.length }

// Append adds a copy of b. After ErrExhausted a part may have been added; the chain can only be released.
func (c *Chain) Append(b []byte) error {
	for len(b) > 0 {
		last := len(c.buffers) - 1
		if last < 0 || len(c.buffers[last]) == cap(c.buffers[last]) {
			nb, err := c.pool.acquire()
			if err != nil {
				return err
			}
			c.buffers = append(c.buffers, nb)
			last++
		}
		buf := c.buffers[last]
		k := min(len(b), cap(buf)-len(buf))
		c.buffers[last] = append(buf, b[:k]...)
		c.length += k
		b = b[k:]
	}
	return nil
}

// Segments appends the chain's pieces to dst; they are valid until Release.
func (c *Chain) Segments(dst [][]byte) [][]byte { return append(dst, c.buffers...) }

// Release gives the buffers back and leaves the chain empty.
func (c *Chain) Release() {
	for _, b := range c.buffers {
		c.pool.release(b)
	}
	c.buffers, c.length = nil, 0
}
