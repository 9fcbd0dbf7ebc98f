package main

import (
	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/lifecycle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// lifecycleController applies the policy of the lifecycle state machine to the parts of the program. Its methods run on
// the event loop, except logTransition.
type lifecycleController struct {
	program    *program
	machine    *lifecycle.Machine // safe for concurrent use
	startedAt  routing.Time
	checkTimer timer.Timer // next call of apply while a drain or a stop is under way
}

func newLifecycleController(prog *program, sharedListener bool) *lifecycleController {
	controller := &lifecycleController{program: prog}
	timeouts := lifecycleTimeouts(prog.limits, sharedListener)
	controller.machine = lifecycle.New(timeouts, sharedListener, lifecycle.WithOnTransition(controller.logTransition))
	return controller
}

// lifecycleTimeouts returns the timeouts of drains and stops. With a shared listener, a stopping process accepts
// requests for at least StopHandoverPeriod, while its clients move to the process that takes the listener over.
func lifecycleTimeouts(limits *config.Limits, sharedListener bool) lifecycle.Timeouts {
	timeouts := lifecycle.Timeouts{
		DrainNoticePeriod: limits.DrainNoticePeriod,
		DrainGracePeriod:  limits.DrainGracePeriod,
		DrainDeadline:     limits.DrainDeadline,
		StopGracePeriod:   limits.StopGracePeriod,
		StopDeadline:      limits.StopDeadline,
		DeliveryDeadline:  limits.DeliveryDeadline,
	}
	if sharedListener {
		timeouts.StopGracePeriod = max(limits.StopGracePeriod, limits.StopHandoverPeriod)
	}
	return timeouts
}

// logTransition logs a state transition. It runs on the goroutine that caused the transition, which may not be the
// event loop's.
func (c *lifecycleController) logTransition(change lifecycle.Transition) {
	c.program.log.Info("state", zap.Stringer("from", change.From), zap.Stringer("to", change.To),
		zap.Stringer("cause", change.Cause))
}

// onDiscoveryReady makes the process ready. It is called when the watch on the discovery service connects for the first
// time, and again when InitialListTimeout has passed since the start. The process is not ready earlier, because this
// director counts as notified of all purges and drains that happened after the configuration was written. It must
// request them first, although its turn to call the discovery service may come late in the fleet's jitter window.
func (c *lifecycleController) onDiscoveryReady() {
	c.machine.DiscoveryReady(c.program.now())
	c.apply()
}

// ready reports whether the load balancer may send clients to this process.
func (c *lifecycleController) ready() bool { return c.machine.Policy(c.program.now()).Ready }

// ended reports whether the shutdown is complete. No connection is accepted from then on.
func (c *lifecycleController) ended() bool { return c.machine.State() == lifecycle.Ended }

// rejectUntil reports whether new requests are rejected, and returns the time before which a rejected client should not
// retry. Requests are rejected after the grace period of a drain or a stop. With an initial jitter window they are also
// rejected after the start until the discovery service was reached, for InitialListTimeout at most. In that case the
// retry time follows this director's own turn to call the discovery service, so that the clients of the fleet don't all
// retry at once.
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

// stop begins a graceful shutdown. Requests, and connections unless the listener is shared, are accepted until the
// grace period ends, because the load balancer learns of the shutdown with a delay. The program ends when every
// accepted request has been answered and the clients have read the answers, or at StopDeadline. If clients are still
// reading at StopDeadline, the program goes on until it is killed, they have read all or read no more, or
// DeliveryDeadline.
func (c *lifecycleController) stop() {
	now := c.program.now()
	if !c.machine.Stop(now) {
		return
	}
	c.program.log.Info("stopping", zap.Int("open_requests", c.program.director.OpenRequests()))
	c.program.director.SetShutdownDeadline(now + c.program.limits.StopAnswerDeadline)
	c.apply()
}

// apply applies the policy of the current state and takes the transition that is due, if any. It schedules its next
// call while a drain or a stop is under way, and stops the event loop in the state Ended.
func (c *lifecycleController) apply() {
	now := c.program.now()
	c.applyPolicy(c.machine.Policy(now))
	before := c.machine.State()
	state := c.machine.Advance(now, c.load(before))
	if state != before && state == lifecycle.Drained {
		c.program.reporter.logLatestEventsAsync("drained", c.program.limits.FlightRecorderEvents)
	}
	switch {
	case state == lifecycle.Ended:
		c.program.eventLoop.Stop()
	case state >= lifecycle.Stopping:
		c.program.timers.Schedule(&c.checkTimer, now+c.program.limits.StopCheckInterval, c.apply)
	case state >= lifecycle.Draining:
		c.program.timers.Schedule(&c.checkTimer, now+c.program.limits.DrainCheckInterval, c.apply)
	default:
		c.program.timers.Cancel(&c.checkTimer)
	}
}

// load returns what the process holds for its clients in a state.
func (c *lifecycleController) load(state lifecycle.State) lifecycle.Load {
	return lifecycle.Load{
		InFlight: c.program.director.OpenRequests() + c.program.downstream.Conns(),
		Reading:  state == lifecycle.Closing && c.program.downstream.AnyClientReading(),
	}
}

// applyPolicy has the event loop and the downstream server follow a policy.
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
