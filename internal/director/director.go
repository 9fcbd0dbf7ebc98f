// Package director runs a routing.Router for one process. It converts the input from the client side, the upstream side
// and service discovery into events for the router, and performs the actions that the router returns. It does not
// depend on any protocol or socket: requests come in through Submit, and each gets one response through its Replier.
// Any number of protocols can therefore share the decisions of one router.
//
// Requests and attempts are identified by generational handles, so that a late result for a removed attempt can't be
// taken for the result of another attempt. Every request has a deadline, which the router enforces. If the router fails
// to enforce it, a guard timer ends the request.
//
// All code of this package runs on the event loop. Nothing is safe for concurrent use.
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

// Config holds the settings and dependencies of a Director. The Director keeps references to Settings and Limits, not
// copies.
type Config struct {
	Settings *routing.Settings
	Seed     uint64 // seed of the router's random numbers
	Limits   *config.Limits
	Timers   *timer.Queue
	Now      func() routing.Time
	Log      *zap.Logger

	// RejectUntil, if set, reports whether requests are currently rejected, and the time until which rejected clients
	// should wait before a retry.
	RejectUntil func() (until routing.Time, reject bool)
	// CheckForPause, if set, is called for each incoming request. It calls Suspend if the process was paused just
	// before.
	CheckForPause func()
	// FlightRecorder records the events of requests and attempts; nil: no events are recorded.
	FlightRecorder *flightrecorder.Recorder
	// Executions remembers the requests that a server may have executed. If it is nil, none are remembered.
	Executions ExecutionLog
	// Admission, if set, limits the requests in flight after a start or a long pause.
	Admission *overload.Admission
}

// ExecutionLog remembers references of requests that must not be executed again.
type ExecutionLog interface {
	// Claim adds a reference and reports whether it was not in the log.
	Claim(reference string) bool
	// Release removes a reference that was claimed.
	Release(reference string)
}

// Director passes events to one routing.Router and performs the actions that the router returns.
type Director struct {
	// Counters holds the numbers of requests, attempts and discovery events since the start of the process.
	Counters Counters

	router         *routing.Router
	settings       *routing.Settings
	limits         *config.Limits
	upstream       Upstream
	timers         *timer.Queue
	now            func() routing.Time
	log            *zap.Logger
	rejectUntil    func() (until routing.Time, reject bool) // nil: the process always accepts requests
	checkForPause  func()                                   // nil: no check for a pause
	flightRecorder *flightrecorder.Recorder
	admission      *overload.Admission // nil: all requests are admitted
	executions     ExecutionLog        // nil: no executions are remembered

	requests     *handle.Table[*openRequest]
	attempts     *handle.Table[*activeAttempt]
	incarnations map[routing.Host]incarnation // of the endpoints in the endpoint list

	// shutdownDeadline is the time by which every request must be answered, because the process ends soon after it; 0:
	// no shutdown is in progress.
	shutdownDeadline routing.Time

	pendingEvents []queuedEvent
	dispatching   bool // the router's actions are being performed
	suspended     bool // the router gets discovery events only
	// pauseDuration is the longest time that a request read now may have waited unread while the process was paused; 0:
	// no pause is being handled.
	pauseDuration time.Duration
}

// New returns a Director. SetUpstream must be called before its first event. New returns the error of routing.New if
// the settings are invalid.
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
		executions:     cfg.Executions,
		requests:       handle.NewTable[*openRequest](cfg.Limits.MaxOpenRequests),
		attempts:       handle.NewTable[*activeAttempt](handle.MaxEntries),
		incarnations:   map[routing.Host]incarnation{},
	}, nil
}

// SetUpstream sets the Upstream that sends the attempts. It must be called before the first event. The Upstream is not
// part of Config because it is created with a reference to the Director, to which it reports the ends of attempts.
func (d *Director) SetUpstream(upstream Upstream) { d.upstream = upstream }

// SetSiteOptions sets how the router handles the loss of whole sites. It must be called before the first event.
func (d *Director) SetSiteOptions(options sitehealth.Options) { d.router.SetSiteOptions(options) }

// SiteCounters returns the counters of site health.
func (d *Director) SiteCounters() sitehealth.Counters { return d.router.SiteCounters() }

// OpenRequests returns the number of requests that occupy a slot: those that have not been answered, and those whose
// end the router has not handled yet.
func (d *Director) OpenRequests() int { return d.requests.Len() }

// FreeRequests returns the number of further requests for which there is a slot.
func (d *Director) FreeRequests() int { return d.limits.MaxOpenRequests - d.requests.Len() }
