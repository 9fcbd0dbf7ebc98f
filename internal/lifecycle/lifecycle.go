// Package lifecycle is the state machine of a process: its start, the drains that operators request, and its graceful
// shutdown. It does no I/O and reads no clock. Callers report events with their time, query the Policy for a time
// (whether the process is ready, accepts requests and connections, and keeps idle connections), and apply it.
package lifecycle

import (
	"fmt"
	"sync"

	"shaleyard/routing"
)

// State is a state of a process.
type State uint8

// States of a process, in their usual order. A process can change back and forth between Starting, Ready, Draining and
// Drained. From Stopping on, it never returns to an earlier state.
const (
	Starting State = iota // waiting for the endpoint list
	Ready                 // the load balancer may send clients to this process
	Draining              // operators have requested a drain: clients are moved to other processes
	Drained               // no client is left; the process runs on until a stop is requested or the drain is cancelled
	Stopping              // a stop was requested; requests are accepted, as the load balancer learns of the stop late
	Closing               // no request is accepted; a connection is closed once all its requests are answered
	Ended                 // no request and no connection is left, or the stop deadline has passed
)

var stateNames = [...]string{"starting", "ready", "draining", "drained", "stopping", "closing", "ended"}

// String returns the name of the state that logs and the operators' HTTP interface show.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Cause is the reason for a change of state.
type Cause uint8

// Causes of transitions.
const (
	CauseDiscoveryReady  Cause = iota // the endpoint list was received, or has been waited for long enough
	CauseDrainRequested               // operators requested a drain
	CauseDrainCancelled               // operators cancelled the drain
	CauseStopRequested                // a stop was requested
	CauseTimeElapsed                  // a period or a deadline has elapsed
	CauseNothingInFlight              // no request and no connection is left
	CauseClientsArrived               // requests or connections arrived at a drained process
)

var causeNames = [...]string{"discovery ready", "drain requested", "drain cancelled", "stop requested", "time elapsed",
	"nothing in flight", "clients arrived"}

// String returns the name of the cause that logs show.
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

// Timeouts holds the periods of drains and stops. Each is counted from the request for the drain or the stop.
type Timeouts struct {
	// DrainNoticePeriod is the time after which the load balancer is aware of a drain. A client that is disconnected
	// earlier would be sent to this process again.
	DrainNoticePeriod routing.Time
	// DrainGracePeriod is the time for which requests are accepted on open connections during a drain.
	DrainGracePeriod routing.Time
	// DrainDeadline is the time by which all requests of a client that still sends messages after DrainGracePeriod are
	// answered. From DrainDeadline on, a client that reads no responses is disconnected. DeadlineLimit.Deadline is
	// computed from DrainDeadline.
	DrainDeadline routing.Time
	// StopGracePeriod is the time for which requests are accepted after the request for a stop.
	StopGracePeriod routing.Time
	// StopDeadline is the time by which a stop ends even if requests or connections are left, unless clients are still
	// reading answers.
	StopDeadline routing.Time
	// DeliveryDeadline is the time by which a stop ends even if clients are still reading answers.
	DeliveryDeadline routing.Time
}

// Load is what a process holds for its clients.
type Load struct {
	InFlight int  // clients' requests and connections
	Reading  bool // a client is reading answers, and would lose those that it has not read
}

// Machine is the state machine of one process. It is safe for concurrent use.
type Machine struct {
	timeouts       Timeouts
	sharedListener bool             // other processes may accept connections on the same listener
	onTransition   func(Transition) // nil: transitions are not reported

	mu             sync.Mutex
	state          State
	discoveryReady bool         // DiscoveryReady has been called
	requestedAt    routing.Time // time of the request for the current drain or stop
}

// Option is an optional setting of a Machine.
type Option func(*Machine)

// WithOnTransition returns an Option that has the Machine call a function on each transition, in order. The Machine is
// locked during the call, so the function must not call the Machine's methods.
func WithOnTransition(onTransition func(Transition)) Option {
	return func(m *Machine) { m.onTransition = onTransition }
}

// New returns a Machine in the state Starting. If sharedListener is true, the process has inherited its listening
// socket, so other processes may accept connections on the same socket.
func New(timeouts Timeouts, sharedListener bool, options ...Option) *Machine {
	m := &Machine{timeouts: timeouts, sharedListener: sharedListener}
	for _, set := range options {
		set(m)
	}
	return m
}

// State returns the current state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// transition changes the state and reports the change. All changes of state are made here. The caller holds the lock.
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

// DiscoveryReady notifies the Machine that the endpoint list was received, or has been waited for long enough.
func (m *Machine) DiscoveryReady(now routing.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.discoveryReady = true
	if m.state == Starting {
		m.transition(Ready, CauseDiscoveryReady, now)
	}
}

// Drain requests a drain. It does nothing if the process is already draining, drained or stopping, so the periods of a
// drain are counted from the first request.
func (m *Machine) Drain(now routing.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state <= Ready {
		m.requestedAt = now
		m.transition(Draining, CauseDrainRequested, now)
	}
}

// CancelDrain cancels a drain, if there is one. It returns false if a stop was requested, which can't be cancelled.
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

// Stop requests a graceful shutdown. It returns false if a shutdown has already been requested.
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

// Advance performs the next transition if it is due at the time now, and returns the resulting state. Each call
// performs at most one transition.
func (m *Machine) Advance(now routing.Time, load Load) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now - m.requestedAt
	switch m.state {
	case Draining:
		if load.InFlight == 0 && elapsed >= m.timeouts.DrainNoticePeriod {
			m.transition(Drained, CauseNothingInFlight, now)
		}
	case Drained:
		if load.InFlight > 0 {
			m.transition(Draining, CauseClientsArrived, now)
		}
	case Stopping:
		if elapsed >= m.timeouts.StopGracePeriod {
			m.transition(Closing, CauseTimeElapsed, now)
		}
	case Closing:
		m.advanceClosing(now, elapsed, load)
	}
	return m.state
}

// advanceClosing ends the process at the stop deadline, or earlier if nothing is in flight, or later if clients are
// still reading answers: the process may then be killed, but those answers would be lost in any case. The earlier end
// is strictly after the grace period, so that everything that clients sent within the grace period has been read. The
// caller holds the lock.
func (m *Machine) advanceClosing(now, elapsed routing.Time, load Load) {
	deadline := m.timeouts.StopDeadline
	if load.Reading {
		deadline = m.timeouts.DeliveryDeadline
	}
	switch {
	case elapsed >= deadline:
		m.transition(Ended, CauseTimeElapsed, now)
	case load.InFlight == 0 && elapsed > m.timeouts.StopGracePeriod:
		m.transition(Ended, CauseNothingInFlight, now)
	}
}

// Policy is the behavior of a process in a given state at a given time.
type Policy struct {
	Ready               bool           // the load balancer may send clients to this process
	AcceptRequests      bool           // requests are accepted; otherwise they are rejected
	KeepIdleConnections bool           // connections without open requests are kept open
	AcceptConnections   bool           // new connections are accepted
	ShortenDeadline     *DeadlineLimit // limits the deadlines of requests; nil: no limit
}

// DeadlineLimit limits the deadlines of requests during a drain. Each request on a connection that has received a
// message at or after ActiveSince is answered by Deadline.
type DeadlineLimit struct{ ActiveSince, Deadline routing.Time }

// Policy returns the policy of the current state at the time now.
func (m *Machine) Policy(now routing.Time) Policy {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.state {
	case Starting:
		// Until this process is ready, connections on a shared listener are left to the other processes.
		return Policy{AcceptRequests: true, KeepIdleConnections: true, AcceptConnections: !m.sharedListener}
	case Ready:
		return Policy{Ready: true, AcceptRequests: true, KeepIdleConnections: true, AcceptConnections: true}
	case Draining, Drained:
		return m.drainPolicy(now - m.requestedAt)
	case Stopping:
		// On a shared listener, another process accepts new connections. Idle connections are closed, so that their
		// clients connect to the other process.
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

// drainPolicy returns the policy of a drain that was requested the elapsed time ago. The caller holds the lock.
func (m *Machine) drainPolicy(elapsed routing.Time) Policy {
	withinNoticePeriod := elapsed < m.timeouts.DrainNoticePeriod
	policy := Policy{
		AcceptRequests:      elapsed < m.timeouts.DrainGracePeriod,
		KeepIdleConnections: withinNoticePeriod,
		AcceptConnections:   !m.sharedListener || withinNoticePeriod && m.discoveryReady,
	}
	if !policy.AcceptRequests {
		policy.ShortenDeadline = &DeadlineLimit{
			ActiveSince: m.requestedAt + m.timeouts.DrainGracePeriod,
			Deadline:    m.requestedAt + m.timeouts.DrainDeadline,
		}
	}
	return policy
}
