package director

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A handle from before its slot was given out anew must find nothing, or a late answer would end another's
// attempt.
func TestOldHandleFindsNothing(t *testing.T) {
	tab := NewTable[string](2)
	a, _ := tab.Add("a")
	tab.Remove(a)
	b, _ := tab.Add("b")
	if v, ok := tab.Get(a); ok {
		t.Errorf("removed handle finds %q", v)
	}
	tab.Remove(a)
	if v, ok := tab.Get(b); !ok || v != "b" {
		t.Errorf("handle finds %q, %v", v, ok)
	}
	tab.Add("c")
	if _, ok := tab.Add("d"); ok {
		t.Error("a full table took an entry")
	}
}

func TestGenerationsWrapWithoutZero(t *testing.T) {
	tab := NewTable[int](1)
	for range 1<<(32-slotBits) + 3 {
		h, ok := tab.Add(1)
		if !ok || h == 0 {
			t.Fatalf("handle %d, %v", h, ok)
		}
		tab.Remove(h)
	}
}

func TestAgendaRunsInOrder(t *testing.T) {
	var a Queue
	var got []string
	add := func(s string) func() { return func() { got = append(got, s) } }
	var moved, dropped Timer
	a.ScheduleFunc(20, add("second"))
	a.ScheduleFunc(10, add("first"))
	a.ScheduleFunc(20, add("third"))
	a.Schedule(&moved, 5, add("moved"))
	a.Schedule(&moved, 40, add("moved"))
	a.Schedule(&dropped, 1, add("dropped"))
	a.Cancel(&dropped)
	a.ScheduleFunc(30, func() { a.ScheduleFunc(30, add("set while running")) })
	a.RunDue(30)
	if next, ok := a.NextDeadline(); !ok || next != 30 {
		t.Errorf("next at %v, %v, want 30", next, ok)
	}
	a.RunDue(50)
	if d := cmp.Diff([]string{"first", "second", "third", "set while running", "moved"}, got); d != "" {
		// "set while running" is earlier than "moved" and both are due in the last run
		t.Error(d)
	}
	if _, ok := a.NextDeadline(); ok {
		t.Error("entries left")
	}
}
