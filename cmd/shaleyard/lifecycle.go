package main

import (
	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/lifecycle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// lifecycleController carries out what the lifecycle's state machine asks for, on the event loop.
type lifecycleController struct {
	program   *program
	machine   *lifecycle.Machine // safe for concurrent use
	startedAt routing.Time
	check     timer.Timer // the next check for what is left of a drain or a stop
}

func newLifecycleController(prog *program, sharedListener bool) *lifecycleController {
	controller := &lifecycleController{program: prog}
	timeouts := lifecycleTimeouts(prog.limits, sharedListener)
	controller.machine = lifecycle.New(timeouts, sharedListener, lifecycle.WithOnTransition(controller.logTransition))
	return controller
}

// lifecycleTimeouts are the periods of drains and stops. A process that hands its listener over accepts requests for
// longer.
func lifecycleTimeouts(limits *config.Limits, sharedListener bool) lifecycle.Timeouts {
	timeouts := lifecycle.Timeouts{
		DrainNoticePeriod: limits.DrainNoticePeriod,
		DrainGracePeriod:  limits.DrainGracePeriod,
		DrainDeadline:     limits.DrainDeadline,
		StopGracePeriod:   limits.StopGracePeriod,
		StopDeadline:      limits.StopDeadline,
	}
	if sharedListener {
		timeouts.StopGracePeriod = max(limits.StopGracePeriod, limits.StopHandoverPeriod)
	}
	return timeouts
}

// logTransition logs a transition, on whatever goroutine caused it.
func (c *lifecycleController) logTransition(change lifecycle.Transition) {
	c.program.log.Info("state", zap.Stringer("from", change.From), zap.Stringer("to", change.To),
		zap.Stringer("cause", change.Cause))
}

// onDiscoveryReady reports that the list service was reached, or has been waited for long enough. Purges and drains
// since the configuration was written count as notified. So requests are accepted only once this director has asked for
// them, though its turn to call may come late in the fleet's jitter window.
func (c *lifecycleController) onDiscoveryReady() {
	c.machine.DiscoveryReady(c.program.now())
	c.apply()
}

// ready reports whether the load balancer may send clients here.
func (c *lifecycleController) ready() bool { return c.machine.Policy(c.program.now()).Ready }

// ended reports whether the process is over, so that no connection is accepted any more.
func (c *lifecycleController) ended() bool { return c.machine.State() == lifecycle.Ended }

// rejectUntil reports whether requests are rejected, and until when a client should stay away. They are while the
// process is drained or stopped; and, with an initial jitter window, until what the list service has to say is known.
// Each director then names the time of its own call, so that clients don't come back all at once.
func (c *lifecycleController) rejectUntil() (until routing.Time, reject bool) {
	limits, discovery, now := c.program.limits, c.program.discovery, c.program.now()
	if !c.machine.Policy(now).AcceptRequests {
		return now + limits.ShutdownRetryAfter, true
	}
	if limits.InitialJitterWindow == 0 || discovery.EverConnected() || now-c.startedAt > limits.InitialListTimeout {
		return 0, false
	}
	return discovery.DialTime() + limits.MinWatchBackoff, true
}

// stop begins a graceful shutdown. Connections and requests are accepted for a while longer, as the load balancer hears
// of it late; the program ends once every accepted request is answered and the answer read.
func (c *lifecycleController) stop() {
	now := c.program.now()
	if !c.machine.Stop(now) {
		return
	}
	c.program.log.Info("stopping", zap.Int("open_requests", c.program.director.OpenRequests()))
	c.program.director.SetShutdownDeadline(now + c.program.limits.StopAnswerDeadline)
	c.apply()
}

// apply carries out the policy of the present state, and schedules the next check while a drain or a stop is under way.
func (c *lifecycleController) apply() {
	now := c.program.now()
	c.applyPolicy(c.machine.Policy(now))
	before := c.machine.State()
	state := c.machine.Advance(now, c.program.director.OpenRequests()+c.program.downstream.Conns())
	if state != before && state == lifecycle.Drained {
		c.program.reporter.logLatestEventsAsync("drained", c.program.limits.FlightRecorderEvents)
	}
	switch {
	case state == lifecycle.Ended:
		c.program.eventLoop.Stop()
	case state >= lifecycle.Stopping:
		c.program.timers.Schedule(&c.check, now+c.program.limits.StopCheckInterval, c.apply)
	case state >= lifecycle.Draining:
		c.program.timers.Schedule(&c.check, now+c.program.limits.DrainCheckInterval, c.apply)
	default:
		c.program.timers.Cancel(&c.check)
	}
}

func (c *lifecycleController) applyPolicy(policy lifecycle.Policy) {
	c.program.eventLoop.SetAccepting(policy.AcceptConnections)
	if policy.KeepIdleConnections {
		c.program.downstream.CancelGracefulClose()
	} else {
		c.program.downstream.StartGracefulClose()
	}
	if limit := policy.ShortenDeadline; limit != nil {
		c.program.downstream.ShortenDeadlines(limit.ActiveSince, limit.Deadline)
	}
}
