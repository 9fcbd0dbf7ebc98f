package director

import (
	"time"

	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// queuedEvent is an event that waits for the router, with the request whose slot is released once the router has
// handled the event; nil: no request is released.
type queuedEvent struct {
	event   routing.Event
	release *openRequest
}

// postEvent passes an event to the router. While the router is suspended or its actions are being performed, the event
// is queued instead.
//
// Performing an action can cause another event before the action returns, for example if an attempt fails immediately,
// or if a client's connection fails while the response is written. The router's list of actions is valid only until the
// router handles the next event, so the next event has to wait until all actions of the list have been performed.
func (d *Director) postEvent(event routing.Event) { d.enqueue(queuedEvent{event: event}) }

// postLastEvent posts the last event of a request. The request's slot is released once the router has handled the
// event.
func (d *Director) postLastEvent(event routing.Event, request *openRequest) {
	d.enqueue(queuedEvent{event: event, release: request})
}

func (d *Director) enqueue(queued queuedEvent) {
	d.pendingEvents = append(d.pendingEvents, queued)
	if !d.dispatching && !d.suspended {
		d.dispatchEvents()
	}
}

// postDiscoveryEvent passes an event of service discovery to the router, even while other events are suspended.
func (d *Director) postDiscoveryEvent(event routing.Event) {
	if d.dispatching || !d.suspended {
		d.postEvent(event)
		return
	}
	d.handleEvent(event)
}

// dispatchEvents passes all queued events to the router, including those that are queued while actions are performed.
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

// Suspend holds back all events except those of service discovery from the router, until Resume is called. It is called
// after a pause of the process: the router's view of the servers is then outdated, and the discovery events that would
// correct it have not been read yet. Responses are still sent to clients. A request that is read before Resume may have
// waited unread for the whole pause, so its deadline is earlier by the duration of the pause.
func (d *Director) Suspend(pause time.Duration) {
	d.suspended = true
	d.pauseDuration = max(d.pauseDuration, pause)
	d.upstream.SuspendWrites()
}

// Resume passes the events that were queued since Suspend to the router. After a long pause, admission control restarts
// as after a start of the process.
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

// performAction performs an action of the router. Actions of other types, such as probes, messages to other directors
// and calls of service discovery, are only counted, because this deployment does not support them.
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

// fetch sends an attempt to a cache, which may fill a miss from the action's source. If the source is the cache itself,
// the cache does not fill a miss.
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

// forward sends an attempt to a server that needs no source, such as the origin.
func (d *Director) forward(action routing.Forward) {
	d.sendAttempt(action.ID, action.Host, 0, action.Timeout, UpstreamRequest{
		IdempotencyWindowEnd: action.IdempotencyWindowEnd,
	})
}

// cancelByNumber cancels the attempt that the action names, if its request is still open.
func (d *Director) cancelByNumber(action routing.Cancel) {
	if request, ok := d.requests.Get(handle.Handle(action.ID)); ok {
		d.cancelAttempt(request, action.Attempt)
	}
}

func (d *Director) reject(action routing.Reject) {
	d.respondByID(action.ID, Response{
		Outcome:    Rejected,
		RetryAfter: action.RetryAfter,
		Reason:     reasonFromRouter(action.Reason),
	})
}

func (d *Director) fail(action routing.Fail) {
	d.respondByID(action.ID, Response{Outcome: Failed, Reason: reasonFromRouter(action.Reason)})
}

// respondByID sends the response that the router has decided on to the client of a request. It does nothing if the
// request is finished.
func (d *Director) respondByID(id uint32, response Response) {
	request, ok := d.requests.Get(handle.Handle(id))
	if !ok || request.finished {
		return
	}
	d.respond(request, response)
	// The remaining actions of the current event may cancel attempts of the request, so its slot is released after
	// them.
	d.postLastEvent(routing.RequestClosed{ID: id}, request)
}

func (d *Director) setRouterTimer(action routing.SetTimer) {
	d.timers.ScheduleFunc(action.At, func() { d.postEvent(routing.TimerFired{Token: action.Token}) })
}
