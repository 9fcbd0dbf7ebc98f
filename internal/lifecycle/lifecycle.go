// Package lifecycle is the life of a process as one state machine, without I/O and without a clock: from its start over
// operators' drains to a planned stop. It decides whether the process is ready, takes work, keeps clients' connections that
// rest, and accepts new ones; others carry that out.
package lifecycle

import (
	"fmt"
	"sync"

	"shaleyard/routing"
)

// State is where a process is in its life.
type State uint8

// The states. Ready and what lies before it can be left for a drain and come back; from Stopping on it only goes forward.
const (
	Starting State = iota // the list of servers has not been reached
	Ready                 // clients may be sent here
	Draining              // operators have asked to empty the process: clients are moved away
	Drained               // and none is left
	Stopping              // a stop was asked for: work is still taken, as the front hears of it late
	Closing               // no work is taken; connections end as nothing is owed on them
	Ended                 // nothing is left, or the time is up
)

var stateNames = [...]string{"starting", "ready", "draining", "drained", "stopping", "closing", "ended"}

// String is the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Cause is what has changed a state.
type Cause string

// The causes of changes.
const (
	CauseDiscoveryReady  Cause = "the list of servers was reached, or waited for long enough"
	CauseDrainRequested  Cause = "operators asked for a drain"
	CauseDrainCancelled  Cause = "operators took the drain back"
	CauseStopRequested   Cause = "a stop was asked for"
	CauseTimeElapsed     Cause = "time passed"
	CauseNothingInFlight Cause = "nothing is held any more"
	CauseClientsArrived  Cause = "clients came in spite of the drain"
)

// Transition is a change of state.
type Transition struct {
	From, To State
	Cause    Cause
	At       routing.Time
}

// Timeouts are the times of drains and stops, each counted from when it was asked for.
type Timeouts struct {
	// DrainNoticePeriod is the time that the front takes to hear of a drain: until then a client whose connection were ended
	// would come back.
	DrainNoticePeriod routing.Time
	// DrainGracePeriod is the time for which work is taken on connections that were open as the drain began.
	DrainGracePeriod routing.Time
	// DrainDeadline is the time by which connections are to be ended on which clients go on sending, or read nothing.
	DrainDeadline routing.Time
	// StopGracePeriod is the time for which work is taken on behind a stop.
	StopGracePeriod routing.Time
	// StopDeadline is the time by which a stop is over, whatever is left.
	StopDeadline routing.Time
}

// Machine is the state of one process. It is safe for concurrent use.
type Machine struct {
	// OnTransition, where set, is told of each change, in order. It must not call the Machine.
	OnTransition func(Transition)

	timeouts       Timeouts
	sharedListener bool // other processes may accept on our listener, too

	mu             sync.Mutex
	state          State
	discoveryReady bool         // the list of servers was
	requestedAt    routing.Time // when the drain or the stop was asked for
}

// New returns a process that starts. Shared says that its listener was handed down, so that others may hold it.
func New(spans Timeouts, shared bool) *Machine {
	return &Machine{timeouts: spans, sharedListener: shared}
}

// State is the present state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// transition changes the state; it is the one place that does. The caller holds the lock.
func (m *Machine) transition(to State, cause Cause, now routing.Time) {
	from := m.state
	if from == to {
		return
	}
	m.state = to
	if m.OnTransition != nil {
		m.OnTransition(Transition{from, to, cause, now})
	}
}

// DiscoveryReady says that the list of servers was reached, or has been waited for long enough.
func (m *Machine) DiscoveryReady(now routing.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.discoveryReady = true
	if m.state == Starting {
		m.transition(Ready, CauseDiscoveryReady, now)
	}
}

// Drain asks to empty the process. Asked again it changes nothing: the times count from the first time.
func (m *Machine) Drain(now routing.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state <= Ready {
		m.requestedAt = now
		m.transition(Draining, CauseDrainRequested, now)
	}
}

// CancelDrain ends a drain; false: the process is stopping.
func (m *Machine) CancelDrain(now routing.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.state >= Stopping:
		return false
	case m.state <= Ready:
	case m.discoveryReady:
		m.transition(Ready, CauseDrainCancelled, now)
	default:
		m.transition(Starting, CauseDrainCancelled, now)
	}
	return true
}

// Stop asks for a planned stop; false: it was asked for before.
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

// Advance lets time pass. Held is what the process still holds for clients: requests and connections.
func (m *Machine) Advance(now routing.Time, held int) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch past := now - m.requestedAt; {
	case m.state == Draining && held == 0 && past >= m.timeouts.DrainNoticePeriod:
		m.transition(Drained, CauseNothingInFlight, now)
	case m.state == Drained && held > 0:
		m.transition(Draining, CauseClientsArrived, now)
	case m.state == Stopping && past >= m.timeouts.StopGracePeriod:
		m.transition(Closing, CauseTimeElapsed, now)
	case m.state == Closing && past >= m.timeouts.StopDeadline:
		m.transition(Ended, CauseTimeElapsed, now)
	case m.state == Closing && held == 0 && past > m.timeouts.StopGracePeriod: // what has come until then was read
		m.transition(Ended, CauseNothingInFlight, now)
	}
	return m.state
}

// Policy is what a state allows at a time.
type Policy struct {
	Ready               bool // the front may send clients here
	AcceptRequests      bool // requests are taken; else they are refused
	KeepIdleConnections bool // connections on which nothing is owed are kept
	AcceptConnections   bool // connections are accepted
	ShortenDeadline     *DeadlineLimit
}

// DeadlineLimit says that requests on connections on which a message has come since a time are to be answered by another.
type DeadlineLimit struct{ ActiveSince, Deadline routing.Time }

// Policy is what the present state allows.
func (m *Machine) Policy(now routing.Time) Policy {
	m.mu.Lock()
	defer m.mu.Unlock()
	past := now - m.requestedAt
	switch m.state {
	case Starting: // a listener that others hold, too, is left to them until we are ready
		return Policy{AcceptRequests: true, KeepIdleConnections: true, AcceptConnections: !m.sharedListener}
	case Ready:
		return Policy{Ready: true, AcceptRequests: true, KeepIdleConnections: true, AcceptConnections: true}
	case Draining, Drained:
		notice := past < m.timeouts.DrainNoticePeriod
		p := Policy{AcceptRequests: past < m.timeouts.DrainGracePeriod, KeepIdleConnections: notice, AcceptConnections: !m.sharedListener || notice && m.discoveryReady}
		if !p.AcceptRequests {
			p.ShortenDeadline = &DeadlineLimit{m.requestedAt + m.timeouts.DrainGracePeriod, m.requestedAt + m.timeouts.DrainDeadline}
		}
		return p
	case Stopping: // on a shared listener another process takes who comes, and who rests is sent there
		return Policy{AcceptRequests: true, KeepIdleConnections: !m.sharedListener, AcceptConnections: !m.sharedListener}
	case Closing:
		return Policy{AcceptConnections: !m.sharedListener}
	}
	return Policy{}
}
