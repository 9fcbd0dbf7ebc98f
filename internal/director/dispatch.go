package director

import (
	"time"

	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// queuedEvent is an event for the router, and the request to release once the router has seen it; nil: none.
type queuedEvent struct {
	event   routing.Event
	release *openRequest
}

// postEvent gives the router an event, or queues it while the router is suspended or its actions are being carried out.
//
// An action can cause the next event before it returns (an attempt that fails at once, a client connection that fails
// as its response is written), and the router's list of actions is valid only until its next event. So an event that
// comes meanwhile waits for the actions that are left.
func (d *Director) postEvent(event routing.Event) { d.enqueue(queuedEvent{event: event}) }

// postLastEvent is postEvent for the last event of a request, whose slot is released behind it.
func (d *Director) postLastEvent(event routing.Event, request *openRequest) {
	d.enqueue(queuedEvent{event: event, release: request})
}

func (d *Director) enqueue(queued queuedEvent) {
	d.pendingEvents = append(d.pendingEvents, queued)
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
		queued := d.pendingEvents[i]
		d.handleEvent(queued.event)
		if queued.release != nil {
			d.releaseRequest(queued.release)
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

// Suspend keeps all events but those of service discovery from the router, until Resume. After a pause of the process,
// what the router knows of the servers is old, and the discovery events that would correct it are still to be read.
// Responses go to their clients all the same. A request that is read meanwhile may have waited for the whole pause, so
// its deadline is that much earlier.
func (d *Director) Suspend(pause time.Duration) {
	d.suspended = true
	d.pauseDuration = max(d.pauseDuration, pause)
	d.upstream.SuspendWrites()
}

// Resume gives the router the events that were queued since Suspend. After a long pause, requests are admitted as after
// a start from now on.
func (d *Director) Resume(longPause bool) {
	d.suspended = false
	d.pauseDuration = 0
	if d.admission != nil && longPause {
		d.admission.Restart(d.now())
	}
	if !d.dispatching {
		d.dispatchEvents()
	}
	d.upstream.ResumeWrites()
}

// performAction carries out an action of the router. Probes, messages to other directors and calls of discovery are
// counted and dropped: this deployment has none of them.
func (d *Director) performAction(action routing.Action) {
	switch action := action.(type) {
	case routing.Fetch:
		d.fetch(action)
	case routing.Forward:
		d.forward(action)
	case routing.Cancel:
		d.cancelByNumber(action)
	case routing.Reject:
		d.reject(action)
	case routing.Fail:
		d.fail(action)
	case routing.SetTimer:
		d.setRouterTimer(action)
	case routing.Log:
		d.log.Info(action.Message)
	default:
		d.Counters.UnknownActions++
	}
}

// fetch sends an attempt to a server that may fill a miss from the source.
func (d *Director) fetch(action routing.Fetch) {
	source := action.Source
	if source == action.Host {
		source = 0
	}
	d.sendAttempt(action.ID, action.Host, source, action.Timeout, UpstreamRequest{
		RetentionRank:        action.RetentionRank,
		FetchFlags:           action.Flags,
		MaxAge:               action.MaxAge,
		IdempotencyWindowEnd: action.IdempotencyWindowEnd,
	})
}

// forward sends an attempt to a server that fills nothing.
func (d *Director) forward(action routing.Forward) {
	d.sendAttempt(action.ID, action.Host, 0, action.Timeout, UpstreamRequest{
		IdempotencyWindowEnd: action.IdempotencyWindowEnd,
	})
}

// cancelByNumber cancels an attempt, if its request is still there.
func (d *Director) cancelByNumber(action routing.Cancel) {
	if request, ok := d.requests.Get(handle.Handle(action.ID)); ok {
		d.cancelAttempt(request, action.Attempt)
	}
}

func (d *Director) reject(action routing.Reject) {
	d.respondByID(action.ID, Response{
		Outcome:    Rejected,
		RetryAfter: action.RetryAfter,
		Reason:     reasonOfRouter(action.Reason),
	})
}

func (d *Director) fail(action routing.Fail) {
	d.respondByID(action.ID, Response{Outcome: Failed, Reason: reasonOfRouter(action.Reason)})
}

// respondByID gives a request the response that the router has decided on.
func (d *Director) respondByID(id uint32, response Response) {
	request, ok := d.requests.Get(handle.Handle(id))
	if !ok || request.finished {
		return
	}
	d.respond(request, response)
	// The router may still cancel attempts of the request in this round, so its slot is released behind it.
	d.postLastEvent(routing.RequestClosed{ID: id}, request)
}

func (d *Director) setRouterTimer(action routing.SetTimer) {
	d.timers.ScheduleFunc(action.At, func() { d.postEvent(routing.TimerFired{Token: action.Token}) })
}
