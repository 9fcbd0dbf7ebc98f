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
func New(settings Settings, seed uint64) (*Router, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.applyDefaults()
	router := &Router{settings: settings, rng: rand.New(rand.NewPCG(seed, 1)), servers: map[Host]*serverState{},
		requests: map[uint32]*requestState{}, attempts: map[uint64]*attemptState{},
		currentLocations: map[objectKey]*contentLocation{}, previousLocations: map[objectKey]*contentLocation{},
		purges: map[purgeKey]purgeRecord{}, originShield: overload.NewOriginShield(settings.Directors),
		sites: sitehealth.New(sitehealth.Config{ZoneNames: settings.Zones, OwnZone: settings.Zone, HubZone: settings.Tiers.HubByZone[settings.Zone]})}
	for _, class := range settings.Classes { // sending is a part of the aim, or nothing would be in time
		objective := class.LatencyObjective.Seconds()
		router.longestObjective = max(router.longestObjective, objective)
		router.classes = append(router.classes, classStats{overload.NewMean(objective * initialWorkFraction), overload.NewMean(objective)})
	}
	return router, nil
}

// Handle takes one event and returns the actions; the slice is valid until the next call.
func (r *Router) Handle(now Time, event Event) []Action {
	r.now, r.actions = now, r.actions[:0]
	if !r.started {
		r.started = true
		r.emit(SetTimer{Token: tickTimer, At: now + tickInterval})
		if r.settings.DiscoveryMode == "subscribe" {
			r.emit(Subscribe{Enabled: true})
		}
	}
	switch e := event.(type) {
	case EndpointUpdate:
		r.handleEndpointUpdate(e)
	case Request:
		e.Class = min(max(e.Class, 0), len(r.settings.Classes)-1)
		request := &requestState{Request: e, receivedAt: now, location: r.recordUse(objectKey{e.Object, e.Part})}
		if rate := r.settings.Tiers.TransferKBPerSecond; rate > 0 {
			request.declaredWork = e.SizeKB / rate
		}
		request.uncacheable = e.Write || r.settings.Tiers.Uncacheable[e.Class]
		r.requests[e.ID] = request
		r.hedgeTokens = min(r.hedgeTokens+hedgeTokensPerRequest, maxHedgeTokens)
		r.retryBudget.RecordRequest(r.now)
		r.advance(request)
	case StreamStarted:
		if request := r.requests[e.ID]; request != nil {
			request.streaming = true
		}
	case Outcome:
		r.handleOutcome(e)
	case RequestClosed:
		if request := r.requests[e.ID]; request != nil {
			r.forgetRequest(request)
		}
	case ShortenDeadline:
		if request := r.requests[e.ID]; request != nil {
			request.Deadline = min(request.Deadline, e.Deadline)
		}
	case TimerFired:
		switch request := r.requests[uint32(e.Token)]; {
		case e.Token == tickTimer:
			r.handleTick()
		case e.Token == resubscribeTimer:
			r.emit(Subscribe{Enabled: true})
		case request != nil && request.waiting:
			request.waiting, request.shieldDecided, request.shielded = false, false, false
			request.avoidTargets, request.minSourceTier = request.avoidTargets[:0], min(request.minSourceTier, parentTier)
			r.advance(request)
		}
	case PeerMessage:
		r.handlePeerMessage(e)
	case Purge:
		r.handlePurge(e)
	}
	return r.actions
}

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// logf writes at most one line a second: enough to follow, too little to flood.
func (r *Router) logf(format string, args ...any) {
	if r.now >= r.nextLogAt {
		r.nextLogAt = r.now + time.Second
		r.emit(Log{Message: fmt.Sprintf(format, args...)})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// SetSiteOptions sets what is done when whole sites are lost. It must be called before the first event.
func (r *Router) SetSiteOptions(options sitehealth.Options) { r.sites.Options = options }

// SiteCounters counts what was seen of whole sites.
func (r *Router) SiteCounters() sitehealth.Counters { return r.sites.Counters }

// logSiteChange logs every change of a site's state with its evidence; these are rare.
func (r *Router) logSiteChange(change sitehealth.StateChange) { r.emit(Log{Message: change.String()}) }
