// Package handle holds tables whose entries are referred to by generational handles. Unlike a pointer, a handle fits in 32 bits,
// can be passed to other parts and come back late, and finds nothing once its entry has been removed, even if the entry's
// slot is in use again.
//
// Nothing here is safe for concurrent use.
package handle

// Handle refers to an entry of a Table: the low bits are the index of its slot, the others the slot's generation at the time
// the entry was added. No handle is 0. A handle could find another entry only after its slot has been used again for
// every other generation, 2^18-1 in all.
type Handle uint32

const (
	slotBits       = 14
	slotMask       = 1<<slotBits - 1
	generationMask = 1<<(32-slotBits) - 1
)

// MaxEntries is the largest number of entries that a Table can hold.
const MaxEntries = 1 << slotBits

// Table is a set of entries, each under a handle of its own.
type Table[T any] struct {
	slots     []slot[T]
	freeSlots []uint32 // indices of the slots that are not in use; the last one is used next
	capacity  int
	count     int
}

type slot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// NewTable returns an empty table for at most capacity entries, and never for more than MaxEntries.
func NewTable[T any](capacity int) *Table[T] {
	return &Table[T]{capacity: min(capacity, MaxEntries)}
}

// Len returns the number of entries.
func (t *Table[T]) Len() int { return t.count }

// Add adds an entry and returns its handle; false if the table is full.
func (t *Table[T]) Add(value T) (Handle, bool) {
	if t.count >= t.capacity {
		return 0, false
	}
	index := t.takeSlot()
	s := &t.slots[index]
	s.generation = (s.generation + 1) & generationMask
	if s.generation == 0 {
		s.generation = 1 // so that no handle is ever 0
	}
	s.used = true
	s.value = value
	t.count++
	return newHandle(index, s.generation), true
}

// takeSlot returns the index of a slot that is not in use: one that was freed, else a new one.
func (t *Table[T]) takeSlot() uint32 {
	if n := len(t.freeSlots); n > 0 {
		index := t.freeSlots[n-1]
		t.freeSlots = t.freeSlots[:n-1]
		return index
	}
	t.slots = append(t.slots, slot[T]{})
	return uint32(len(t.slots) - 1)
}

// Get returns the entry; false if the handle does not refer to one, or no longer.
func (t *Table[T]) Get(h Handle) (value T, ok bool) {
	if s := t.find(h); s != nil {
		return s.value, true
	}
	return value, false
}

// Remove removes the entry, if the handle still refers to one.
func (t *Table[T]) Remove(h Handle) {
	s := t.find(h)
	if s == nil {
		return
	}
	var zero T
	s.used = false
	s.value = zero
	t.freeSlots = append(t.freeSlots, h.index())
	t.count--
}

// All calls yield for each entry, in the order of slots, until yield returns false; a for loop can range over it. The
// entries may be removed meanwhile.
func (t *Table[T]) All(yield func(Handle, T) bool) {
	for i := range t.slots {
		s := &t.slots[i]
		if s.used && !yield(newHandle(uint32(i), s.generation), s.value) {
			return
		}
	}
}

// find returns the slot of the entry; nil if the handle does not refer to one.
func (t *Table[T]) find(h Handle) *slot[T] {
	index := h.index()
	if int(index) >= len(t.slots) {
		return nil
	}
	s := &t.slots[index]
	if !s.used || s.generation != h.generation() {
		return nil
	}
	return s
}

func newHandle(index, generation uint32) Handle { return Handle(generation<<slotBits | index) }

func (h Handle) index() uint32 { return uint32(h) & slotMask }

func (h Handle) generation() uint32 { return uint32(h) >> slotBits }
