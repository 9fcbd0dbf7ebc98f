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
	s.applyDefaults()
	d := &Router{settings: s, rng: rand.New(rand.NewPCG(seed, 1)), servers: map[Host]*serverState{},
		requests: map[uint32]*requestState{}, attempts: map[uint64]*attemptState{},
		currentLocations: map[objectKey]*contentLocation{}, previousLocations: map[objectKey]*contentLocation{},
		purges: map[purgeKey]purgeRecord{}, originShield: overload.NewOriginShield(s.Directors),
		sites: sitehealth.New(sitehealth.Config{ZoneNames: s.Zones, OwnZone: s.Zone, HubZone: s.Tiers.HubByZone[s.Zone]})}
	for _, c := range s.Classes { // sending is a part of the aim, or nothing would be in time
		aim := c.LatencyObjective.Seconds()
		d.longestObjective = max(d.longestObjective, aim)
		d.classes = append(d.classes, classStats{overload.NewMean(aim * initialWorkFraction), overload.NewMean(aim)})
	}
	return d, nil
}

// Handle takes one event and returns the actions; the slice is valid until the next call.
func (d *Router) Handle(now Time, ev Event) []Action {
	d.now, d.actions = now, d.actions[:0]
	if !d.started {
		d.started = true
		d.emit(SetTimer{Token: tickTimer, At: now + tickInterval})
		if d.settings.DiscoveryMode == "subscribe" {
			d.emit(Subscribe{Enabled: true})
		}
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		d.handleEndpointUpdate(e)
	case Request:
		e.Class = min(max(e.Class, 0), len(d.settings.Classes)-1)
		r := &requestState{Request: e, receivedAt: now, location: d.recordUse(objectKey{e.Object, e.Part})}
		if f := d.settings.Tiers.TransferKBPerSecond; f > 0 {
			r.declaredWork = e.SizeKB / f
		}
		r.uncacheable = e.Write || d.settings.Tiers.Uncacheable[e.Class]
		d.requests[e.ID] = r
		d.hedgeTokens = min(d.hedgeTokens+hedgeTokensPerRequest, maxHedgeTokens)
		d.retryBudget.RecordRequest(d.now)
		d.advance(r)
	case StreamStarted:
		if r := d.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case Outcome:
		d.handleOutcome(e)
	case RequestClosed:
		if r := d.requests[e.ID]; r != nil {
			d.forgetRequest(r)
		}
	case ShortenDeadline:
		if r := d.requests[e.ID]; r != nil {
			r.Deadline = min(r.Deadline, e.Deadline)
		}
	case TimerFired:
		switch r := d.requests[uint32(e.Token)]; {
		case e.Token == tickTimer:
			d.handleTick()
		case e.Token == resubscribeTimer:
			d.emit(Subscribe{Enabled: true})
		case r != nil && r.waiting:
			r.waiting, r.shieldDecided, r.shielded = false, false, false
			r.avoidTargets, r.minSourceTier = r.avoidTargets[:0], min(r.minSourceTier, parentTier)
			d.advance(r)
		}
	case PeerMessage:
		d.handlePeerMessage(e)
	case Purge:
		d.handlePurge(e)
	}
	return d.actions
}

func (d *Router) emit(a Action) { d.actions = append(d.actions, a) }

// logf writes at most one line a second: enough to follow, too little to flood.
func (d *Router) logf(format string, a ...any) {
	if d.now >= d.nextLogAt {
		d.nextLogAt = d.now + time.Second
		d.emit(Log{Message: fmt.Sprintf(format, a...)})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
