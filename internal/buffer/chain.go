package buffer

// Chain is a sequence of buffers with one owner. Its zero value is empty and can't be written to.
type Chain struct {
	pool    *Pool
	buffers [][]byte
	length  int
}

// NewChain returns an empty chain on the pool.
func (p *Pool) NewChain() Chain { return Chain{pool: p} }

// Len is the number of bytes held.
func (c *Chain) Len() int { return c.length }

// Append adds a copy of data. After ErrExhausted a part may have been added; the chain can only be released.
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

// Segments appends the chain's buffers to dst; they are valid until Release.
func (c *Chain) Segments(dst [][]byte) [][]byte { return append(dst, c.buffers...) }

// Release gives the buffers back and leaves the chain empty.
func (c *Chain) Release() {
	for _, buffer := range c.buffers {
		c.pool.release(buffer)
	}
	c.buffers, c.length = nil, 0
}
