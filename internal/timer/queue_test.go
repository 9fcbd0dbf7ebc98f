package timer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Timers must run in the order of their deadlines, and in the order of their scheduling if the deadlines are equal.
// Rescheduled and cancelled timers must not run at their previous deadlines, and a timer that a callback schedules must
// wait for the next RunDue.
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
		t.Errorf("NextDeadline() = %v, %v, want 30, true", next, ok)
	}
	queue.RunDue(50)
	// "set while running" has an earlier deadline than "moved", and the last call of RunDue runs both.
	if diff := cmp.Diff([]string{"first", "second", "third", "set while running", "moved"}, got); diff != "" {
		t.Error(diff)
	}
	if _, ok := queue.NextDeadline(); ok {
		t.Error("the queue has timers left, want none")
	}
}
