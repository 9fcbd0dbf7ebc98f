package handle

import "testing"

// A handle from before its slot was used again must find nothing, or a late answer would end another attempt.
func TestOldHandleFindsNothing(t *testing.T) {
	table := NewTable[string](2)
	first, _ := table.Add("a")
	table.Remove(first)
	second, _ := table.Add("b")
	if value, ok := table.Get(first); ok {
		t.Errorf("removed handle finds %q", value)
	}
	table.Remove(first)
	if value, ok := table.Get(second); !ok || value != "b" {
		t.Errorf("handle finds %q, %v", value, ok)
	}
	table.Add("c")
	if _, ok := table.Add("d"); ok {
		t.Error("a full table took an entry")
	}
}

func TestGenerationsWrapWithoutZero(t *testing.T) {
	table := NewTable[int](1)
	for range generationMask + 4 {
		h, ok := table.Add(1)
		if !ok || h == 0 {
			t.Fatalf("handle %d, %v", h, ok)
		}
		table.Remove(h)
	}
}
