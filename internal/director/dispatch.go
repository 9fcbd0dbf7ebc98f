package director

import (
	"time"

	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// queuedEvent is an event for the router, and the request to release once the router has seen it; nil: none.
type queuedEvent struct {
	event   routing.Event
	release *request
}

// postEvent gives the router an event, or queues it while the router is suspended or its actions are being carried out.
//
// An action can cause the next event before it returns (an attempt that fails at once, a client connection that fails as its
// response is written), and the router's list of actions is valid only until its next event. So an event that comes
// meanwhile waits for the actions that are left.
func (d *Director) postEvent(event routing.Event) { d.enqueue(queuedEvent{event: event}) }

// postLastEvent is postEvent for the last event of a request, whose slot is released behind it.
func (d *Director) postLastEvent(event routing.Event, r *request) {
	d.enqueue(queuedEvent{event: event, release: r})
}

func (d *Director) enqueue(e queuedEvent) {
	d.pendingEvents = append(d.pendingEvents, e)
	if !d.dispatching && !d.suspended {
		d.dispatchEvents()
	}
}

// postDiscoveryEvent gives the router what service discovery reports, also while the other events are suspended.
func (d *Director) postDiscoveryEvent(event routing.Event) {
	if d.dispatching || !d.suspended {
		d.postEvent(event)
		return
	}
	d.handleEvent(event)
}

// dispatchEvents gives the router all events in the queue, and those that the actions add to it.
func (d *Director) dispatchEvents() {
	d.dispatching = true
	for i := 0; i < len(d.pendingEvents); i++ {
		e := d.pendingEvents[i]
		d.handleEvent(e.event)
		if e.release != nil {
			d.releaseRequest(e.release)
		}
	}
	clear(d.pendingEvents)
	d.pendingEvents = d.pendingEvents[:0]
	d.dispatching = false
}

func (d *Director) handleEvent(event routing.Event) {
	for _, action := range d.router.Handle(d.now(), event) {
		d.performAction(action)
	}
}

// Suspend keeps all events but those of service discovery from the router, until Resume. After a pause of the process, what
// the router knows of the servers is old, and the discovery events that would correct it are still to be read. Responses
// go to their clients all the same. A request that is read meanwhile may have waited for the whole pause, so its deadline
// is that much earlier.
func (d *Director) Suspend(pause time.Duration) {
	d.suspended = true
	d.pauseDuration = max(d.pauseDuration, pause)
	d.upstream.SuspendWrites()
}

// Resume gives the router the events that were queued since Suspend. After a long pause, requests are admitted as after a
// start from now on.
func (d *Director) Resume(longPause bool) {
	d.suspended = false
	d.pauseDuration = 0
	if d.Admission != nil && longPause {
		d.Admission.Restart(d.now())
	}
	if !d.dispatching {
		d.dispatchEvents()
	}
	d.upstream.ResumeWrites()
}

// performAction carries out an action of the router. Probes, messages to other directors and calls of discovery are counted
// and dropped: this deployment has none of them.
func (d *Director) performAction(action routing.Action) {
	switch a := action.(type) {
	case routing.Fetch:
		d.fetch(a)
	case routing.Forward:
		d.forward(a)
	case routing.Cancel:
		d.cancelByNumber(a)
	case routing.Reject:
		d.reject(a)
	case routing.Fail:
		d.fail(a)
	case routing.SetTimer:
		d.setRouterTimer(a)
	case routing.Log:
		d.log.Info(a.Message)
	default:
		d.Counters.UnknownActions++
	}
}

// fetch sends an attempt to a server that may fill a miss from the source.
func (d *Director) fetch(a routing.Fetch) {
	source := a.Source
	if source == a.Host {
		source = 0
	}
	d.sendAttempt(a.ID, a.Host, source, a.Timeout, UpstreamRequest{
		RetentionRank:        a.RetentionRank,
		FetchFlags:           a.Flags,
		MaxAge:               a.MaxAge,
		IdempotencyWindowEnd: a.IdempotencyWindowEnd,
	})
}

// forward sends an attempt to a server that fills nothing.
func (d *Director) forward(a routing.Forward) {
	d.sendAttempt(a.ID, a.Host, 0, a.Timeout, UpstreamRequest{IdempotencyWindowEnd: a.IdempotencyWindowEnd})
}

// cancelByNumber cancels an attempt, if its request is still there.
func (d *Director) cancelByNumber(a routing.Cancel) {
	if r, ok := d.requests.Get(handle.Handle(a.ID)); ok {
		d.cancelAttempt(r, a.Attempt)
	}
}

func (d *Director) reject(a routing.Reject) {
	d.respondByID(a.ID, Response{Outcome: Rejected, RetryAfter: a.RetryAfter, Reason: reasonOfRouter(a.Reason)})
}

func (d *Director) fail(a routing.Fail) {
	d.respondByID(a.ID, Response{Outcome: Failed, Reason: reasonOfRouter(a.Reason)})
}

// respondByID gives a request the response that the router has decided on.
func (d *Director) respondByID(id uint32, response Response) {
	r, ok := d.requests.Get(handle.Handle(id))
	if !ok || r.finished {
		return
	}
	d.respond(r, response)
	// The router may still cancel attempts of the request in this round, so its slot is released behind it.
	d.postLastEvent(routing.RequestClosed{ID: id}, r)
}

func (d *Director) setRouterTimer(a routing.SetTimer) {
	d.timers.ScheduleFunc(a.At, func() { d.postEvent(routing.TimerFired{Token: a.Token}) })
}
