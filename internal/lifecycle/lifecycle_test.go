package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"shaleyard/routing"
)

var spans = Timeouts{DrainNoticePeriod: 500 * time.Millisecond, DrainGracePeriod: 1500 * time.Millisecond, DrainDeadline: 3200 * time.Millisecond,
	StopGracePeriod: 700 * time.Millisecond, StopDeadline: 3650 * time.Millisecond}

// event is one thing that can happen to a process.
type event struct {
	name string
	do   func(m *Machine, now routing.Time)
}

// held says how much the process holds while time passes.
func passes(held int) func(m *Machine, now routing.Time) {
	return func(m *Machine, now routing.Time) { m.Advance(now, held) }
}

// Every order of events, up to six of them with any of three times between, keeps what must hold in each state.
func TestEveryOrderOfEvents(t *testing.T) {
	events := []event{
		{"list reached", (*Machine).DiscoveryReady},
		{"drain", (*Machine).Drain},
		{"taken back", func(m *Machine, now routing.Time) { m.CancelDrain(now) }},
		{"stop", func(m *Machine, now routing.Time) { m.Stop(now) }},
		{"time passes, busy", passes(1)},
		{"time passes, empty", passes(0)},
	}
	for _, shared := range []bool{false, true} {
		for _, step := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second} {
			explore(t, events, shared, step, nil, 6)
		}
	}
}

// explore plays a sequence and all that begin with it.
func explore(t *testing.T, events []event, shared bool, step time.Duration, sequence []event, depth int) {
	play(t, shared, step, sequence)
	if depth == 0 {
		return
	}
	for _, e := range events {
		explore(t, events, shared, step, append(sequence[:len(sequence):len(sequence)], e), depth-1)
	}
}

// model is what has been asked of a process, apart from the states.
type model struct {
	reached, drained, stopped bool
	since                     routing.Time
}

func (w *model) take(name string, now routing.Time) {
	switch name {
	case "list reached":
		w.reached = true
	case "drain":
		if !w.drained && !w.stopped {
			w.drained, w.since = true, now
		}
	case "taken back":
		w.drained = w.drained && w.stopped
	case "stop":
		if !w.stopped {
			w.stopped, w.since = true, now
		}
	}
}

func play(t *testing.T, shared bool, step time.Duration, sequence []event) {
	t.Helper()
	m, w := New(spans, shared), model{}
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
		e.do(m, now)
		w.take(e.name, now)
		check(t, story, m, w, now, shared)
	}
}

// check holds the policy against what has been asked of the process.
func check(t *testing.T, story string, m *Machine, w model, now routing.Time, shared bool) {
	t.Helper()
	p, state, past := m.Policy(now), m.State(), now-w.since
	switch {
	case p.Ready != (w.reached && !w.drained && !w.stopped):
		t.Fatalf("%s: ready %v in state %v", story, p.Ready, state)
	case p.Ready && !(p.AcceptRequests && p.KeepIdleConnections && p.AcceptConnections):
		t.Fatalf("%s: ready, but %+v", story, p)
	case w.stopped != (state >= Stopping):
		t.Fatalf("%s: state %v", story, state)
	case w.drained && !w.stopped && past >= spans.DrainNoticePeriod && p.KeepIdleConnections:
		t.Fatalf("%s: resting clients are kept", story)
	case w.drained && !w.stopped && past >= spans.DrainGracePeriod && p.AcceptRequests:
		t.Fatalf("%s: work is taken", story)
	case !shared && state != Ended && !p.AcceptConnections:
		t.Fatalf("%s: nobody accepts on a listener that is ours alone", story)
	case shared && !w.reached && p.AcceptConnections:
		t.Fatalf("%s: accepts on a shared listener without the list of servers", story)
	case shared && w.stopped && p.AcceptConnections:
		t.Fatalf("%s: what comes on a shared listener is taken from who stays", story)
	case state == Ended && past < spans.StopGracePeriod:
		t.Fatalf("%s: ended while work may come", story)
	}
}

// A stop that nothing holds up ends behind the time for work; one that is held up ends at its last time.
func TestStopEnds(t *testing.T) {
	for _, held := range []int{0, 1} {
		m := New(spans, false)
		m.Stop(0)
		var at routing.Time
		for m.Advance(at, held) != Ended {
			at += 5 * time.Millisecond
		}
		want := map[int]routing.Time{0: spans.StopGracePeriod + 5*time.Millisecond, 1: spans.StopDeadline}[held]
		if at != want {
			t.Errorf("%d held: ended at %v, want %v", held, at, want)
		}
	}
}
