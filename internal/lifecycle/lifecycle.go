// Package lifecycle is the state machine of a process's life, from its start over operators' drains to a graceful
// shutdown. It does no I/O and reads no clock: callers report events with their time, ask for the Policy that holds
// then (whether the process is ready, accepts requests and connections, and keeps idle ones), and carry it out.
package lifecycle

import (
	"fmt"
	"sync"

	"shaleyard/routing"
)

// State is a state in the life of a process.
type State uint8

// The states, in the order of a process's life. A process may go back and forth between Starting, Ready, Draining and
// Drained; from Stopping on it only goes forward.
const (
	Starting State = iota // the endpoint list has not been received
	Ready                 // the load balancer may send clients here
	Draining              // operators have asked for a drain: clients are moved away
	Drained               // no client is left; the process runs on until it is stopped or the drain is cancelled
	Stopping              // a stop was requested: requests are still accepted, as the load balancer hears of it late
	Closing               // no request is accepted; a connection ends once nothing is owed on it
	Ended                 // nothing is left, or the deadline has passed
)

var stateNames = [...]string{"starting", "ready", "draining", "drained", "stopping", "closing", "ended"}

// String is the name of the state, as logs and the operators' address give it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Cause is why a state was left for another.
type Cause uint8

// The causes of transitions.
const (
	CauseDiscoveryReady  Cause = iota // the endpoint list was received, or waited for long enough
	CauseDrainRequested               // operators asked for a drain
	CauseDrainCancelled               // operators cancelled the drain
	CauseStopRequested                // a stop was requested
	CauseTimeElapsed                  // a period or a deadline is over
	CauseNothingInFlight              // no request and no connection is left
	CauseClientsArrived               // clients came after the process had been drained
)

var causeNames = [...]string{"discovery ready", "drain requested", "drain cancelled", "stop requested", "time elapsed",
	"nothing in flight", "clients arrived"}

// String is the name of the cause, as logs give it.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return fmt.Sprintf("cause %d", uint8(c))
}

// Transition is a change of state.
type Transition struct {
	From, To State
	Cause    Cause
	At       routing.Time
}

// Timeouts are the periods of drains and stops, each counted from the request for it.
type Timeouts struct {
	// DrainNoticePeriod is the time that the load balancer takes to hear of a drain. A client whose connection ended
	// before would come back.
	DrainNoticePeriod routing.Time
	// DrainGracePeriod is the time for which requests are accepted on connections that are open.
	DrainGracePeriod routing.Time
	// DrainDeadline is the time by which a connection is closed on which the client goes on sending, or reads nothing.
	DrainDeadline routing.Time
	// StopGracePeriod is the time for which requests are accepted after a stop was requested.
	StopGracePeriod routing.Time
	// StopDeadline is the time by which a stop ends, whatever is left.
	StopDeadline routing.Time
}

// Machine is the state of one process. It is safe for concurrent use.
type Machine struct {
	timeouts       Timeouts
	sharedListener bool             // other processes may accept on the listener, too
	onTransition   func(Transition) // nil: none

	mu             sync.Mutex
	state          State
	discoveryReady bool         // DiscoveryReady was called
	requestedAt    routing.Time // when the drain or the stop was requested
}

// Option sets what is optional of a Machine.
type Option func(*Machine)

// WithOnTransition has a function called on each transition, in order, with the Machine locked: it must not call the
// Machine.
func WithOnTransition(onTransition func(Transition)) Option {
	return func(m *Machine) { m.onTransition = onTransition }
}

// New returns the machine of a process that is starting. With sharedListener its listening socket was inherited, so
// that other processes may accept on it.
func New(timeouts Timeouts, sharedListener bool, options ...Option) *Machine {
	m := &Machine{timeouts: timeouts, sharedListener: sharedListener}
	for _, set := range options {
		set(m)
	}
	return m
}

// State is the present state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// transition is the one place that changes the state. The caller holds the lock.
func (m *Machine) transition(to State, cause Cause, now routing.Time) {
	from := m.state
	if from == to {
		return
	}
	m.state = to
	if m.onTransition != nil {
		m.onTransition(Transition{From: from, To: to, Cause: cause, At: now})
	}
}

// DiscoveryReady reports that the endpoint list was received, or has been waited for long enough.
func (m *Machine) DiscoveryReady(now routing.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.discoveryReady = true
	if m.state == Starting {
		m.transition(Ready, CauseDiscoveryReady, now)
	}
}

// Drain requests a drain. A further request changes nothing: the periods count from the first one.
func (m *Machine) Drain(now routing.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state <= Ready {
		m.requestedAt = now
		m.transition(Draining, CauseDrainRequested, now)
	}
}

// CancelDrain ends a drain. It returns false if the process is stopping, and can't come back.
func (m *Machine) CancelDrain(now routing.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.state >= Stopping:
		return false
	case m.state <= Ready:
		// There is no drain to cancel.
	case m.discoveryReady:
		m.transition(Ready, CauseDrainCancelled, now)
	default:
		m.transition(Starting, CauseDrainCancelled, now)
	}
	return true
}

// Stop requests a graceful shutdown. It returns false if that was requested before.
func (m *Machine) Stop(now routing.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state >= Stopping {
		return false
	}
	m.requestedAt = now
	m.transition(Stopping, CauseStopRequested, now)
	return true
}

// Advance takes the transitions that are due at a time, and returns the state after them: one at most in each call.
// inFlight is the number of requests and connections that the process holds for clients.
func (m *Machine) Advance(now routing.Time, inFlight int) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now - m.requestedAt
	switch m.state {
	case Draining:
		if inFlight == 0 && elapsed >= m.timeouts.DrainNoticePeriod {
			m.transition(Drained, CauseNothingInFlight, now)
		}
	case Drained:
		if inFlight > 0 {
			m.transition(Draining, CauseClientsArrived, now)
		}
	case Stopping:
		if elapsed >= m.timeouts.StopGracePeriod {
			m.transition(Closing, CauseTimeElapsed, now)
		}
	case Closing:
		m.advanceClosing(now, elapsed, inFlight)
	}
	return m.state
}

// advanceClosing ends the process at the deadline, or once nothing is in flight and all that clients had sent within
// the grace period was read. The caller holds the lock.
func (m *Machine) advanceClosing(now, elapsed routing.Time, inFlight int) {
	switch {
	case elapsed >= m.timeouts.StopDeadline:
		m.transition(Ended, CauseTimeElapsed, now)
	case inFlight == 0 && elapsed > m.timeouts.StopGracePeriod:
		m.transition(Ended, CauseNothingInFlight, now)
	}
}

// Policy is what a process does in its state at a time.
type Policy struct {
	Ready               bool // the load balancer may send clients here
	AcceptRequests      bool // requests are accepted; otherwise they are rejected
	KeepIdleConnections bool // connections on which nothing is owed are kept
	AcceptConnections   bool // connections are accepted
	ShortenDeadline     *DeadlineLimit
}

// DeadlineLimit sets a deadline for all requests on connections on which a message has come since a time.
type DeadlineLimit struct{ ActiveSince, Deadline routing.Time }

// Policy is what the present state asks for at a time.
func (m *Machine) Policy(now routing.Time) Policy {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.state {
	case Starting:
		// Connections on a shared listener are left to the other processes until this one is ready.
		return Policy{AcceptRequests: true, KeepIdleConnections: true, AcceptConnections: !m.sharedListener}
	case Ready:
		return Policy{Ready: true, AcceptRequests: true, KeepIdleConnections: true, AcceptConnections: true}
	case Draining, Drained:
		return m.drainPolicy(now - m.requestedAt)
	case Stopping:
		// On a shared listener another process accepts the connections that come, and idle clients are sent there.
		return Policy{
			AcceptRequests:      true,
			KeepIdleConnections: !m.sharedListener,
			AcceptConnections:   !m.sharedListener,
		}
	case Closing:
		return Policy{AcceptConnections: !m.sharedListener}
	}
	return Policy{}
}

// drainPolicy is the policy so long after a drain was requested. The caller holds the lock.
func (m *Machine) drainPolicy(elapsed routing.Time) Policy {
	withinNotice := elapsed < m.timeouts.DrainNoticePeriod
	policy := Policy{
		AcceptRequests:      elapsed < m.timeouts.DrainGracePeriod,
		KeepIdleConnections: withinNotice,
		AcceptConnections:   !m.sharedListener || withinNotice && m.discoveryReady,
	}
	if !policy.AcceptRequests {
		policy.ShortenDeadline = &DeadlineLimit{
			ActiveSince: m.requestedAt + m.timeouts.DrainGracePeriod,
			Deadline:    m.requestedAt + m.timeouts.DrainDeadline,
		}
	}
	return policy
}
