package director

import (
	"time"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// Attempts: how they are sent, given up and ended.

type attempt struct {
	req      handle.Handle
	no       int
	host, up routing.Host // up: the source; 0: none
	sent     routing.Time
	until    routing.Time // when it is given up
	deadline timer.Timer
}

// recall takes back the attempts of which nothing has been written and that news have overtaken since they were
// decided: they may wait for a connection for longer than the rules leave. The router decides anew.
func (d *Director) recall(overtaken func(*attempt, *request) bool) {
	var list []handle.Handle
	d.attempts.All(func(h handle.Handle, a *attempt) bool {
		if r, ok := d.requests.Get(a.req); ok && overtaken(a, r) {
			list = append(list, h)
		}
		return true
	})
	for _, h := range list {
		d.takeBack(h)
	}
}

// takeBack gives an attempt up if nothing of it has been written: it never ran.
func (d *Director) takeBack(h handle.Handle) {
	a, ok := d.attempts.Get(h)
	if !ok || !d.peers.CancelIfUnwritten(h) {
		return
	}
	d.Counters.AttemptsCancelledUnwritten++
	r, _ := d.requests.Get(a.req)
	d.close(h, a, r, AttemptResult{Result: routing.Abandoned})
}

// send starts an attempt. One for a request that is over never leaves.
func (d *Director) send(id uint32, host, up routing.Host, timeout time.Duration, c UpstreamRequest) {
	r, ok := d.requests.Get(handle.Handle(id))
	if !ok {
		d.Counters.UnknownActions++
		return
	}
	now := d.now()
	a := &attempt{req: r.handle, no: r.next, host: host, up: up, sent: now}
	r.next++
	a.until = r.giveUp
	if timeout > 0 {
		a.until = min(a.until, now+timeout)
	}
	h, ok := handle.Handle(0), false
	if !r.over && a.until > now {
		h, ok = d.attempts.Add(a)
	}
	if !ok {
		d.Counters.AttemptsAbandoned++
		d.outcome(r, a, AttemptResult{Result: routing.Abandoned})
		return
	}
	d.Counters.AttemptsSent++
	d.record(flightrecorder.AttemptSent, a, "")
	r.out[a.no] = h
	d.limit(h, a, r)
	c.Request, c.Timeout = &r.Request, a.until-now
	c.NonIdempotent = !repeatable(d.settings.Classes[r.Class].Idempotency)
	if up != 0 {
		c.Source = d.names[up].name
	}
	d.peers.Send(h, host, c)
}

// record keeps what happens to an attempt.
func (d *Director) record(kind flightrecorder.Kind, a *attempt, why flightrecorder.Reason) {
	d.FlightRecorder.Record(flightrecorder.Event{At: d.now(), Kind: kind, Reason: why, Request: uint32(a.req), Attempt: a.no, Host: a.host})
}

// repeatable tells whether what may have run may be sent again at all. An effect that is not known counts as one that
// must not run twice, as in the rules.
func repeatable(effect string) bool { return effect == "read_like" || effect == "idempotency_key" }

// limit sets the time at which an attempt is given up.
func (d *Director) limit(h handle.Handle, a *attempt, r *request) {
	d.agenda.Schedule(&a.deadline, a.until, func() {
		d.Counters.AttemptsTimedOut++
		result := routing.TimedOut
		if !d.peers.Cancel(h) {
			result = routing.ConnectFailed // nothing of it was written: it never ran
		}
		d.close(h, a, r, AttemptResult{Result: result})
	})
}

// cancel gives an attempt up. One of which nothing was written provably never ran.
func (d *Director) cancel(r *request, no int) {
	h, ok := r.out[no]
	if !ok {
		return
	}
	a, ok := d.attempts.Get(h)
	if !ok {
		return
	}
	d.Counters.AttemptsCancelled++
	result := routing.Cancelled
	if !d.peers.Cancel(h) {
		result = routing.Abandoned
	}
	d.close(h, a, r, AttemptResult{Result: result})
}

// Ended takes the end of an attempt from its peer. One that has ended before is dropped.
func (d *Director) AttemptEnded(h handle.Handle, e AttemptResult) {
	a, ok := d.attempts.Get(h)
	if !ok {
		d.Counters.AttemptsEndedLate++
		e.Body.Release()
		return
	}
	r, _ := d.requests.Get(a.req)
	d.close(h, a, r, e)
}

// close ends an attempt: a first OK goes to the client at once and ends the request.
func (d *Director) close(h handle.Handle, a *attempt, r *request, e AttemptResult) {
	d.agenda.Cancel(&a.deadline)
	d.attempts.Remove(h)
	delete(r.out, a.no)
	d.Counters.AttemptsEnded++
	d.record(flightrecorder.AttemptEnded, a, flightrecorder.Reason(e.Result.String()))
	d.Counters.Results[e.Result]++
	d.Counters.FillStatuses[e.FillStatus]++
	if e.Result == routing.OK && !r.over {
		d.answer(r, Response{Outcome: Served, NotModified: e.NotModified, Body: &e.Body, Reason: served})
		e.Body.Release()
		d.outcome(r, a, e)
		return
	}
	e.Body.Release()
	d.outcome(r, a, e)
}

// outcome tells the router how an attempt ended, and for the request's last one frees its slot behind it.
func (d *Director) outcome(r *request, a *attempt, e AttemptResult) {
	o := routing.Outcome{ID: uint32(r.handle), Attempt: a.no, Host: a.host, Result: e.Result,
		Elapsed: d.now() - a.sent, RequestDone: r.over, FillStatus: e.FillStatus, SourceWait: e.SourceWait, LoadReport: e.LoadReport}
	ev := event{ev: o}
	if e.Result == routing.OK && r.over {
		ev.last = r
	}
	d.post(ev)
}
