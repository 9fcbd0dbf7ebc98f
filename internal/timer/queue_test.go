package timer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestQueueRunsInOrder(t *testing.T) {
	var queue Queue
	var got []string
	record := func(name string) func() { return func() { got = append(got, name) } }
	var moved, cancelled Timer
	queue.ScheduleFunc(20, record("second"))
	queue.ScheduleFunc(10, record("first"))
	queue.ScheduleFunc(20, record("third"))
	queue.Schedule(&moved, 5, record("moved"))
	queue.Schedule(&moved, 40, record("moved"))
	queue.Schedule(&cancelled, 1, record("cancelled"))
	queue.Cancel(&cancelled)
	queue.ScheduleFunc(30, func() { queue.ScheduleFunc(30, record("set while running")) })
	queue.RunDue(30)
	if next, ok := queue.NextDeadline(); !ok || next != 30 {
		t.Errorf("next deadline %v, %v, want 30", next, ok)
	}
	queue.RunDue(50)
	// "set while running" has an earlier deadline than "moved", and both are due in the last run.
	if diff := cmp.Diff([]string{"first", "second", "third", "set while running", "moved"}, got); diff != "" {
		t.Error(diff)
	}
	if _, ok := queue.NextDeadline(); ok {
		t.Error("timers left")
	}
}
