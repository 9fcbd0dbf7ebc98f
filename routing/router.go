package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
)

// The router takes one event at a time and answers with actions.

// New returns a router for the settings, or an error that names the field that cannot work.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	s.fill()
	d := &Router{s: s, rng: rand.New(rand.NewPCG(seed, 1)), servers: map[Host]*server{},
		reqs: map[uint32]*request{}, tries: map[uint64]*attempt{},
		cur: map[objectPart]*entry{}, prev: map[objectPart]*entry{},
		purges: map[purgeKey]purge{}, shield: overload.NewOriginShield(s.Directors),
		sites: sitehealth.New(sitehealth.Config{ZoneNames: s.Zones, OwnZone: s.Zone, HubZone: s.Tiers.HubByZone[s.Zone]})}
	for _, c := range s.Classes { // sending is a part of the aim, or nothing would be in time
		aim := c.LatencyObjective.Seconds()
		d.slowest = max(d.slowest, aim)
		d.classes = append(d.classes, classStats{overload.NewMean(aim * guessWork), overload.NewMean(aim)})
	}
	return d, nil
}

// Handle takes one event and returns the actions; the slice is valid until the next call.
func (d *Router) Handle(now Time, ev Event) []Action {
	d.now, d.acts = now, d.acts[:0]
	if !d.started {
		d.started = true
		d.do(SetTimer{Token: tickTimer, At: now + tickEvery})
		if d.s.DiscoveryMode == "subscribe" {
			d.do(Subscribe{Enabled: true})
		}
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		d.members(e)
	case Request:
		e.Class = min(max(e.Class, 0), len(d.s.Classes)-1)
		r := &request{Request: e, since: now, held: d.use(objectPart{e.Object, e.Part})}
		if f := d.s.Tiers.TransferKBPerSecond; f > 0 {
			r.told = e.SizeKB / f
		}
		r.passOn = e.Write || d.s.Tiers.Uncacheable[e.Class]
		d.reqs[e.ID] = r
		d.copies = min(d.copies+copyShare, copyMost)
		d.repeats.RecordRequest(d.now)
		d.advance(r)
	case StreamStarted:
		if r := d.reqs[e.ID]; r != nil {
			r.stream = true
		}
	case Outcome:
		d.outcome(e)
	case RequestClosed:
		if r := d.reqs[e.ID]; r != nil {
			d.forget(r)
		}
	case ShortenDeadline:
		if r := d.reqs[e.ID]; r != nil {
			r.Deadline = min(r.Deadline, e.Deadline)
		}
	case TimerFired:
		switch r := d.reqs[uint32(e.Token)]; {
		case e.Token == tickTimer:
			d.tick()
		case e.Token == subscribeTimer:
			d.do(Subscribe{Enabled: true})
		case r != nil && r.waiting:
			r.waiting, r.drawn, r.shut = false, false, false
			r.avoid, r.tier = r.avoid[:0], min(r.tier, parent)
			d.advance(r)
		}
	case PeerMessage:
		d.peer(e)
	case Purge:
		d.purged(e)
	}
	return d.acts
}

func (d *Router) do(a Action) { d.acts = append(d.acts, a) }

// log writes at most one line a second: enough to follow, too little to flood.
func (d *Router) log(format string, a ...any) {
	if d.now >= d.logAt {
		d.logAt = d.now + time.Second
		d.do(Log{Message: fmt.Sprintf(format, a...)})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
