// Package timer implements the timers of an event loop as a binary heap of callbacks ordered by deadline. All
// components that run on the loop share one queue, so that the loop waits for a single next deadline.
//
// Times are readings of the caller's monotonic clock, given as the duration since the clock's origin. Nothing in this
// package is safe for concurrent use.
package timer

import (
	"container/heap"
	"time"
)

// Timer is a callback with the deadline at which a Queue runs it. The zero value is a timer that is not scheduled. A
// Timer must not be copied while it is scheduled.
type Timer struct {
	deadline  time.Duration
	sequence  uint64 // number of the Schedule call, which orders timers with the same deadline
	heapIndex int    // index in the heap, plus one; 0 while the timer is not scheduled
	callback  func()
}

// Pending reports whether the timer is scheduled in a queue.
func (t *Timer) Pending() bool { return t.heapIndex > 0 }

// Queue is a set of timers ordered by deadline. Timers with the same deadline run in the order in which they were
// scheduled. The zero value is an empty queue.
type Queue struct {
	heap         timerHeap
	lastSequence uint64
}

// Schedule schedules a timer: RunDue runs the callback once, at or after the deadline. If the timer is already
// scheduled in this queue, the new deadline and callback replace the previous ones, and the timer runs after all others
// that are already scheduled for the new deadline.
func (q *Queue) Schedule(timer *Timer, deadline time.Duration, callback func()) {
	q.Cancel(timer)
	q.lastSequence++
	timer.deadline = deadline
	timer.sequence = q.lastSequence
	timer.callback = callback
	heap.Push(&q.heap, timer)
}

// ScheduleFunc schedules the callback on a new timer, which can be neither rescheduled nor cancelled.
func (q *Queue) ScheduleFunc(deadline time.Duration, callback func()) {
	q.Schedule(&Timer{}, deadline, callback)
}

// Cancel removes the timer from the queue. It does nothing if the timer is not scheduled.
func (q *Queue) Cancel(timer *Timer) {
	if timer.Pending() {
		heap.Remove(&q.heap, timer.heapIndex-1)
	}
}

// NextDeadline returns the earliest deadline, or false if the queue is empty.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].deadline, true
}

// RunDue removes the timers whose deadlines are not after now, and runs their callbacks in order. It stops at the first
// timer that was scheduled during this call of RunDue, and leaves that timer to the next call. Otherwise, a timer that
// reschedules itself for the same time would block the event loop.
func (q *Queue) RunDue(now time.Duration) {
	last := q.lastSequence
	for len(q.heap) > 0 {
		first := q.heap[0]
		if first.deadline > now || first.sequence > last {
			return
		}
		heap.Pop(&q.heap)
		first.callback()
	}
}
