package director

import (
	"time"

	"shaleyard/internal/flightrecorder"
	"shaleyard/routing"
)

// Attempts: how they are sent, given up and ended.

type attempt struct {
	req      Handle
	no       int
	host, up routing.Host // up: the source; 0: none
	sent     routing.Time
	until    routing.Time // when it is given up
	deadline Entry
}

// recall takes back the attempts of which nothing has been written and that news have overtaken since they were
// decided: they may wait for a connection for longer than the rules leave. The router decides anew.
func (d *Director) recall(overtaken func(*attempt, *request) bool) {
	var list []Handle
	d.attempts.All(func(h Handle, a *attempt) bool {
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
func (d *Director) takeBack(h Handle) {
	a, ok := d.attempts.Get(h)
	if !ok || !d.peers.CancelIfUnwritten(h) {
		return
	}
	d.Counters.Recalled++
	r, _ := d.requests.Get(a.req)
	d.close(h, a, r, Ending{Result: routing.Moot})
}

// send starts an attempt. One for a request that is over never leaves.
func (d *Director) send(id uint32, host, up routing.Host, timeout time.Duration, c Call) {
	r, ok := d.requests.Get(Handle(id))
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
	h, ok := Handle(0), false
	if !r.over && a.until > now {
		h, ok = d.attempts.Add(a)
	}
	if !ok {
		d.Counters.Moot++
		d.outcome(r, a, Ending{Result: routing.Moot})
		return
	}
	d.Counters.Attempts++
	d.record(flightrecorder.AttemptSent, a, "")
	r.out[a.no] = h
	d.limit(h, a, r)
	c.Request, c.Patience = &r.Request, a.until-now
	c.Once = !repeatable(d.settings.Services[r.Class].Effect)
	if up != 0 {
		c.Up = d.names[up].name
	}
	d.peers.Send(h, host, c)
}

// record keeps what happens to an attempt.
func (d *Director) record(kind flightrecorder.Kind, a *attempt, why flightrecorder.Reason) {
	d.Flight.Record(flightrecorder.Event{At: d.now(), Kind: kind, Reason: why, Request: uint32(a.req), Attempt: a.no, Host: a.host})
}

// repeatable tells whether what may have run may be sent again at all. An effect that is not known counts as one that
// must not run twice, as in the rules.
func repeatable(effect string) bool { return effect == "read_like" || effect == "idempotency_key" }

// limit sets the time at which an attempt is given up.
func (d *Director) limit(h Handle, a *attempt, r *request) {
	d.agenda.Set(&a.deadline, a.until, func() {
		d.Counters.TimedOut++
		result := routing.TimedOut
		if !d.peers.Cancel(h) {
			result = routing.ConnectFailed // nothing of it was written: it never ran
		}
		d.close(h, a, r, Ending{Result: result})
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
	d.Counters.Cancelled++
	result := routing.Cancelled
	if !d.peers.Cancel(h) {
		result = routing.Moot
	}
	d.close(h, a, r, Ending{Result: result})
}

// Ended takes the end of an attempt from its peer. One that has ended before is dropped.
func (d *Director) AttemptEnded(h Handle, e Ending) {
	a, ok := d.attempts.Get(h)
	if !ok {
		d.Counters.LateEnds++
		e.Body.Release()
		return
	}
	r, _ := d.requests.Get(a.req)
	d.close(h, a, r, e)
}

// close ends an attempt: a first OK goes to the client at once and ends the request.
func (d *Director) close(h Handle, a *attempt, r *request, e Ending) {
	d.agenda.Drop(&a.deadline)
	d.attempts.Remove(h)
	delete(r.out, a.no)
	d.Counters.Ended++
	d.record(flightrecorder.AttemptEnded, a, flightrecorder.Reason(e.Result.String()))
	d.Counters.Results[e.Result]++
	d.Counters.Notes[e.Note]++
	if e.Result == routing.OK && !r.over {
		d.answer(r, Answer{Verdict: Served, Same: e.Same, Body: &e.Body, Why: served})
		e.Body.Release()
		d.outcome(r, a, e)
		return
	}
	e.Body.Release()
	d.outcome(r, a, e)
}

// outcome tells the router how an attempt ended, and for the request's last one frees its slot behind it.
func (d *Director) outcome(r *request, a *attempt, e Ending) {
	o := routing.Outcome{ID: uint32(r.handle), Attempt: a.no, Host: a.host, Result: e.Result,
		After: d.now() - a.sent, Settled: r.over, Note: e.Note, Waited: e.Waited, Report: e.Report}
	ev := event{ev: o}
	if e.Result == routing.OK && r.over {
		ev.last = r
	}
	d.post(ev)
}
