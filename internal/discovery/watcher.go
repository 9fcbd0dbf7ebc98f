package discovery

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"shaleyard/internal/clock"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// maxWatchesBehind is a number of consecutive watches. If the service's revision stays behind the last applied one on
// that many watches, the director assumes that the service restarted its revisions at 1, and the next subscription
// requests all events. Each watch has WatchSilenceTimeout to catch up.
// Together with the waits after EndUnusable between them, this takes well over the time after which events count as
// notified. Waiting that long loses no event, and a lagging replica is not mistaken for a service that began again at
// revision 1.
const maxWatchesBehind = 5

// Sink receives the endpoint updates and purges of a Watcher. The director implements it.
type Sink interface {
	// UpdateEndpoints replaces all endpoints by the list if full is true, and otherwise updates only those in the list.
	// version is the version of the service's list.
	UpdateEndpoints(full bool, version uint64, list []director.Endpoint)
	// Purge invalidates the cached copies of an object, a group, or an object in a group.
	Purge(director.Purge)
}

// Config holds the parameters and dependencies of a Watcher.
type Config struct {
	Limits   *config.Limits    // kept as a pointer, so later changes of the limits take effect
	Settings *routing.Settings // defines the zones and kinds that list entries may have
	Address  string            // address of the discovery service
	Backoff  *Backoff          // schedules the calls to the service
	Dialer   eventloop.Dialer
	Sink     Sink
	Timers   *timer.Queue
	Now      func() routing.Time
	Log      *zap.Logger

	// OnFirstConnect, if set, is called once, when the first connection to the service is established.
	OnFirstConnect func()
}

// Watcher maintains a watch of one discovery service. While calls are overdue, it has several calls in progress.
type Watcher struct {
	Counters Counters

	limits         *config.Limits
	address        string
	dialer         eventloop.Dialer
	sink           Sink
	timers         *timer.Queue
	now            func() routing.Time
	log            *zap.Logger
	onFirstConnect func()         // nil: none
	zones          map[string]int // index of each zone in the settings, by name
	kinds          map[string]int // index of each kind of server in the settings, by name

	// State of the endpoint list and the event sequence.
	revision       uint64                   // revision of the last applied event
	listVersion    uint64                   // latest version of the list
	endpoints      map[string]endpointState // latest known states, by name of the endpoint
	serviceClock   clock.PeerClock          // offset of the service's clock, estimated from the timestamps of purges
	watchesBehind  int                      // consecutive watches with a service revision before the last applied event
	resyncing      bool                     // the service began again at revision 1; its latest one is not reached yet
	everConnected  bool                     // a watch has been opened since the start
	lastUsableLine routing.Time             // when the last usable line was received; 0: none yet

	// State of the calls to the service.
	backoff        *Backoff
	calls          []*watch     // calls in progress, oldest first; at most MaxWatchCalls
	lastDial       routing.Time // time of the latest call; 0: none yet
	nextDial       routing.Time // time of the next call, if redialTimer is pending
	pendingAddress string       // address to which the next dial switches; "": none
	redialTimer    timer.Timer  // starts the next dial when it expires
}

// New returns a Watcher that makes no call to the service before Start.
func New(cfg Config) *Watcher {
	return &Watcher{
		limits:         cfg.Limits,
		address:        cfg.Address,
		dialer:         cfg.Dialer,
		sink:           cfg.Sink,
		timers:         cfg.Timers,
		now:            cfg.Now,
		log:            cfg.Log,
		onFirstConnect: cfg.OnFirstConnect,
		backoff:        cfg.Backoff,
		zones:          indexByName(cfg.Settings.Zones),
		kinds:          indexByName(cfg.Settings.Kinds),
		endpoints:      map[string]endpointState{},
	}
}

// indexByName returns the index of each name in names.
func indexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// Start schedules the first call in this director's slot of the start window. From then on the Watcher maintains a
// watch.
func (w *Watcher) Start() {
	w.scheduleDial(w.backoff.FirstCall(w.now()))
}

// DialTime returns the time of the latest call, or of the next call if it is scheduled.
func (w *Watcher) DialTime() routing.Time {
	if w.redialTimer.Pending() {
		return w.nextDial
	}
	return w.lastDial
}

// Connected reports whether a watch is open and not overdue.
func (w *Watcher) Connected() bool {
	return slices.ContainsFunc(w.calls, func(call *watch) bool { return call.conn != nil && !call.overdue })
}

// EverConnected reports whether a watch has been opened since the start, so that the endpoint list has been received or
// is being received. A director that has lost its watch continues with the list that it has.
func (w *Watcher) EverConnected() bool { return w.everConnected }

// LastUsableLine returns when the last usable line was received, or 0 if none has been received. A line is usable if it
// was applied or ignored without an error and the service's revision is not behind the last applied event.
func (w *Watcher) LastUsableLine() routing.Time { return w.lastUsableLine }

// Redirect switches to the service at another address and resumes after the last applied event. All directors are
// redirected at once, so each one calls the new address in its own slot and keeps its current watch until then. A call
// that is already scheduled for an earlier time is made at that time, to the new address. Repeated redirects therefore
// never postpone the next call.
func (w *Watcher) Redirect(address string) {
	wasPending := w.pendingAddress != ""
	if address == cmp.Or(w.pendingAddress, w.address) {
		return
	}
	w.pendingAddress = address
	w.Counters.Redirects++
	if wasPending {
		return
	}
	at := w.backoff.RedirectCall(w.now())
	if w.redialTimer.Pending() {
		at = min(at, w.nextDial)
	}
	w.scheduleDial(at)
}

// HandlePause gives all calls that are in time their time anew after a pause of the process, during which the process
// could not read received lines.
func (w *Watcher) HandlePause() {
	for _, call := range w.calls {
		if !call.overdue {
			call.awaitProgress()
		}
	}
}
