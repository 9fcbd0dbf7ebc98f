package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
)

// New returns a Router for the settings. The seed initialises the Router's random number generator. If a
// setting is invalid, the error is a *SettingError.
func New(settings Settings, seed uint64) (*Router, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.applyDefaults()
	router := &Router{
		settings:          settings,
		rng:               rand.New(rand.NewPCG(seed, 1)),
		servers:           map[Host]*serverState{},
		requests:          map[uint32]*requestState{},
		attempts:          map[uint64]*attemptState{},
		currentLocations:  map[objectKey]*contentLocation{},
		previousLocations: map[objectKey]*contentLocation{},
		purges:            map[purgeKey]purgeRecord{},
		originShield:      overload.NewOriginShield(settings.Directors),
		sites: sitehealth.New(sitehealth.Config{
			ZoneNames: settings.Zones,
			OwnZone:   settings.Zone,
			HubZone:   settings.Tiers.HubByZone[settings.Zone],
		}),
	}
	for _, class := range settings.Classes {
		objective := class.LatencyObjective.Seconds()
		router.longestObjective = max(router.longestObjective, objective)
		router.classes = append(router.classes, classStats{
			work:    overload.NewMean(objective * initialWorkFraction),
			latency: overload.NewMean(objective),
		})
	}
	return router, nil
}

// SetSiteOptions sets the options for the failover of lost sites. It must be called before the first event.
func (r *Router) SetSiteOptions(options sitehealth.Options) { r.sites.Options = options }

// SiteCounters returns the numbers of observed state changes of sites.
func (r *Router) SiteCounters() sitehealth.Counters { return r.sites.Counters }

// Handle processes an event that happened at now and returns the actions that the caller has to carry out.
// The slice is valid until the next call of Handle.
func (r *Router) Handle(now Time, event Event) []Action {
	r.now = now
	r.actions = r.actions[:0]
	if !r.started {
		r.start()
	}
	switch event := event.(type) {
	case EndpointUpdate:
		r.handleEndpointUpdate(event)
	case Request:
		r.handleRequest(event)
	case ShortenDeadline:
		r.handleShortenDeadline(event)
	case StreamStarted:
		r.handleStreamStarted(event)
	case Outcome:
		r.handleOutcome(event)
	case RequestClosed:
		r.handleRequestClosed(event)
	case TimerFired:
		r.handleTimer(event)
	case PeerMessage:
		r.handlePeerMessage(event)
	case Purge:
		r.handlePurge(event)
	}
	return r.actions
}

func (r *Router) start() {
	r.started = true
	r.emit(SetTimer{Token: tickTimer, At: r.now + tickInterval})
	if r.settings.DiscoveryMode == DiscoverySubscribe {
		r.emit(Subscribe{Enabled: true})
	}
}

func (r *Router) handleTimer(timer TimerFired) {
	switch timer.Token {
	case tickTimer:
		r.handleTick()
	case resubscribeTimer:
		r.emit(Subscribe{Enabled: true})
	default:
		r.handleRequestTimer(uint32(timer.Token))
	}
}

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// logf emits a log message, at most one in logInterval: enough messages to follow what happens, without flooding the
// log.
func (r *Router) logf(format string, args ...any) {
	if r.now < r.nextLogAt {
		return
	}
	r.nextLogAt = r.now + logInterval
	r.emit(Log{Message: fmt.Sprintf(format, args...)})
}

// logSiteChange logs a state change of a site with its evidence. It has no rate limit because these changes
// are rare.
func (r *Router) logSiteChange(change sitehealth.StateChange) { r.emit(Log{Message: change.String()}) }

// seconds converts a number of seconds to a duration.
func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
