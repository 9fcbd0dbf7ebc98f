// Package handle provides tables whose entries are identified by generational handles. Unlike a pointer, a handle fits
// in 32 bits, and other components can keep a handle after its entry has been removed: a lookup of the handle then
// fails, even if the entry's slot has been reused.
//
// Nothing in this package is safe for concurrent use.
package handle

// Handle identifies an entry of a Table. The low 14 bits are the index of the entry's slot, and the high 18 bits are
// the slot's generation when the entry was added. No handle is 0. A slot has 2^18-1 generations: the handle of a
// removed entry can find another entry only after the slot has been reused for all of them.
type Handle uint32

const (
	slotBits       = 14
	slotMask       = 1<<slotBits - 1
	generationMask = 1<<(32-slotBits) - 1
)

// MaxEntries is the maximum number of entries that a Table can hold.
const MaxEntries = 1 << slotBits

// Table is a set of entries, each identified by its own handle.
type Table[T any] struct {
	slots     []tableSlot[T]
	freeSlots []uint32 // indices of the slots that are not in use; the last one is reused first
	capacity  int
	count     int
}

type tableSlot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// NewTable returns an empty table that can hold up to capacity entries, at most MaxEntries.
func NewTable[T any](capacity int) *Table[T] {
	return &Table[T]{capacity: min(capacity, MaxEntries)}
}

// Len returns the number of entries.
func (t *Table[T]) Len() int { return t.count }

// Add adds an entry and returns its handle, or false if the table is full.
func (t *Table[T]) Add(value T) (Handle, bool) {
	if t.count >= t.capacity {
		return 0, false
	}
	index := t.allocateSlot()
	slot := &t.slots[index]
	slot.generation = (slot.generation + 1) & generationMask
	if slot.generation == 0 {
		slot.generation = 1 // generation 0 is not used, so that no handle is 0
	}
	slot.used = true
	slot.value = value
	t.count++
	return newHandle(index, slot.generation), true
}

// allocateSlot returns the index of a slot that is not in use. It reuses a freed slot if there is one, and appends a
// slot otherwise.
func (t *Table[T]) allocateSlot() uint32 {
	if free := len(t.freeSlots); free > 0 {
		index := t.freeSlots[free-1]
		t.freeSlots = t.freeSlots[:free-1]
		return index
	}
	t.slots = append(t.slots, tableSlot[T]{})
	return uint32(len(t.slots) - 1)
}

// Get returns the entry that the handle identifies, or false if there is none or the entry has been removed.
func (t *Table[T]) Get(handle Handle) (value T, ok bool) {
	if slot := t.find(handle); slot != nil {
		return slot.value, true
	}
	return value, false
}

// Remove removes the entry that the handle identifies. It does nothing if there is none or the entry has been removed.
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

// All is an iterator, for a range statement, over the handles and entries of the table in the order of their slots.
// Entries may be removed during the iteration.
func (t *Table[T]) All(yield func(Handle, T) bool) {
	for i := range t.slots {
		slot := &t.slots[i]
		if slot.used && !yield(newHandle(uint32(i), slot.generation), slot.value) {
			return
		}
	}
}

// find returns the slot of the entry that the handle identifies, or nil if there is none or the entry has been removed.
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
