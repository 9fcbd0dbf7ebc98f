package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"shaleyard/routing"
)

var testTimeouts = Timeouts{DrainNoticePeriod: 500 * time.Millisecond, DrainGracePeriod: 1500 * time.Millisecond, DrainDeadline: 3200 * time.Millisecond,
	StopGracePeriod: 700 * time.Millisecond, StopDeadline: 3650 * time.Millisecond}

// event is one thing that can happen to a process.
type event struct {
	name  string
	apply func(m *Machine, now routing.Time)
}

// advance lets time pass while the process holds so much.
func advance(held int) func(m *Machine, now routing.Time) {
	return func(m *Machine, now routing.Time) { m.Advance(now, held) }
}

// Every order of events, up to six of them with any of three times between, keeps what must hold in each state.
func TestEveryOrderOfEvents(t *testing.T) {
	events := []event{
		{"list reached", (*Machine).DiscoveryReady},
		{"drain", (*Machine).Drain},
		{"taken back", func(m *Machine, now routing.Time) { m.CancelDrain(now) }},
		{"stop", func(m *Machine, now routing.Time) { m.Stop(now) }},
		{"time passes, busy", advance(1)},
		{"time passes, empty", advance(0)},
	}
	for _, shared := range []bool{false, true} {
		for _, step := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second} {
			explore(t, events, shared, step, nil, 6)
		}
	}
}

// explore plays a sequence and all that begin with it.
func explore(t *testing.T, events []event, shared bool, step time.Duration, sequence []event, depth int) {
	replay(t, shared, step, sequence)
	if depth == 0 {
		return
	}
	for _, e := range events {
		explore(t, events, shared, step, append(sequence[:len(sequence):len(sequence)], e), depth-1)
	}
}

// model is what has been asked of a process, apart from the states.
type model struct {
	discoveryReady, draining, stopping bool
	requestedAt                        routing.Time
}

func (w *model) apply(name string, now routing.Time) {
	switch name {
	case "list reached":
		w.discoveryReady = true
	case "drain":
		if !w.draining && !w.stopping {
			w.draining, w.requestedAt = true, now
		}
	case "taken back":
		w.draining = w.draining && w.stopping
	case "stop":
		if !w.stopping {
			w.stopping, w.requestedAt = true, now
		}
	}
}

func replay(t *testing.T, shared bool, step time.Duration, sequence []event) {
	t.Helper()
	m, w := New(testTimeouts, shared), model{}
	last, now := Starting, routing.Time(0)
	var story string
	m.OnTransition = func(c Transition) {
		if c.From != last || c.To == c.From || (c.From >= Stopping && c.To < c.From) {
			t.Fatalf("%s: %v to %v behind %v", story, c.From, c.To, last)
		}
		last = c.To
	}
	for _, e := range sequence {
		now += step
		story += fmt.Sprintf("%v %s; ", now, e.name)
		e.apply(m, now)
		w.apply(e.name, now)
		checkPolicy(t, story, m, w, now, shared)
	}
}

// checkPolicy holds the policy against what has been asked of the process.
func checkPolicy(t *testing.T, story string, m *Machine, w model, now routing.Time, shared bool) {
	t.Helper()
	p, state, past := m.Policy(now), m.State(), now-w.requestedAt
	switch {
	case p.Ready != (w.discoveryReady && !w.draining && !w.stopping):
		t.Fatalf("%s: ready %v in state %v", story, p.Ready, state)
	case p.Ready && !(p.AcceptRequests && p.KeepIdleConnections && p.AcceptConnections):
		t.Fatalf("%s: ready, but %+v", story, p)
	case w.stopping != (state >= Stopping):
		t.Fatalf("%s: state %v", story, state)
	case w.draining && !w.stopping && past >= testTimeouts.DrainNoticePeriod && p.KeepIdleConnections:
		t.Fatalf("%s: resting clients are kept", story)
	case w.draining && !w.stopping && past >= testTimeouts.DrainGracePeriod && p.AcceptRequests:
		t.Fatalf("%s: work is taken", story)
	case !shared && state != Ended && !p.AcceptConnections:
		t.Fatalf("%s: nobody accepts on a listener that is ours alone", story)
	case shared && !w.discoveryReady && p.AcceptConnections:
		t.Fatalf("%s: accepts on a shared listener without the list of servers", story)
	case shared && w.stopping && p.AcceptConnections:
		t.Fatalf("%s: what comes on a shared listener is taken from who stays", story)
	case state == Ended && past < testTimeouts.StopGracePeriod:
		t.Fatalf("%s: ended while work may come", story)
	}
}

// A stop that nothing holds up ends behind the time for work; one that is held up ends at its last time.
func TestStopEnds(t *testing.T) {
	for _, held := range []int{0, 1} {
		m := New(testTimeouts, false)
		m.Stop(0)
		var at routing.Time
		for m.Advance(at, held) != Ended {
			at += 5 * time.Millisecond
		}
		want := map[int]routing.Time{0: testTimeouts.StopGracePeriod + 5*time.Millisecond, 1: testTimeouts.StopDeadline}[held]
		if at != want {
			t.Errorf("%d held: ended at %v, want %v", held, at, want)
		}
	}
}
