// Package feed follows the control feed: numbered events on a TCP stream, one JSON object a line, that tell
// of members and purges. It resumes behind the last event it has after every loss, at the pace that
// internal/pacing gives.
package discovery

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/clock"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// Sink takes the feed's news; it is the director.
type Sink interface {
	UpdateEndpoints(full bool, version uint64, list []director.Endpoint)
	Purge(director.Purge)
}

// Counters count what the feed brought.
type Counters struct {
	Connects, ConnectFailures, Disconnects, SilenceTimeouts, Redirects uint64
	Lines, Events, BadLines, SkippedEndpoints                          uint64
	WatchEnds                                                          EndCounts
	RevisionBehind, FullResyncs, RetainedDrains                        uint64
}

// EndCounts count the ends of calls by kind.
type EndCounts [EndSilent + 1]uint64

// MarshalJSON names the kinds.
func (e EndCounts) MarshalJSON() ([]byte, error) {
	m := map[string]uint64{}
	for i, n := range e {
		m[WatchEnd(i).String()] = n
	}
	return json.Marshal(m)
}

// Watcher follows one feed.
type Watcher struct {
	Counters Counters
	// OnFirstConnect, where set, is called once, as the service is reached for the first time.
	OnFirstConnect func()

	limits         *config.Limits
	address        string
	dialer         eventloop.Dialer
	sink           Sink
	timers         *timer.Queue
	now            func() routing.Time
	zones          map[string]int
	kinds          map[string]int
	backoff        *Backoff
	pendingAddress string // address to go over to with the next dial; "": none
	revision       uint64 // number of the last event taken
	listVersion    uint64 // the latest list's version
	endpoints      map[string]endpointState
	serviceClock   clock.PeerClock // the service's clock, as the stamps of purges show it
	watchesBehind  int             // streams in a row whose numbers were behind ours
	resyncing      bool            // after a new start of the numbers, until the service's last event is reached
	everConnected  bool
	lastUsableLine routing.Time // the last line that could be used
	dialTime       routing.Time // when the next call is made
	active         *watch       // the one that is up and followed; nil: none
	dialing        *watch       // the one that is being dialled; nil: none
	redirecting    bool         // the operators have named another service, and it is not up yet
	silenceTimer   timer.Timer
	redialTimer    timer.Timer // the next dial
	log            *zap.Logger
}

// endpointState is what the list last told of a member, also of one that has gone.
type endpointState struct {
	state   routing.State
	sinceMS int64        // when it was started late, on the service's clock; 0: it was not
	started routing.Time // the same on our clock
}

// maxWatchesBehind is the number of streams in a row, each given FeedSilence to catch up, after which numbers that are
// behind ours are taken for a service that counts anew. They come at the pace of unfit calls: that is well over
// the time after which its news count as told, so nothing is lost by waiting, and a replica that lags is not
// mistaken for one.
const maxWatchesBehind = 5

// New returns a follower of the feed at the address, for the settings' zones and kinds.
func New(l *config.Limits, s *routing.Settings, address string, calls *Backoff, d eventloop.Dialer, sink Sink,
	a *timer.Queue, now func() routing.Time, log *zap.Logger) *Watcher {
	f := &Watcher{limits: l, address: address, backoff: calls, dialer: d, sink: sink, timers: a, now: now,
		zones: map[string]int{}, kinds: map[string]int{}, endpoints: map[string]endpointState{}, log: log}
	for i, z := range s.Zones {
		f.zones[z] = i
	}
	for i, k := range s.Kinds {
		f.kinds[k] = i
	}
	return f
}

// Bootstrap takes the events that the configuration holds.
func (f *Watcher) Bootstrap(k config.Bootstrap) error {
	f.learnServiceClock(k.Events)
	for i, e := range k.Events {
		if err := f.applyLine(e, nil); err != nil {
			return fmt.Errorf("known.events[%d]: %w", i, err)
		}
	}
	if f.revision > k.Revision {
		return fmt.Errorf("known.n: %d, but its events go to %d", k.Revision, f.revision)
	}
	f.revision = k.Revision
	return nil
}

// learnServiceClock learns the service's clock from the stamps of a backlog, before the first of its events is dated by them.
func (f *Watcher) learnServiceClock(backlog []json.RawMessage) {
	now := f.now()
	for _, text := range backlog {
		if !bytes.Contains(text, []byte(`"purge"`)) {
			continue
		}
		var l event
		if json.Unmarshal(text, &l) == nil && l.Purge != nil {
			f.serviceClock.Observe(l.Purge.serviceTime(), now)
		}
	}
}

// Start calls the feed when it is our turn, and from then on keeps it up.
func (f *Watcher) Start() {
	f.dialTime = f.backoff.FirstCall(f.now())
	f.timers.Schedule(&f.redialTimer, f.dialTime, f.dial)
}

// DialTime is when the latest call was made, or will be.
func (f *Watcher) DialTime() routing.Time { return f.dialTime }

// dial opens a stream. One that is up, because the operators have named another service, is followed until the new
// one is: what is told meanwhile counts as told, and the new service may be down or slow.
func (f *Watcher) dial() {
	if f.pendingAddress != "" {
		f.address, f.pendingAddress, f.redirecting = f.pendingAddress, "", true
	}
	f.dialing = &watch{watcher: f}
	f.dialer.Dial(f.address, f.limits.ConnectTimeout, f.dialing)
}

// Connected tells whether the feed is up.
func (f *Watcher) Connected() bool { return f.active != nil }

// EverConnected tells whether a stream has been opened since the start: what there is to tell is on its way then. Who has
// lost it since goes on by what it knows.
func (f *Watcher) EverConnected() bool { return f.everConnected }

// LastUsableLine is when the feed's last line came that could be used; 0: none has.
func (f *Watcher) LastUsableLine() routing.Time { return f.lastUsableLine }

// endWatch gives a stream, or a dial that has failed, up and calls again in its time. A stream that ends while the next
// one is being dialled is replaced by that.
func (f *Watcher) endWatch(s *watch, e WatchEnd) {
	switch s {
	case f.active:
		f.active = nil
		f.timers.Cancel(&f.silenceTimer)
		s.conn.Close()
	case f.dialing:
		f.dialing = nil
	default:
		return
	}
	f.Counters.WatchEnds[e]++
	if f.dialing != nil {
		return
	}
	now := f.now()
	at := f.backoff.NextCall(now, e)
	f.log.Info("feed lost", zap.String("feed", f.address), zap.Stringer("cause", e), zap.Duration("again_in", at-now),
		zap.Uint64("behind_event", f.revision), zap.Int("failures", f.backoff.Failures()))
	f.dialTime = at
	f.timers.Schedule(&f.redialTimer, at, f.dial)
}

// Redirect goes over to the feed at another address, behind the last event taken. All directors are told to do so
// at once: each goes when it is its turn, and follows the old feed until then. A call that was due before is made all the
// same, and told again, only the address changes: however often it is told, the next call comes no later.
func (f *Watcher) Redirect(address string) {
	due := f.pendingAddress != ""
	if address == cmp.Or(f.pendingAddress, f.address) {
		return
	}
	f.pendingAddress = address
	f.Counters.Redirects++
	if due {
		return
	}
	at := f.backoff.RedirectCall(f.now())
	if f.redialTimer.Pending() {
		at = min(at, f.dialTime)
	}
	f.dialTime = at
	f.timers.Schedule(&f.redialTimer, at, f.dial)
}

// HandlePause gives a stream that is up its time anew: while the process stood still it could not read what came.
func (f *Watcher) HandlePause() {
	if f.Connected() {
		f.resetSilenceTimer(f.active)
	}
}

// resetSilenceTimer limits the time to the next line. A feed that is cut off says nothing: only this ends it, and what
// it would have told counts as told all the same.
func (f *Watcher) resetSilenceTimer(s *watch) {
	f.timers.Schedule(&f.silenceTimer, f.now()+f.limits.WatchSilenceTimeout, func() {
		f.Counters.SilenceTimeouts++
		f.endWatch(s, s.endOnSilence())
	})
}

// watch is one connection to the feed.
type watch struct {
	watcher        *Watcher
	conn           eventloop.Conn
	partial        []byte
	productive     bool // a good line has come
	revisionBehind bool // its numbers were behind ours when last it told them
	fullResync     bool // asked for everything: its first event takes the place of all that we have
}

func (s *watch) Opened(c eventloop.Conn) {
	f := s.watcher
	if f.dialing != s {
		c.Close()
		return
	}
	if old := f.active; old != nil { // no event comes twice, or out of turn
		old.conn.Close()
	}
	s.conn = c
	f.active, f.dialing, f.redirecting = s, nil, false
	first := !f.everConnected
	f.everConnected = true
	f.Counters.Connects++
	f.resetSilenceTimer(s)
	from := f.revision
	if f.watchesBehind >= maxWatchesBehind {
		f.Counters.FullResyncs++
		f.log.Warn("feed counts anew: asking for everything", zap.String("feed", f.address), zap.Uint64("event", f.revision))
		s.fullResync, from = true, 0
	}
	sub := strconv.AppendUint([]byte("SUB "), from, 10)
	if _, err := c.Writev([][]byte{append(sub, '\n')}); err != nil {
		f.endWatch(s, EndUnusable)
	}
	if first && f.OnFirstConnect != nil {
		f.OnFirstConnect()
	}
}

// Failed is a dial's end. A connect that is refused or reset is a service that is down; one that takes too long
// is one that is crowded, or behind a cut: both suffer from being asked more.
func (s *watch) Failed(err error) {
	s.watcher.Counters.ConnectFailures++
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		s.watcher.endWatch(s, EndRefused)
		return
	}
	s.watcher.endWatch(s, EndTimedOut)
}

// Closed calls again. What the feed has to tell counts as told while it is down, so a stream that was good is
// replaced soon; one that never was, or broke off within a list, waits longer, lest a broken feed be hammered.
func (s *watch) Closed() {
	if s.watcher.active == s {
		s.watcher.Counters.Disconnects++
	}
	s.watcher.endWatch(s, s.endOnClose())
}

// endOnClose is what the end of the stream means, by itself or for a line that can't be used: it was good until then, or not.
func (s *watch) endOnClose() WatchEnd {
	if s.productive {
		return EndBroken
	}
	return EndUnusable
}

// endOnSilence is what silence on the stream means.
func (s *watch) endOnSilence() WatchEnd {
	switch {
	case s.revisionBehind:
		return EndUnusable
	case s.productive:
		return EndSilent
	}
	return EndTimedOut
}

// Data takes whole lines. A line that can't be used closes the stream, and the next one starts behind the
// last good event.
func (s *watch) Data(p []byte) error {
	for len(p) > 0 {
		if s.watcher.active != s {
			return errors.New("feed stream given up")
		}
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			if len(s.partial)+len(p) > s.watcher.limits.MaxWatchLineBytes {
				s.watcher.Counters.BadLines++
				return errors.New("feed line too long")
			}
			s.partial = append(s.partial, p...)
			return nil
		}
		line := p[:i]
		if len(s.partial) > 0 {
			s.partial = append(s.partial, line...)
			line = s.partial
		}
		p = p[i+1:]
		s.watcher.Counters.Lines++
		if err := s.watcher.applyLine(line, s); err != nil {
			s.watcher.Counters.BadLines++
			s.watcher.log.Warn("feed line can't be used", zap.String("feed", s.watcher.address), zap.Error(err))
			s.watcher.endWatch(s, s.endOnClose())
			return err
		}
		s.partial = s.partial[:0]
		if s.revisionBehind { // a sign of life, but not of news: it has until the silence is over to catch up
			continue
		}
		s.watcher.resetSilenceTimer(s)
		s.productive, s.watcher.lastUsableLine = true, s.watcher.now()
		if !s.watcher.redirecting { // what the old service tells says nothing of calls of the new one
			s.watcher.backoff.RecordUsableLine(s.watcher.now())
		}
	}
	return nil
}

// event is an event, or with a number only the sign of life.
type event struct {
	Revision *uint64         `json:"n"`
	Members  *endpointUpdate `json:"members"`
	Purge    *purgeNotice    `json:"purge"`
}

type endpointUpdate struct {
	Version   uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

type purgeNotice struct {
	Key    string `json:"key"`
	Group  *int   `json:"group"`
	MadeAt int64  `json:"at"`
}

// applyLine reads one line and hands its event on. Events must come without a gap where they come on a stream (s not
// nil); what is known already is passed over.
func (f *Watcher) applyLine(text []byte, s *watch) error {
	if n, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64); err == nil {
		return f.heartbeat(n, s)
	}
	var l event
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("line %.80q: %w", text, err)
	}
	anew := s != nil && s.fullResync
	switch {
	case l.Revision == nil:
		return fmt.Errorf("line %.80q has no number", text)
	case l.Members == nil && l.Purge == nil:
		return f.heartbeat(*l.Revision, s)
	case anew && (*l.Revision != 1 || l.Members == nil || !l.Members.Snapshot):
		return fmt.Errorf("event %d, asked for everything: want event 1 with a whole list", *l.Revision)
	case anew:
	case *l.Revision <= f.revision:
		return nil
	case s != nil && *l.Revision != f.revision+1:
		return fmt.Errorf("event %d after %d", *l.Revision, f.revision)
	}
	if l.Members != nil {
		list, err := f.parseEndpoints(l.Members)
		if err != nil {
			return fmt.Errorf("event %d: %w", *l.Revision, err)
		}
		f.resyncing = f.resyncing || anew
		f.applyEndpoints(l.Members, list)
	}
	if l.Purge != nil {
		if s != nil { // a backlog's stamps are known
			f.serviceClock.Observe(l.Purge.serviceTime(), f.now())
		}
		if err := f.applyPurge(l.Purge); err != nil {
			return fmt.Errorf("event %d: %w", *l.Revision, err)
		}
	}
	if s != nil {
		s.fullResync, s.revisionBehind = false, false
		f.watchesBehind = 0
	}
	f.revision = *l.Revision
	f.Counters.Events++
	return nil
}

// applyEndpoints hands a list on. After a new start of the numbers it may be older than what we know: then a member that
// was draining or gone stays so, as long as it has not been started anew, and the lack of one says nothing.
func (f *Watcher) applyEndpoints(m *endpointUpdate, list []director.Endpoint) {
	full := m.Snapshot || f.revision == 0
	if f.resyncing && m.Version < f.listVersion {
		full = false
	}
	kept := list[:0]
	for _, e := range list {
		known, ok := f.endpoints[e.Name]
		if f.resyncing && ok && known.state != routing.Ready && e.State == routing.Ready && e.StartedUnixMilli <= known.sinceMS {
			f.Counters.RetainedDrains++
			if known.state == routing.Gone {
				continue
			}
			e.State = known.state
		}
		kept = append(kept, e)
	}
	if full {
		clear(f.endpoints)
	}
	for _, e := range kept {
		if len(f.endpoints) >= 2*f.limits.MaxMembers {
			maps.DeleteFunc(f.endpoints, func(_ string, s endpointState) bool { return s.state == routing.Gone })
		}
		f.endpoints[e.Name] = endpointState{e.State, e.StartedUnixMilli, e.Started}
	}
	f.listVersion = max(f.listVersion, m.Version)
	f.sink.UpdateEndpoints(full, m.Version, kept)
}

// heartbeat takes a line with only the last number. One that is behind ours comes from a service that lags, or was
// put back: what it tells next is not what comes next for us.
func (f *Watcher) heartbeat(n uint64, s *watch) error {
	switch {
	case s == nil || s.fullResync:
		return nil
	case n > f.revision:
		return fmt.Errorf("feed is at %d, but %d came last", n, f.revision)
	case n == f.revision:
		s.revisionBehind, f.watchesBehind, f.resyncing = false, 0, false
	case !s.revisionBehind:
		s.revisionBehind = true
		f.watchesBehind++
		f.Counters.RevisionBehind++
		f.log.Warn("feed is behind", zap.String("feed", f.address), zap.Uint64("at_event", n), zap.Uint64("event", f.revision))
	}
	return nil
}

func (f *Watcher) parseEndpoints(m *endpointUpdate) ([]director.Endpoint, error) {
	if len(m.Endpoints) > f.limits.MaxMembers {
		return nil, fmt.Errorf("%d members, %d at most", len(m.Endpoints), f.limits.MaxMembers)
	}
	list := make([]director.Endpoint, 0, len(m.Endpoints))
	for i, e := range m.Endpoints {
		d := director.Endpoint{Name: e.Name, Address: e.Address, StartedUnixMilli: e.SinceMS}
		d.Weight, d.Cell, d.Started = e.Weight, e.Group, f.startTime(e)
		switch e.Status {
		case "ready":
			d.State = routing.Ready
		case "draining":
			d.State = routing.Draining
		case "gone":
			d.State = routing.Gone
		default:
			return nil, fmt.Errorf("endpoints[%d].status: %.40q", i, e.Status)
		}
		if e.Name == "" || len(e.Name) > 64 || bytes.ContainsAny([]byte(e.Name), ",=\r\n ") {
			return nil, fmt.Errorf("endpoints[%d].name: %.40q", i, e.Name)
		}
		if _, err := netip.ParseAddrPort(e.Address); err != nil && d.State != routing.Gone {
			return nil, fmt.Errorf("endpoints[%d].address: %.40q", i, e.Address)
		}
		var zone, kind bool
		d.Zone, zone = f.zones[e.Zone]
		d.Kind, kind = f.kinds[e.Type]
		if d.State != routing.Gone && (!zone || !kind) {
			f.Counters.SkippedEndpoints++ // of a place or kind that the settings do not know: nothing goes there
			continue
		}
		list = append(list, d)
	}
	return list, nil
}

// startTime is when a member was started late, on our clock; 0: it was not. The same start keeps the same time, whatever is
// learnt of the service's clock meanwhile: another time would be another life of the member.
func (f *Watcher) startTime(e endpoint) routing.Time {
	if e.SinceMS == 0 {
		return 0
	}
	if known, ok := f.endpoints[e.Name]; ok && known.sinceMS == e.SinceMS {
		return known.started
	}
	return f.serviceClock.Local(routing.Time(e.SinceMS) * routing.Time(time.Millisecond))
}

// serviceTime is when the purge was made, on the service's clock.
func (p *purgeNotice) serviceTime() routing.Time {
	return routing.Time(p.MadeAt) * routing.Time(time.Millisecond)
}

func (f *Watcher) applyPurge(p *purgeNotice) error {
	told := director.Purge{RemoteIssuedAt: p.serviceTime(), IssuedAt: f.serviceClock.Local(p.serviceTime())}
	if p.Group != nil {
		told.Group = *p.Group
	}
	if p.Key != "" || p.Group == nil {
		object, err := strconv.ParseUint(p.Key, 16, 64)
		if err != nil {
			return fmt.Errorf("purge.key: %.40q", p.Key)
		}
		told.ObjectKey = object
	}
	f.sink.Purge(told)
	return nil
}
