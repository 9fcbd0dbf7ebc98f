package buffer

// Chain is a byte sequence in buffers of a Pool, with one owner. The zero value is an empty chain without a pool: it
// can be read and released, but Append panics.
type Chain struct {
	pool    *Pool
	buffers [][]byte
	length  int
}

// NewChain returns an empty chain that acquires its buffers from the pool.
func (p *Pool) NewChain() Chain { return Chain{pool: p} }

// Len returns the number of bytes in the chain.
func (c *Chain) Len() int { return c.length }

// Buffers returns the number of buffers that the chain holds.
func (c *Chain) Buffers() int { return len(c.buffers) }

// Append copies data to the end of the chain. It returns ErrExhausted if the pool has no buffer left. The chain then
// remains valid, but holds only the first part of data, which fitted into the available buffers. The difference of Len
// before and after the call is the size of that part. A caller that cannot use a part of data must call Release.
func (c *Chain) Append(data []byte) error {
	for len(data) > 0 {
		last := len(c.buffers) - 1
		if last < 0 || len(c.buffers[last]) == cap(c.buffers[last]) {
			empty, err := c.pool.acquire()
			if err != nil {
				return err
			}
			c.buffers = append(c.buffers, empty)
			last++
		}
		buffer := c.buffers[last]
		size := min(len(data), cap(buffer)-len(buffer))
		c.buffers[last] = append(buffer, data[:size]...)
		c.length += size
		data = data[size:]
	}
	return nil
}

// Segments appends the chain's buffers to dst in order and returns the result. The buffers are valid until Release.
func (c *Chain) Segments(dst [][]byte) [][]byte { return append(dst, c.buffers...) }

// Release returns all buffers to the pool and leaves the chain empty.
func (c *Chain) Release() {
	for _, buffer := range c.buffers {
		c.pool.release(buffer)
	}
	c.buffers, c.length = nil, 0
}
