package rules

import (
	"testing"
	"time"
)

// A refusal that says nothing of a wait brings the client back at once, into the same jam.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		allowed     bool
		longest     time.Duration
		least, most time.Duration
	}{
		"allowed":     {true, 500 * ms, 50 * ms, 100 * ms},
		"cut short":   {true, 20 * ms, 20 * ms, 20 * ms},
		"not allowed": {false, 500 * ms, 0, 0},
	} {
		w := simpleWorld(t, func(s *Settings) {
			s.Ceilings.RetryAfter, s.Ceilings.MaxRetryAfter = c.allowed, c.longest
		})
		w.list(Full) // nobody is left to ask
		w.read(1, 7, 0)
		w.run(w.now + 4*time.Second)
		got := -1 * ms
		for _, a := range w.acts {
			if r, ok := a.(Refuse); ok {
				got = r.RetryAfter
			}
		}
		if got < c.least || got > c.most {
			t.Errorf("%s: told to stay away %v, want %v to %v", name, got, c.least, c.most)
		}
	}
}

// A request that is bound to be given up must not be held on: its answer is owed at once.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, siteSettings(), seed)
		w.list(Cached, siteMembers(4)...)
		w.list(Full)
		o := w.read(1, 7, 0)
		limit := w.s.Services[0].Aim/2 + holdFor
		w.run(w.now + limit)
		if !o.ended {
			t.Fatalf("seed %d: still held %v after it came", seed, limit)
		}
	}
}
