package director

import (
	"container/heap"

	"shaleyard/routing"
)

// Agenda is the one ordered structure in which all deadlines hang: those of requests and attempts, the
// router's timers, and those of connections and the feed.
type Agenda struct{ q entries }

// Entry is a deadline in an Agenda. Its zero value is in none.
type Entry struct {
	at    routing.Time
	order uint64
	index int // place in the heap, counted from 1; 0: not in it
	run   func()
}

type entries struct {
	list  []*Entry
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
	e := x.(*Entry)
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
func (e *Entry) Pending() bool { return e.index > 0 }

// Set puts e in at a time, or moves it there; run is called once when that time has come.
func (a *Agenda) Set(e *Entry, at routing.Time, run func()) {
	a.Drop(e)
	a.q.order++
	e.at, e.order, e.run = at, a.q.order, run
	heap.Push(&a.q, e)
}

// At puts a new entry in.
func (a *Agenda) At(at routing.Time, run func()) { a.Set(&Entry{}, at, run) }

// Drop takes e out, if it is in.
func (a *Agenda) Drop(e *Entry) {
	if e.index > 0 {
		heap.Remove(&a.q, e.index-1)
	}
}

// Next is the time of the earliest entry.
func (a *Agenda) Next() (routing.Time, bool) {
	if len(a.q.list) == 0 {
		return 0, false
	}
	return a.q.list[0].at, true
}

// Run runs what is due. What is set meanwhile waits for the next Run, so that a deadline that sets itself
// again for now can't hold the loop.
func (a *Agenda) Run(now routing.Time) {
	last := a.q.order
	for len(a.q.list) > 0 && a.q.list[0].at <= now && a.q.list[0].order <= last {
		heap.Pop(&a.q).(*Entry).run()
	}
}
