package main

import (
	"sync/atomic"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/lifecycle"
	"shaleyard/routing"
)

// spans are the times of drains and stops.
func spans(l *config.Limits, shared bool) lifecycle.Timeouts {
	s := lifecycle.Timeouts{DrainNoticePeriod: l.DrainNoticePeriod, DrainGracePeriod: l.DrainGracePeriod, DrainDeadline: l.DrainDeadline, StopGracePeriod: l.StopGracePeriod,
		StopDeadline: l.StopDeadline}
	if shared {
		s.StopGracePeriod = max(l.StopGracePeriod, l.StopHandoverPeriod)
	}
	return s
}

// front hands accepted connections to the clients' server.
type front struct{ p *program }

// Accept implements loop.Front.
func (f front) Accept(c eventloop.Conn) eventloop.Session {
	if f.p.life.State() == lifecycle.Ended {
		return nil
	}
	if s := f.p.clients.Accept(c); s != nil {
		return s
	}
	return nil
}

// changed logs a change of the process's state, from whatever goroutine brought it.
func (p *program) changed(c lifecycle.Transition) {
	p.log.Info("state", zap.Stringer("from", c.From), zap.Stringer("to", c.To), zap.String("cause", string(c.Cause)))
}

// reachList says that the list of servers was reached, or has been waited for long enough. Purges and drains since the
// configuration was written count as told, so work is taken only once they are on their way, though our turn to ask is up
// to the spread of the fleet's calls away.
func (p *program) reachList() {
	p.life.DiscoveryReady(p.now())
	p.tend()
}

// ready tells whether the front may send clients here.
func (p *program) ready() bool { return p.life.Policy(p.now()).Ready }

// closed tells whether work is refused, and until when the client may as well stay away. It is where the process is being
// emptied. And where what the list service has to tell is to be known first: until each director's own turn to call, so that
// clients don't come back in step.
func (p *program) closed() (until routing.Time, closed bool) {
	now := p.now()
	if !p.life.Policy(now).AcceptRequests {
		return now + p.limits.ShutdownRetryAfter, true
	}
	if p.limits.InitialJitterWindow == 0 || p.feed.EverConnected() || now-p.started > p.limits.InitialListTimeout {
		return 0, false
	}
	return p.feed.DialTime() + p.limits.MinWatchBackoff, true
}

// stop begins a planned stop. Connections and requests are taken a while longer, as the front hears of it late; the program
// ends when all that was taken is answered and read.
func (p *program) stop() {
	now := p.now()
	if !p.life.Stop(now) {
		return
	}
	p.log.Info("stopping", zap.Int("open", p.director.OpenRequests()))
	p.director.SetShutdownDeadline(now + p.limits.StopAnswerDeadline)
	p.tend()
}

// tend carries out what the process's state asks for, and looks again until nothing is left to be done.
func (p *program) tend() {
	now := p.now()
	policy := p.life.Policy(now)
	p.loop.SetAccepting(policy.AcceptConnections)
	if policy.KeepIdleConnections {
		p.clients.CancelGracefulClose()
	} else {
		p.clients.StartGracefulClose()
	}
	if policy.ShortenDeadline != nil {
		p.clients.ShortenDeadlines(policy.ShortenDeadline.ActiveSince, policy.ShortenDeadline.Deadline)
	}
	before := p.life.State()
	state := p.life.Advance(now, p.director.OpenRequests()+p.clients.Conns())
	if state != before && state == lifecycle.Drained {
		p.writeFlight("drained", p.limits.FlightRecorderEvents)
	}
	switch {
	case state == lifecycle.Ended:
		p.loop.Stop()
	case state >= lifecycle.Stopping:
		p.agenda.Schedule(&p.tending, now+p.limits.StopCheckInterval, p.tend)
	case state >= lifecycle.Draining:
		p.agenda.Schedule(&p.tending, now+p.limits.DrainCheckInterval, p.tend)
	default:
		p.agenda.Cancel(&p.tending)
	}
}

// operated is the process as operators ask and tell it. Nothing here waits for the event loop.
type operated struct {
	p      *program
	booted atomic.Bool // the loop takes what is to be done
}

// Ready implements admin.Process.
func (o *operated) Ready() (ready bool, why string) {
	now := o.p.now()
	if !o.p.life.Policy(now).Ready {
		return false, o.p.life.State().String()
	}
	if stands := now - o.p.loop.LastRun(); stands > o.p.limits.LoopStallThreshold {
		return false, "the event loop has not run for " + stands.String()
	}
	return true, ""
}

// Drain implements admin.Process.
func (o *operated) Drain() {
	o.p.life.Drain(o.p.now())
	o.tend()
}

// Resume implements admin.Process.
func (o *operated) Resume() bool {
	back := o.p.life.CancelDrain(o.p.now())
	o.tend()
	return back
}

// tend has the loop carry out a change of state; before it runs there is nothing to carry out.
func (o *operated) tend() {
	if o.booted.Load() {
		o.p.loop.Do(o.p.tend)
	}
}

// Called implements admin.Process.
func (o *operated) Called(method, path string, status int) {
	o.p.log.Info("operators' call", zap.String("method", method), zap.String("path", path), zap.Int("status", status))
}
