package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"shaleyard/routing"
)

var testTimeouts = Timeouts{
	DrainNoticePeriod: 500 * time.Millisecond,
	DrainGracePeriod:  1500 * time.Millisecond,
	DrainDeadline:     3200 * time.Millisecond,
	StopGracePeriod:   700 * time.Millisecond,
	StopDeadline:      3650 * time.Millisecond,
}

// event is something that can happen to a process.
type event struct {
	name  string
	apply func(machine *Machine, now routing.Time)
}

// advance lets time pass with so many requests and connections in flight.
func advance(inFlight int) func(machine *Machine, now routing.Time) {
	return func(machine *Machine, now routing.Time) { machine.Advance(now, inFlight) }
}

// Every order of events, up to six of them with any of three times between, keeps what must hold in each state.
func TestEveryOrderOfEvents(t *testing.T) {
	events := []event{
		{"discovery ready", (*Machine).DiscoveryReady},
		{"drain", (*Machine).Drain},
		{"drain cancelled", func(machine *Machine, now routing.Time) { machine.CancelDrain(now) }},
		{"stop", func(machine *Machine, now routing.Time) { machine.Stop(now) }},
		{"time passes, busy", advance(1)},
		{"time passes, idle", advance(0)},
	}
	for _, shared := range []bool{false, true} {
		for _, step := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("shared listener %v, steps of %v", shared, step), func(t *testing.T) {
				explore(t, events, shared, step, nil, 6)
			})
		}
	}
}

// explore replays a sequence of events, and all sequences that begin with it and are longer by depth at most.
func explore(t *testing.T, events []event, shared bool, step time.Duration, sequence []event, depth int) {
	t.Helper()
	replay(t, shared, step, sequence)
	if depth == 0 {
		return
	}
	for _, next := range events {
		explore(t, events, shared, step, append(sequence[:len(sequence):len(sequence)], next), depth-1)
	}
}

// model is what has been requested of a process, without the states.
type model struct {
	discoveryReady, draining, stopping bool
	requestedAt                        routing.Time
}

func (m *model) apply(name string, now routing.Time) {
	switch name {
	case "discovery ready":
		m.discoveryReady = true
	case "drain":
		if !m.draining && !m.stopping {
			m.draining, m.requestedAt = true, now
		}
	case "drain cancelled":
		m.draining = m.draining && m.stopping
	case "stop":
		if !m.stopping {
			m.stopping, m.requestedAt = true, now
		}
	}
}

// replay applies a sequence of events to a new machine and checks the policy after each.
func replay(t *testing.T, shared bool, step time.Duration, sequence []event) {
	t.Helper()
	last, now := Starting, routing.Time(0)
	var history string
	checkTransition := func(change Transition) {
		if change.From != last || change.To == change.From || (change.From >= Stopping && change.To < change.From) {
			t.Fatalf("%s: %v to %v after %v", history, change.From, change.To, last)
		}
		last = change.To
	}
	machine, requested := New(testTimeouts, shared, WithOnTransition(checkTransition)), model{}
	for _, next := range sequence {
		now += step
		history += fmt.Sprintf("%v %s; ", now, next.name)
		next.apply(machine, now)
		requested.apply(next.name, now)
		checkPolicy(t, history, machine, requested, now, shared)
	}
}

// checkPolicy compares the policy with what has been requested of the process.
func checkPolicy(t *testing.T, history string, machine *Machine, requested model, now routing.Time, shared bool) {
	t.Helper()
	policy, state, elapsed := machine.Policy(now), machine.State(), now-requested.requestedAt
	drainOnly := requested.draining && !requested.stopping
	switch {
	case policy.Ready != (requested.discoveryReady && !requested.draining && !requested.stopping):
		t.Fatalf("%s: ready %v in state %v", history, policy.Ready, state)
	case policy.Ready && (!policy.AcceptRequests || !policy.KeepIdleConnections || !policy.AcceptConnections):
		t.Fatalf("%s: ready, but %+v", history, policy)
	case requested.stopping != (state >= Stopping):
		t.Fatalf("%s: state %v", history, state)
	case drainOnly && elapsed >= testTimeouts.DrainNoticePeriod && policy.KeepIdleConnections:
		t.Fatalf("%s: idle connections are kept", history)
	case drainOnly && elapsed >= testTimeouts.DrainGracePeriod && policy.AcceptRequests:
		t.Fatalf("%s: requests are accepted", history)
	case !shared && state != Ended && !policy.AcceptConnections:
		t.Fatalf("%s: nobody accepts connections on a listener that no other process shares", history)
	case shared && !requested.discoveryReady && policy.AcceptConnections:
		t.Fatalf("%s: accepts connections on a shared listener without the endpoint list", history)
	case shared && requested.stopping && policy.AcceptConnections:
		t.Fatalf("%s: takes connections on a shared listener from the process that stays", history)
	case state == Ended && elapsed < testTimeouts.StopGracePeriod:
		t.Fatalf("%s: ended while requests may come", history)
	}
}

// A stop with nothing in flight ends after the grace period, any other at its deadline.
func TestStopEnds(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight int
		want     routing.Time
	}{
		{"nothing in flight", 0, testTimeouts.StopGracePeriod + 5*time.Millisecond},
		{"one request in flight", 1, testTimeouts.StopDeadline},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := New(testTimeouts, false)
			machine.Stop(0)
			var now routing.Time
			for machine.Advance(now, test.inFlight) != Ended {
				now += 5 * time.Millisecond
			}
			if now != test.want {
				t.Errorf("ended at %v, want %v", now, test.want)
			}
		})
	}
}
