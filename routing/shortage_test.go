package routing

import "testing"

// Connects that fail for our own want say nothing of the servers: none is ejected, no limit comes down, what never ran is
// refused in the end, and all is served at once when the want is over.
func TestOwnShortagesEjectNobody(t *testing.T) {
	for _, short := range []Result{LocalResourcesExhausted, Unreachable} {
		w := newSimpleEnv(t, nil)
		before := w.router.localCaches[0].asTarget.concurrencyLimit
		for id := range uint32(20) {
			w.router.Handle(w.now, Request{ID: id, Class: 3 * int(id%2), Object: uint64(id), Deadline: w.now + 4000*ms})
			for _, a := range w.router.requests[id].attempts { // the first; further ones stay out
				for _, act := range w.router.Handle(w.now, Outcome{ID: id, Host: a.target.Host, Result: short}) {
					if _, failed := act.(Fail); failed {
						t.Errorf("%v: what never ran has failed", short)
					}
				}
			}
		}
		for _, s := range w.router.orderedServers {
			if s.ejected || s.logLatencyRatio != 0 {
				t.Errorf("%v: %x ejected %v, pace %v", short, uint64(s.Host), s.ejected, s.logLatencyRatio)
			}
		}
		if w.router.localCaches[0].asTarget.concurrencyLimit != before {
			t.Errorf("%v: a limit has changed", short)
		}
	}
}
