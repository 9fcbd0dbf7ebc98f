package main

import (
	"sync/atomic"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/lifecycle"
	"shaleyard/routing"
)

// lifecycleTimeouts are the times of drains and stops.
func lifecycleTimeouts(l *config.Limits, shared bool) lifecycle.Timeouts {
	s := lifecycle.Timeouts{DrainNoticePeriod: l.DrainNoticePeriod, DrainGracePeriod: l.DrainGracePeriod, DrainDeadline: l.DrainDeadline, StopGracePeriod: l.StopGracePeriod,
		StopDeadline: l.StopDeadline}
	if shared {
		s.StopGracePeriod = max(l.StopGracePeriod, l.StopHandoverPeriod)
	}
	return s
}

// acceptor hands accepted connections to the clients' server.
type acceptor struct{ program *program }

// Accept implements loop.Front.
func (f acceptor) Accept(c eventloop.Conn) eventloop.Session {
	if f.program.lifecycle.State() == lifecycle.Ended {
		return nil
	}
	if s := f.program.downstream.Accept(c); s != nil {
		return s
	}
	return nil
}

// logTransition logs a change of the process's state, from whatever goroutine brought it.
func (p *program) logTransition(c lifecycle.Transition) {
	p.log.Info("state", zap.Stringer("from", c.From), zap.Stringer("to", c.To), zap.Stringer("cause", c.Cause))
}

// onDiscoveryReady says that the list of servers was reached, or has been waited for long enough. Purges and drains since the
// configuration was written count as told, so work is taken only once they are on their way, though our turn to ask is up
// to the spread of the fleet's calls away.
func (p *program) onDiscoveryReady() {
	p.lifecycle.DiscoveryReady(p.now())
	p.applyLifecycle()
}

// ready tells whether the front may send clients here.
func (p *program) ready() bool { return p.lifecycle.Policy(p.now()).Ready }

// rejectUntil tells whether work is refused, and until when the client may as well stay away. It is where the process is being
// emptied. And where what the list service has to tell is to be known first: until each director's own turn to call, so that
// clients don't come back in step.
func (p *program) rejectUntil() (until routing.Time, closed bool) {
	now := p.now()
	if !p.lifecycle.Policy(now).AcceptRequests {
		return now + p.limits.ShutdownRetryAfter, true
	}
	if p.limits.InitialJitterWindow == 0 || p.discovery.EverConnected() || now-p.startedAt > p.limits.InitialListTimeout {
		return 0, false
	}
	return p.discovery.DialTime() + p.limits.MinWatchBackoff, true
}

// stop begins a planned stop. Connections and requests are taken a while longer, as the front hears of it late; the program
// ends when all that was taken is answered and read.
func (p *program) stop() {
	now := p.now()
	if !p.lifecycle.Stop(now) {
		return
	}
	p.log.Info("stopping", zap.Int("open", p.director.OpenRequests()))
	p.director.SetShutdownDeadline(now + p.limits.StopAnswerDeadline)
	p.applyLifecycle()
}

// applyLifecycle carries out what the process's state asks for, and looks again until nothing is left to be done.
func (p *program) applyLifecycle() {
	now := p.now()
	policy := p.lifecycle.Policy(now)
	p.eventLoop.SetAccepting(policy.AcceptConnections)
	if policy.KeepIdleConnections {
		p.downstream.CancelGracefulClose()
	} else {
		p.downstream.StartGracefulClose()
	}
	if policy.ShortenDeadline != nil {
		p.downstream.ShortenDeadlines(policy.ShortenDeadline.ActiveSince, policy.ShortenDeadline.Deadline)
	}
	before := p.lifecycle.State()
	state := p.lifecycle.Advance(now, p.director.OpenRequests()+p.downstream.Conns())
	if state != before && state == lifecycle.Drained {
		p.logLatestEvents("drained", p.limits.FlightRecorderEvents)
	}
	switch {
	case state == lifecycle.Ended:
		p.eventLoop.Stop()
	case state >= lifecycle.Stopping:
		p.timers.Schedule(&p.lifecycleTimer, now+p.limits.StopCheckInterval, p.applyLifecycle)
	case state >= lifecycle.Draining:
		p.timers.Schedule(&p.lifecycleTimer, now+p.limits.DrainCheckInterval, p.applyLifecycle)
	default:
		p.timers.Cancel(&p.lifecycleTimer)
	}
}

// operatorAPI is the process as operators ask and tell it. Nothing here waits for the event loop.
type operatorAPI struct {
	program *program
	booted  atomic.Bool // the loop takes what is to be done
}

// Ready implements admin.Process.
func (o *operatorAPI) Ready() (ready bool, why string) {
	now := o.program.now()
	if !o.program.lifecycle.Policy(now).Ready {
		return false, o.program.lifecycle.State().String()
	}
	if stands := now - o.program.eventLoop.LastRun(); stands > o.program.limits.LoopStallThreshold {
		return false, "the event loop has not run for " + stands.String()
	}
	return true, ""
}

// Drain implements admin.Process.
func (o *operatorAPI) Drain() {
	o.program.lifecycle.Drain(o.program.now())
	o.applyLifecycle()
}

// Resume implements admin.Process.
func (o *operatorAPI) Resume() bool {
	back := o.program.lifecycle.CancelDrain(o.program.now())
	o.applyLifecycle()
	return back
}

// applyLifecycle has the loop carry out a change of state; before it runs there is nothing to carry out.
func (o *operatorAPI) applyLifecycle() {
	if o.booted.Load() {
		o.program.eventLoop.Do(o.program.applyLifecycle)
	}
}

// Called implements admin.Process.
func (o *operatorAPI) Called(method, path string, status int) {
	o.program.log.Info("operators' call", zap.String("method", method), zap.String("path", path), zap.Int("status", status))
}
