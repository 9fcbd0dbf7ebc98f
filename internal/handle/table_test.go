package handle

import "testing"

// The handle of a removed entry must not find the entry that reuses the slot. Otherwise, a late response to an attempt
// that has ended would end another attempt.
func TestStaleHandleIsNotFound(t *testing.T) {
	table := NewTable[string](2)
	first, _ := table.Add("a")
	table.Remove(first)
	second, _ := table.Add("b")
	if value, ok := table.Get(first); ok {
		t.Errorf("Get of a removed entry's handle = %q, want none", value)
	}
	table.Remove(first)
	if value, ok := table.Get(second); !ok || value != "b" {
		t.Errorf("Get = %q, %v, want \"b\", true", value, ok)
	}
	table.Add("c")
	if _, ok := table.Add("d"); ok {
		t.Error("Add succeeded on a full table")
	}
}

// The generation of a slot must wrap around to 1, not to 0. Otherwise, a handle for slot 0 could be 0, which is not a
// valid handle.
func TestGenerationsWrapWithoutZero(t *testing.T) {
	table := NewTable[int](1)
	for range generationMask + 4 {
		h, ok := table.Add(1)
		if !ok || h == 0 {
			t.Fatalf("Add = %d, %v, want a handle that is not 0, true", h, ok)
		}
		table.Remove(h)
	}
}
