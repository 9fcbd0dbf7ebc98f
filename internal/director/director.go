// Package director drives the decisions of package routing for one process. It turns what the client side, the
// upstream side and service discovery report into events of a routing.Router, and carries out the actions that the
// router answers with. It knows no protocol and no socket: requests come in through Submit, and each gets one response
// through its Replier, so that any number of protocols can share the same decisions.
//
// A request and each of its attempts is known by a generational handle, so that a result that comes late finds nothing.
// Every request has a deadline, which the router enforces; a guard timer enforces it if the router should fail to.
//
// Everything here runs on the event loop; nothing is safe for concurrent use.
package director

import (
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// Config is what a Director is made of. Settings and Limits are kept, not copied.
type Config struct {
	Settings *routing.Settings
	Seed     uint64 // of the router's random draws
	Limits   *config.Limits
	Timers   *timer.Queue
	Now      func() routing.Time
	Log      *zap.Logger

	// RejectUntil, where set, tells whether requests are rejected for now, and until when clients should stay away.
	RejectUntil func() (until routing.Time, closed bool)
	// CheckForPause, where set, is called as a request comes in. It calls Suspend if the process has just stood still.
	CheckForPause func()
	// FlightRecorder keeps what happens to requests and attempts; nil: nothing is kept.
	FlightRecorder *flightrecorder.Recorder
	// Admission, where set, limits the requests in flight after a start or a long pause.
	Admission *overload.Admission
}

// Director drives one router.
type Director struct {
	// Counters count requests, attempts and discovery events since the start.
	Counters Counters

	router         *routing.Router
	settings       *routing.Settings
	limits         *config.Limits
	upstream       Upstream
	timers         *timer.Queue
	now            func() routing.Time
	log            *zap.Logger
	rejectUntil    func() (until routing.Time, closed bool) // nil: requests are never rejected so
	checkForPause  func()                                   // nil: no pause is noticed as a request comes in
	flightRecorder *flightrecorder.Recorder
	admission      *overload.Admission // nil: all are admitted

	requests     *handle.Table[*openRequest]
	attempts     *handle.Table[*activeAttempt]
	incarnations map[routing.Host]incarnation // of the endpoints that are listed

	// shutdownDeadline is when every request must have been answered, as the process ends soon after; 0: it goes on.
	shutdownDeadline routing.Time

	pendingEvents []queuedEvent
	dispatching   bool // the router's actions are being carried out
	suspended     bool // the router is given discovery events only
	// pauseDuration is how long what is read now may have waited unread while the process stood still.
	pauseDuration time.Duration
}

// New returns a director, which needs SetUpstream before its first event. It fails if the router does not accept the
// settings.
func New(cfg Config) (*Director, error) {
	router, err := routing.New(*cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &Director{
		router:         router,
		settings:       cfg.Settings,
		limits:         cfg.Limits,
		timers:         cfg.Timers,
		now:            cfg.Now,
		log:            cfg.Log,
		rejectUntil:    cfg.RejectUntil,
		checkForPause:  cfg.CheckForPause,
		flightRecorder: cfg.FlightRecorder,
		admission:      cfg.Admission,
		requests:       handle.NewTable[*openRequest](cfg.Limits.MaxOpenRequests),
		attempts:       handle.NewTable[*activeAttempt](handle.MaxEntries),
		incarnations:   map[routing.Host]incarnation{},
	}, nil
}

// SetUpstream sets where attempts are sent. It must be called before the first event. It is not in Config because the
// upstream side needs the Director when it is made: it reports the ends of attempts to it.
func (d *Director) SetUpstream(upstream Upstream) { d.upstream = upstream }

// SetSiteOptions sets what the router does when whole sites are lost. It must be called before the first event.
func (d *Director) SetSiteOptions(options sitehealth.Options) { d.router.SetSiteOptions(options) }

// SiteCounters returns the counters of the health of whole sites.
func (d *Director) SiteCounters() sitehealth.Counters { return d.router.SiteCounters() }

// OpenRequests returns the number of requests that hold a slot: those not answered yet, and those of which the router
// has not seen the end.
func (d *Director) OpenRequests() int { return d.requests.Len() }
