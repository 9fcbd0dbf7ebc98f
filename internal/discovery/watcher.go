package discovery

import (
	"cmp"

	"go.uber.org/zap"

	"shaleyard/internal/clock"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// maxWatchesBehind is how many watches in a row, each with WatchSilenceTimeout to catch up, may have a revision behind
// ours before the service counts as one that numbers its events anew. They follow each other at the waits after
// unusable ends, which together are well over the time after which events count as notified: nothing is lost by
// waiting, and a replica that lags is not mistaken for a service that begins anew.
const maxWatchesBehind = 5

// Sink receives the endpoint updates and purges. The director implements it.
type Sink interface {
	// UpdateEndpoints takes the whole list (full) or the entries of it that have changed, with the list's version.
	UpdateEndpoints(full bool, version uint64, list []director.Endpoint)
	// Purge takes a purge of an object or of a group.
	Purge(director.Purge)
}

// Config is what a Watcher is made of. Limits are kept, not copied.
type Config struct {
	Limits   *config.Limits
	Settings *routing.Settings // name the zones and kinds of the list's entries
	Address  string            // of the list service
	Backoff  *Backoff          // says when the service is called
	Dialer   eventloop.Dialer
	Sink     Sink
	Timers   *timer.Queue
	Now      func() routing.Time
	Log      *zap.Logger

	// OnFirstConnect, if set, is called once, when the service is connected for the first time.
	OnFirstConnect func()
}

// Watcher keeps a watch of one list service up.
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
	zones          map[string]int // index of a zone in the settings, by its name
	kinds          map[string]int // likewise of a kind of server

	// What is known of the list.
	revision       uint64 // last event that was applied
	listVersion    uint64 // latest version of the list
	endpoints      map[string]endpointState
	serviceClock   clock.PeerClock // the service's clock, as the stamps of purges show it
	watchesBehind  int             // watches in a row whose revision was behind ours
	resyncing      bool            // the service has numbered its events anew, and its latest has not been reached
	everConnected  bool            // a watch has been opened since the start
	lastUsableLine routing.Time    // when the last line came that could be used; 0: none has

	// Calls of the service.
	backoff        *Backoff
	dialTime       routing.Time // when the latest call was made, or will be
	active         *watch       // the watch that is followed; nil: none
	dialing        *watch       // the watch that is being dialled; nil: none
	pendingAddress string       // address to go over to with the next dial; "": none
	redirecting    bool         // a new address is being called and its watch is not up yet
	silenceTimer   timer.Timer  // ends the active watch
	redialTimer    timer.Timer  // makes the next call
}

// New returns a Watcher, which does nothing before Start.
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

func indexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// Start calls the service when it is this director's turn, and keeps a watch up from then on.
func (w *Watcher) Start() {
	w.scheduleDial(w.backoff.FirstCall(w.now()))
}

// DialTime is when the latest call was made, or will be.
func (w *Watcher) DialTime() routing.Time { return w.dialTime }

// Connected reports whether a watch is up.
func (w *Watcher) Connected() bool { return w.active != nil }

// EverConnected reports whether a watch has been opened since the start, so that the list has been received or is on
// its way. A director that has lost its watch since goes on with the list that it has.
func (w *Watcher) EverConnected() bool { return w.everConnected }

// LastUsableLine is when the last line came that could be used; 0 if none has.
func (w *Watcher) LastUsableLine() routing.Time { return w.lastUsableLine }

func (w *Watcher) scheduleDial(at routing.Time) {
	w.dialTime = at
	w.timers.Schedule(&w.redialTimer, at, w.dial)
}

// dial opens a watch. If one is up, because the configuration names another service now, it is followed until the new
// one is up: events it brings count as notified, and the new service may be down or slow.
func (w *Watcher) dial() {
	if w.pendingAddress != "" {
		w.address = w.pendingAddress
		w.pendingAddress = ""
		w.redirecting = true
	}
	w.dialing = &watch{watcher: w}
	w.dialer.Dial(w.address, w.limits.ConnectTimeout, w.dialing)
}

// endWatch gives up a watch, or a dial that has failed, and schedules the next call. If the next watch is being dialled
// already, that one replaces it. A watch that was given up before is ignored.
func (w *Watcher) endWatch(ended *watch, end WatchEnd) {
	switch ended {
	case w.active:
		w.active = nil
		w.timers.Cancel(&w.silenceTimer)
		_ = ended.conn.Close() // The watch has ended, however the close does.
	case w.dialing:
		w.dialing = nil
	default:
		return
	}
	w.Counters.WatchEnds[end]++
	if w.dialing != nil {
		return
	}
	now := w.now()
	at := w.backoff.NextCall(now, end)
	w.log.Info("discovery watch ended", zap.String("address", w.address), zap.Stringer("cause", end),
		zap.Duration("retry_in", at-now), zap.Uint64("revision", w.revision), zap.Int("failures", w.backoff.Failures()))
	w.scheduleDial(at)
}

// Redirect goes over to the service at another address and resumes behind the last event that was applied. All
// directors are redirected at once, so each one waits for its turn, and follows its present watch until then. A call
// that was due before is made at its time, to the new address: however often the address changes, the next call comes
// no later.
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
		at = min(at, w.dialTime)
	}
	w.scheduleDial(at)
}

// HandlePause restarts the timer of silence after a pause of the process, in which it could not read what was sent.
func (w *Watcher) HandlePause() {
	if w.Connected() {
		w.resetSilenceTimer(w.active)
	}
}

// resetSilenceTimer bounds the time to the next line of the active watch. A watch that is cut off by the network brings
// nothing, neither lines nor its end, while its events count as notified all the same.
func (w *Watcher) resetSilenceTimer(source *watch) {
	w.timers.Schedule(&w.silenceTimer, w.now()+w.limits.WatchSilenceTimeout, func() {
		w.Counters.SilenceTimeouts++
		w.endWatch(source, source.endOnSilence())
	})
}
