package director

import (
	"container/heap"

	"shaleyard/routing"
)

// Queue is the one ordered structure in which all deadlines hang: those of requests and attempts, the
// router's timers, and those of connections and the feed.
type Queue struct{ q entries }

// Timer is a deadline in an Agenda. Its zero value is in none.
type Timer struct {
	at    routing.Time
	order uint64
	index int // place in the heap, counted from 1; 0: not in it
	run   func()
}

type entries struct {
	list  []*Timer
	order uint64
}

func (q *entries) Len() int { return len(q.list) }
func (q *entries) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	return a.at < b.at || (a.at == b.at && a.order < b.order)
}
func (q *entries) Swap(i, j int) {
	q.list[i], q.list[j] = q.list[j], q.list[i]
	q.list[i].index, q.list[j].index = i+1, j+1
}
func (q *entries) Push(x any) {
	e := x.(*Timer)
	q.list = append(q.list, e)
	e.index = len(q.list)
}
func (q *entries) Pop() any {
	n := len(q.list) - 1
	e := q.list[n]
	q.list[n] = nil
	q.list = q.list[:n]
	e.index = 0
	return e
}

// Pending tells whether e is in an Agenda.
func (e *Timer) Pending() bool { return e.index > 0 }

// Schedule puts e in at a time, or moves it there; run is called once when that time has come.
func (a *Queue) Schedule(e *Timer, at routing.Time, run func()) {
	a.Cancel(e)
	a.q.order++
	e.at, e.order, e.run = at, a.q.order, run
	heap.Push(&a.q, e)
}

// ScheduleFunc puts a new entry in.
func (a *Queue) ScheduleFunc(at routing.Time, run func()) { a.Schedule(&Timer{}, at, run) }

// Cancel takes e out, if it is in.
func (a *Queue) Cancel(e *Timer) {
	if e.index > 0 {
		heap.Remove(&a.q, e.index-1)
	}
}

// NextDeadline is the time of the earliest entry.
func (a *Queue) NextDeadline() (routing.Time, bool) {
	if len(a.q.list) == 0 {
		return 0, false
	}
	return a.q.list[0].at, true
}

// RunDue runs what is due. What is set meanwhile waits for the next RunDue, so that a deadline that sets itself
// again for now can't hold the loop.
func (a *Queue) RunDue(now routing.Time) {
	last := a.q.order
	for len(a.q.list) > 0 && a.q.list[0].at <= now && a.q.list[0].order <= last {
		heap.Pop(&a.q).(*Timer).run()
	}
}
