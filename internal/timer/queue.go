// Package timer holds the timers of an event loop: a binary heap of callbacks ordered by their deadlines. One queue
// serves all parts that run on the loop, so that the loop has a single next deadline to wait for.
//
// Times are readings of the caller's monotonic clock, given as the duration since its origin. Nothing here is safe for
// concurrent use.
package timer

import (
	"container/heap"
	"time"
)

// Timer is one deadline in a Queue, with the callback that runs when it has come. The zero value is a timer that is not
// scheduled. A Timer must not be copied while it is scheduled.
type Timer struct {
	deadline  time.Duration
	sequence  uint64 // number of the Schedule call, which orders timers with the same deadline
	heapIndex int    // index in the heap, plus one; 0 while the timer is not scheduled
	callback  func()
}

// Pending tells whether the timer is scheduled in a queue.
func (t *Timer) Pending() bool { return t.heapIndex > 0 }

// Queue is a set of timers ordered by deadline; timers with the same deadline run in the order in which they were
// scheduled. Its zero value is an empty queue.
type Queue struct {
	heap         timerHeap
	lastSequence uint64
}

// Schedule has the callback run once, by RunDue, when the deadline has come. A timer that is already scheduled in this
// queue is moved: it loses its former deadline, callback, and place among equal deadlines.
func (q *Queue) Schedule(timer *Timer, deadline time.Duration, callback func()) {
	q.Cancel(timer)
	q.lastSequence++
	timer.deadline = deadline
	timer.sequence = q.lastSequence
	timer.callback = callback
	heap.Push(&q.heap, timer)
}

// ScheduleFunc schedules the callback on a new timer, which can be neither moved nor cancelled.
func (q *Queue) ScheduleFunc(deadline time.Duration, callback func()) {
	q.Schedule(&Timer{}, deadline, callback)
}

// Cancel removes the timer from the queue. A timer that is not scheduled stays so.
func (q *Queue) Cancel(timer *Timer) {
	if timer.Pending() {
		heap.Remove(&q.heap, timer.heapIndex-1)
	}
}

// NextDeadline returns the earliest deadline; false if the queue is empty.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].deadline, true
}

// RunDue removes the timers whose deadlines are not after now, and runs their callbacks in order. It stops at the first
// timer that one of these callbacks has scheduled, which waits for the next RunDue: a timer that reschedules itself for
// the same moment can't keep the event loop from its other work.
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
