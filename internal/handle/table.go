// Package handle holds tables whose entries are referred to by generational handles. Unlike a pointer, a handle fits in
// 32 bits, can be passed to other parts and come back late, and finds nothing once its entry has been removed, even if
// the entry's slot is in use again.
//
// Nothing here is safe for concurrent use.
package handle

// Handle refers to an entry of a Table: the low bits are the index of its slot, the others the slot's generation at the
// time the entry was added. No handle is 0. A handle could find another entry only after its slot has been used again
// for every other generation, 2^18-1 in all.
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
	slots     []tableSlot[T]
	freeSlots []uint32 // indices of the slots that are not in use; the last one is used next
	capacity  int
	count     int
}

type tableSlot[T any] struct {
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
	slot := &t.slots[index]
	slot.generation = (slot.generation + 1) & generationMask
	if slot.generation == 0 {
		slot.generation = 1 // so that no handle is ever 0
	}
	slot.used = true
	slot.value = value
	t.count++
	return newHandle(index, slot.generation), true
}

// takeSlot returns the index of a slot that is not in use: one that was freed, else a new one.
func (t *Table[T]) takeSlot() uint32 {
	if free := len(t.freeSlots); free > 0 {
		index := t.freeSlots[free-1]
		t.freeSlots = t.freeSlots[:free-1]
		return index
	}
	t.slots = append(t.slots, tableSlot[T]{})
	return uint32(len(t.slots) - 1)
}

// Get returns the entry; false if the handle does not refer to one, or no longer.
func (t *Table[T]) Get(handle Handle) (value T, ok bool) {
	if slot := t.find(handle); slot != nil {
		return slot.value, true
	}
	return value, false
}

// Remove removes the entry, if the handle still refers to one.
func (t *Table[T]) Remove(handle Handle) {
	slot := t.find(handle)
	if slot == nil {
		return
	}
	var zero T
	slot.used = false
	slot.value = zero
	t.freeSlots = append(t.freeSlots, handle.index())
	t.count--
}

// All calls yield for each entry, in the order of slots, until yield returns false; a for loop can range over it. The
// entries may be removed meanwhile.
func (t *Table[T]) All(yield func(Handle, T) bool) {
	for i := range t.slots {
		slot := &t.slots[i]
		if slot.used && !yield(newHandle(uint32(i), slot.generation), slot.value) {
			return
		}
	}
}

// find returns the slot of the entry; nil if the handle does not refer to one.
func (t *Table[T]) find(handle Handle) *tableSlot[T] {
	index := handle.index()
	if int(index) >= len(t.slots) {
		return nil
	}
	slot := &t.slots[index]
	if !slot.used || slot.generation != handle.generation() {
		return nil
	}
	return slot
}

func newHandle(index, generation uint32) Handle { return Handle(generation<<slotBits | index) }

func (h Handle) index() uint32 { return uint32(h) & slotMask }

func (h Handle) generation() uint32 { return uint32(h) >> slotBits }
