package director

// Handle names an entry of a Table: a slot and the generation in which it was given out. A handle that has
// been removed finds nothing, also when its slot is in use again.
type Handle uint32

const (
	slotBits = 14
	slotMask = 1<<slotBits - 1
	maxSlots = 1 << slotBits
)

// Table keeps entries in numbered slots with generations.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32
	most  int
	count int
}

type slot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// NewTable returns a table for at most most entries.
func NewTable[T any](most int) *Table[T] { return &Table[T]{most: min(most, maxSlots)} }

// Len is the number of entries.
func (t *Table[T]) Len() int { return t.count }

// Add takes an entry in; false: the table is full.
func (t *Table[T]) Add(v T) (Handle, bool) {
	if t.count >= t.most {
		return 0, false
	}
	var i uint32
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		i = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[i]
	s.generation = (s.generation + 1) & (1<<(32-slotBits) - 1)
	if s.generation == 0 {
		s.generation = 1 // so that no handle is ever 0
	}
	s.used, s.value = true, v
	t.count++
	return Handle(s.generation<<slotBits | i), true
}

func (t *Table[T]) slot(h Handle) *slot[T] {
	i := uint32(h) & slotMask
	if int(i) >= len(t.slots) {
		return nil
	}
	if s := &t.slots[i]; s.used && s.generation == uint32(h)>>slotBits {
		return s
	}
	return nil
}

// Get returns the entry, if the handle still names one.
func (t *Table[T]) Get(h Handle) (v T, ok bool) {
	if s := t.slot(h); s != nil {
		return s.value, true
	}
	return v, false
}

// Remove takes the entry out.
func (t *Table[T]) Remove(h Handle) {
	s := t.slot(h)
	if s == nil {
		return
	}
	var zero T
	s.used, s.value = false, zero
	t.free = append(t.free, uint32(h)&slotMask)
	t.count--
}

// All calls f for each entry until f returns false. f may remove entries.
func (t *Table[T]) All(f func(Handle, T) bool) {
	for i := range t.slots {
		if s := &t.slots[i]; s.used && !f(Handle(s.generation<<slotBits|uint32(i)), s.value) {
			return
		}
	}
}
