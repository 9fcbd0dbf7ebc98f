package routing

import "testing"

// Connects that fail for our own want say nothing of the servers: none is ejected, no limit comes down, what never ran is
// refused in the end, and all is served at once when the want is over.
func TestOwnShortagesEjectNobody(t *testing.T) {
	for _, short := range []Result{LocalResourcesExhausted, Unreachable} {
		w := simpleWorld(t, nil)
		before := w.r.caches[0].to.limit
		for id := range uint32(20) {
			w.r.Handle(w.now, Request{ID: id, Class: 3 * int(id%2), Object: uint64(id), Deadline: w.now + 4000*ms})
			for _, a := range w.r.reqs[id].tries { // the first; further ones stay out
				for _, act := range w.r.Handle(w.now, Outcome{ID: id, Host: a.target.Host, Result: short}) {
					if _, failed := act.(Fail); failed {
						t.Errorf("%v: what never ran has failed", short)
					}
				}
			}
		}
		for _, s := range w.r.order {
			if s.ejected || s.pace != 0 {
				t.Errorf("%v: %x ejected %v, pace %v", short, uint64(s.Host), s.ejected, s.pace)
			}
		}
		if w.r.caches[0].to.limit != before {
			t.Errorf("%v: a limit has changed", short)
		}
	}
}
