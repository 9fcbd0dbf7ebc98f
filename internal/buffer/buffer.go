// Package buffer provides bounded pools of fixed-size buffers, and chains of these buffers that hold message bodies and
// partly received frames. Pools and chains are not safe for concurrent use: all their methods run on the event loop.
package buffer

import "errors"

// ErrExhausted is the error of Chain.Append when the pool can lend no further buffer.
var ErrExhausted = errors.New("buffer pool exhausted")

// Group is the memory that several pools share. Each pool has a number of buffers reserved, which no other pool can
// take; the rest goes to whichever pool asks first.
type Group struct {
	size  int // capacity of each buffer, in bytes
	limit int // maximum number of buffers in use at once, in all pools
	pools []*Pool
	free  [][]byte // released buffers that are kept for reuse
}

// NewGroup returns a group without pools, which lend at most limit buffers at once, of size bytes each.
func NewGroup(size, limit int) *Group { return &Group{size: size, limit: limit} }

// NewPool adds a pool that lends at most limit buffers at once. The sum of the numbers reserved in a group must not
// exceed the group's limit.
func (g *Group) NewPool(reserved, limit int) *Pool {
	pool := &Pool{group: g, reserved: reserved, limit: limit}
	g.pools = append(g.pools, pool)
	return pool
}

// freeFor returns the number of buffers that the group can still lend to a pool.
func (g *Group) freeFor(pool *Pool) int {
	free := g.limit
	for _, other := range g.pools {
		if other == pool {
			free -= other.inUse
			continue
		}
		free -= max(other.inUse, other.reserved)
	}
	return free
}

// Pool lends buffers of one size, up to a maximum number at once.
type Pool struct {
	group    *Group
	reserved int // buffers that no other pool of the group can take
	limit    int // maximum number of buffers in use at once
	inUse    int // buffers that are lent now
}

// freeListDivisor is the divisor of a group's limit that gives the maximum number of released buffers kept for reuse.
const freeListDivisor = 4

// NewPool returns a pool that shares its memory with no other and lends at most limit buffers at once, of size bytes
// each.
func NewPool(size, limit int) *Pool { return NewGroup(size, limit).NewPool(limit, limit) }

// Limit returns the number of buffers that are lent at most.
func (p *Pool) Limit() int { return p.limit }

// Free returns the number of buffers that can still be lent.
func (p *Pool) Free() int { return min(p.limit-p.inUse, p.group.freeFor(p)) }

// BuffersFor returns the number of buffers that hold size bytes.
func (p *Pool) BuffersFor(size int) int { return (size + p.group.size - 1) / p.group.size }

// InUse returns the number of buffers that are lent now.
func (p *Pool) InUse() int { return p.inUse }

// acquire returns an empty buffer, or ErrExhausted if none can be lent.
func (p *Pool) acquire() ([]byte, error) {
	if p.Free() <= 0 {
		return nil, ErrExhausted
	}
	p.inUse++
	group := p.group
	last := len(group.free) - 1
	if last < 0 {
		return make([]byte, 0, group.size), nil
	}
	free := group.free[last]
	group.free = group.free[:last]
	return free, nil
}

// release returns a buffer to the pool. The group keeps at most a quarter of its limit for reuse and leaves the rest to
// the garbage collector, so that the memory of a burst is freed again.
func (p *Pool) release(buffer []byte) {
	p.inUse--
	group := p.group
	if len(group.free) < group.limit/freeListDivisor {
		group.free = append(group.free, buffer[:0])
	}
}
