// Package siteview tells, from what one director meets, how whole sites fare: a branch with its caches, a hub with its
// parents. A director meets most servers seldom, so what it knows of one is little; what it knows of all servers of a
// site together is enough to tell a site that is lost from a server that is.
//
// It does no I/O, has no clock and draws nothing: the same evidence gives the same states.
package sitehealth

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Time is the time of the caller's clock.
type Time = time.Duration

// State is how a site fares.
type State uint8

// States of a site. What a wrong one costs, and what to do at each, is in docs/site-loss.md.
const (
	Healthy     State = iota
	Degraded          // a server fails while others answer
	Lost              // its servers refuse, or the list has none left
	Unreachable       // its servers are silent: from here that is as good as lost, but they may be serving others
	Recovering        // it answers again, and gets its load back by and by
	Relapsed          // it was lost again while returning: it waits twice as long as before
	Slow              // the origin alone: it makes fills late, and a part of them is kept from it
)

// String is the state's name in logs.
func (s State) String() string {
	return [...]string{"well", "member lost", "lost", "cut off", "returning", "relapsed", "slow"}[s]
}

// unavailable tells that nothing is sent there but looks.
func (s State) unavailable() bool { return s == Lost || s == Unreachable || s == Relapsed }

// Figures of the view.
const (
	minFailedServers     = 2.0                    // servers that have failed, with none that answered between
	failedShare          = 0.5                    // and more than this part of those that are ready
	firstTimeoutWeight   = 0.5                    // of a server, that one silence counts for: an answer may be lost
	nextTimeoutWeight    = 0.25                   // and each further one
	failureMaxAge        = 5 * time.Second        // after which a failure counts no more
	minStateTime         = time.Second            // in a state, before a site may leave it for a better one
	defaultRecoveryRate  = 0.25                   // part of a hub's objects that go back to it in a second
	remoteHoldoff        = 500 * time.Millisecond // after a loss, before an answer counts as a return; doubled by each relapse
	ownHoldoff           = 100 * time.Millisecond // and of our own branch: its load moves nowhere, so that waiting only refuses it
	maxHoldoff           = 8 * time.Second
	probeInterval        = 500 * time.Millisecond // between two looks at a server of our lost branch
	popularUses          = 2                      // uses of an object from which it counts as wanted
	unpopularCost        = 4.0                    // times its work that one which is not must find room for
	relapseMemory        = 20 * time.Second       // a site that was well for so long has its relapses forgotten
	initialRecoveryShare = 0.1                    // part of its load that a returning site gets at once
	recoveryResponses    = 8                      // answers in a row that a returning site must have given: no clock alone heals it
	isolationDelay       = time.Second            // nobody anywhere has answered for so long while several sites were asked: it is us
	isolationMinSites    = 2
	originSlowBelow      = 0.5 // part of the fills that go on to the origin, under which it is called slow
	originHealthyFrom    = 1.0 // and until when
)

// Config is what a view is made for.
type Config struct {
	ZoneNames []string // of zones
	OwnZone   int      // the director's own branch
	HubZone   int      // and the hub that it is attached to
}

// FailoverShares is what a plan says while some zones are lost: how the other hubs share the fills of our branch, by zone, and
// the part of each class's fills that are made. What is not told is shared alike, and made.
type FailoverShares struct{ HubShares, FillShares []float64 }

// PlanFunc gives advice. It is asked with the zones that are lost, and with what each zone carries when all of it is there.
type PlanFunc func(lost []int, carries []float64) FailoverShares

// Options are what an installation may set. The zero follows no plan.
type Options struct {
	// Plan, where set, is followed; else other hubs share alike.
	Plan PlanFunc
	// DiscoveryStale, where set, tells that the list service is not heard either.
	DiscoveryStale func() bool
	// ShiftRate, where set, is the part of a site's traffic that moves in a second at most, there and back. Else what a hub
	// leaves is taken up as it comes, with the origin's shield for a guard, and goes back at backRate.
	ShiftRate float64
	// MinLostTime, where set, is how long another site stays lost at the least, in place of waitFirst.
	MinLostTime time.Duration
}

// Monitor holds the states of all sites, as one director sees them. It is not safe for concurrent use.
type Monitor struct {
	Options // set before the first event

	config        Config
	weightFactors []float64 // by zone: what the weight of its parents counts
	shares        FailoverShares
	sharesCurrent bool // it is for what the sites' askedLost and askedCarries hold
	sites         []site
	lastResponse  Time // the last answer from anybody
	firstFailure  Time // the first failure since then
	isolated      bool
	originState   State
	isolatedSince Time
	changes       []StateChange
	Counters      Counters
}

// Counters count changes of state.
type Counters struct{ Losses, Unreachable, RecoveriesStarted, Relapses, Recoveries, Isolations, OriginSlowdowns uint64 }

// StateChange is one change of a site's state, with its evidence.
type StateChange struct {
	Site     string // "": the director itself
	From, To State
	Evidence string
}

// String is the change as a line of the log.
func (c StateChange) String() string {
	if c.Site == "" {
		if c.To.unavailable() {
			return "we are cut off: " + c.Evidence
		}
		return "we are cut off no more: " + c.Evidence
	}
	return fmt.Sprintf("site %s: %v, was %v: %s", c.Site, c.To, c.From, c.Evidence)
}

type site struct {
	members      []*Member
	state        State
	since        Time
	lastResponse Time // the last answer
	responses    int  // answers since it began to return
	holdoff      time.Duration
	everReady    bool    // it has had members
	restarted    bool    // some of what returns has started anew: it is cold and empty, and gets its load by and by
	capacity     float64 // weight of all of its servers when most of them were there

	plannedLost     bool // what the plan was asked with last
	plannedCapacity float64
}

// Member is a server, as the view knows it. Its zero is none, and takes any evidence.
type Member struct {
	monitor      *Monitor
	zone         int
	weight       float64
	ready        bool // listed as ready
	started      Time
	lastResponse Time
	lastRefusal  Time // 0: not since it answered last
	lastTimeout  Time
	timeouts     int // in a row
}

// New returns a view in which all is well.
func New(c Config) *Monitor {
	v := &Monitor{config: c, sites: make([]site, max(len(c.ZoneNames), c.OwnZone+1, c.HubZone+1)), weightFactors: make([]float64, max(len(c.ZoneNames), c.OwnZone+1, c.HubZone+1))}
	v.weightFactors[c.HubZone] = 1
	return v
}

// UpdateMember takes a server, or what the list now tells of it. The list is late, so that what it says of a server's start is
// news only if that is a start which was not known.
func (v *Monitor) UpdateMember(now Time, m *Member, zone int, weight float64, up bool, started Time) *Member {
	if zone < 0 || zone >= len(v.sites) {
		return m
	}
	s := &v.sites[zone]
	anew := up && started != 0 && (m == nil || started != m.started)
	switch {
	case m == nil:
		m = &Member{monitor: v, zone: zone}
		s.members = append(s.members, m)
	case started != m.started:
		m.lastRefusal, m.lastTimeout, m.timeouts, m.lastResponse = 0, 0, 0, 0
	}
	m.weight, m.ready, m.started = weight, up, started
	sum := 0.0
	for _, o := range s.members {
		if o.ready {
			sum += o.weight
		}
	}
	s.capacity = max(s.capacity, sum)
	if anew && s.state.unavailable() && now >= s.since+s.holdoff {
		// It counts as a sign of life of a site that is lost, but not as an answer.
		v.transition(now, zone, Recovering, "the list has a new server")
	}
	s.restarted = s.restarted || (anew && (s.state.unavailable() || s.state == Recovering))
	s.everReady = s.everReady || up
	return m
}

// Remove takes a server away, which the list no longer has.
func (m *Member) Remove() {
	if m == nil {
		return
	}
	s := &m.monitor.sites[m.zone]
	for i, o := range s.members {
		if o == m {
			s.members = append(s.members[:i], s.members[i+1:]...)
			break
		}
	}
}

// RecordResponse: the server has said something, whatever it was.
func (m *Member) RecordResponse(now Time) {
	if m == nil {
		return
	}
	v, s := m.monitor, &m.monitor.sites[m.zone]
	m.lastResponse, m.lastRefusal, m.lastTimeout, m.timeouts = now, 0, 0, 0
	s.lastResponse = now
	s.responses++
	v.lastResponse, v.firstFailure = now, 0
	if v.isolated {
		v.isolated = false
		v.recordChange(-1, Lost, Healthy, fmt.Sprintf("%s answers after %v", v.zoneName(m.zone), now-v.isolatedSince))
		for i := range v.sites { // what was silent meanwhile was our own silence
			for _, o := range v.sites[i].members {
				o.lastTimeout, o.timeouts = 0, 0
			}
		}
	}
	if s.state.unavailable() && now >= s.since+s.holdoff {
		v.transition(now, m.zone, Recovering, "a server answers")
	}
}

// RecordRefusal: the server's machine says that nothing listens there, or its source was not reached at once.
func (m *Member) RecordRefusal(now Time) {
	if m == nil {
		return
	}
	m.lastRefusal = now
	m.monitor.noteFailure(now)
}

// RecordSourceFailure: a cache could not reach the server as its source: at once, as one that refuses, or after a wait.
func (m *Member) RecordSourceFailure(now, sent Time, quickly bool) {
	if quickly {
		m.RecordRefusal(now)
		return
	}
	m.RecordTimeout(now, sent)
}

// HasHealthyPeer tells that the server fails while another of its site does not: to take it out leaves someone in its place. A
// site of which all fail is taken out as a whole, by its state.
func (m *Member) HasHealthyPeer(now Time) bool {
	if m == nil {
		return false
	}
	for _, o := range m.monitor.sites[m.zone].members {
		if failed := max(o.lastRefusal, o.lastTimeout); o != m && o.ready && (failed == 0 || now-failed > failureMaxAge) {
			return true
		}
	}
	return false
}

// RecordTimeout: an attempt that was sent at a time is over and got nothing out of the server, though an answer was due. Where
// the server has spoken since, it was the answer that was lost.
func (m *Member) RecordTimeout(now, sent Time) {
	if m == nil || m.lastResponse > sent {
		return
	}
	m.lastTimeout = now
	m.timeouts++
	m.monitor.noteFailure(now)
}

func (v *Monitor) noteFailure(now Time) {
	if v.firstFailure == 0 {
		v.firstFailure = now
	}
}

// failureEvidence is what counts against a site: servers that have failed since anybody there answered last, each once, in the
// worth of a proven one; and how many of them are silent.
func (s *site) failureEvidence(now Time) (sum, silent float64, n int) {
	from := s.lastResponse
	if s.state == Recovering {
		from = max(from, s.since) // what was before the return says nothing of it
	}
	for _, m := range s.members {
		refused := m.lastRefusal > from && now-m.lastRefusal <= failureMaxAge
		quiet := m.lastTimeout > from && now-m.lastTimeout <= failureMaxAge
		switch {
		case refused:
			sum++
			n++
		case quiet:
			part := min(1, firstTimeoutWeight+nextTimeoutWeight*float64(m.timeouts-1))
			sum, silent = sum+part, silent+part
			n++
		}
	}
	return sum, silent, n
}

// readyMembers is the number of servers that the list has as readyMembers.
func (s *site) readyMembers() (n int) {
	for _, m := range s.members {
		if m.ready {
			n++
		}
	}
	return n
}

// Tick brings the states up to date, and tells what has changed since the last call. It is called often, some twenty
// times a second. Open is the part of the fills that go on to the origin.
func (v *Monitor) Tick(now Time, open float64, changed func(StateChange)) {
	if to := v.originState; open < originSlowBelow && to == Healthy {
		v.originState = Slow
		v.Counters.OriginSlowdowns++
		v.changes = append(v.changes, StateChange{"origin", to, Slow, fmt.Sprintf("%.2f of the fills go on to it", open)})
	} else if open >= originHealthyFrom && to == Slow {
		v.originState = Healthy
		v.changes = append(v.changes, StateChange{"origin", to, Healthy, "all fills go on to it"})
	}
	v.detectIsolation(now)
	for z := range v.sites {
		if v.sites[z].everReady {
			v.evaluate(now, z)
		}
	}
	v.updateWeightFactors(now)
	for _, c := range v.changes {
		changed(c)
	}
	v.changes = v.changes[:0]
}

// detectIsolation tells whether it is us who are cut off: nobody has answered for a while, and servers of several sites were
// asked in vain. Then no site is called lost, however silent: a director that can't see must not send all its load
// elsewhere, nor come back as from the end of the world.
func (v *Monitor) detectIsolation(now Time) {
	if v.isolated || v.firstFailure == 0 || now-max(v.firstFailure, v.lastResponse) < isolationDelay {
		return
	}
	sites, members := 0, 0
	for z := range v.sites {
		s := &v.sites[z]
		for _, m := range s.members {
			if m.lastRefusal > v.lastResponse {
				return // somebody's machine refuses: we do get through
			}
		}
		if _, silent, n := s.failureEvidence(now); silent > 0 {
			sites, members = sites+1, members+n
		}
	}
	if v.DiscoveryStale != nil && v.DiscoveryStale() {
		sites++
	}
	if sites >= isolationMinSites {
		v.isolated, v.isolatedSince = true, v.firstFailure
		v.Counters.Isolations++
		v.recordChange(-1, Healthy, Lost, fmt.Sprintf("%d servers of %d sites silent for %v, nobody answers", members, sites, now-v.firstFailure))
	}
}

func (v *Monitor) evaluate(now Time, zone int) {
	s := &v.sites[zone]
	sum, silent, n := s.failureEvidence(now)
	ready := s.readyMembers()
	need := min(max(minFailedServers, failedShare*float64(ready)+0.25), float64(max(ready, 1)))
	lost, how := false, ""
	switch {
	case ready == 0:
		lost, how = true, "the list has no server left"
	case sum >= need-1e-9 && !v.isolated:
		lost, how = true, fmt.Sprintf("%d of %d servers failed, %.1f of them silent, none answers", n, ready, silent)
	}
	worse := Lost
	if ready > 0 && silent > sum/2 {
		worse = Unreachable
	}
	switch {
	case lost && s.state == Recovering:
		s.holdoff = min(maxHoldoff, 2*s.holdoff)
		v.Counters.Relapses++
		v.transition(now, zone, Relapsed, how)
	case lost && !s.state.unavailable():
		if now-s.since > relapseMemory {
			s.holdoff = 0
		}
		s.holdoff = max(s.holdoff, v.initialHoldoff(zone))
		v.transition(now, zone, worse, how)
	case s.state == Recovering && !lost && n == 0 && s.responses >= recoveryResponses && (!s.restarted || v.recoveryShare(now, s) >= 1):
		v.Counters.Recoveries++
		v.transition(now, zone, Healthy, fmt.Sprintf("%d answers in %v", s.responses, now-s.since))
	case s.state.unavailable() && !lost && s.lastResponse > s.since && now >= s.since+s.holdoff:
		v.transition(now, zone, Recovering, "a server has answered")
	case s.state == Healthy && n > 0 && !lost:
		v.transition(now, zone, Degraded, fmt.Sprintf("%d of %d servers failed", n, ready))
	case s.state == Degraded && n == 0 && now-s.since >= minStateTime:
		v.transition(now, zone, Healthy, "none fails")
	}
}

func (v *Monitor) transition(now Time, zone int, to State, evidence string) {
	s := &v.sites[zone]
	v.recordChange(zone, s.state, to, evidence)
	switch to {
	case Lost:
		v.Counters.Losses++
	case Unreachable:
		v.Counters.Unreachable++
	case Recovering:
		v.Counters.RecoveriesStarted++
	}
	s.state, s.since, s.responses = to, now, 0
	s.restarted = s.restarted && (to == Recovering || to.unavailable())
}

func (v *Monitor) recordChange(zone int, from, to State, evidence string) {
	name := ""
	if zone >= 0 {
		name = v.zoneName(zone)
	}
	v.changes = append(v.changes, StateChange{name, from, to, evidence})
}

func (v *Monitor) zoneName(zone int) string {
	if zone >= 0 && zone < len(v.config.ZoneNames) {
		return v.config.ZoneNames[zone]
	}
	return fmt.Sprint("zone ", zone)
}

// initialHoldoff is the shortest wait of a site.
func (v *Monitor) initialHoldoff(zone int) time.Duration {
	if zone == v.config.OwnZone {
		return ownHoldoff
	}
	return cmp.Or(v.MinLostTime, remoteHoldoff)
}

// recoveryShare is the part of its load that a returning hub may have by the time since it came back.
func (v *Monitor) recoveryShare(now Time, s *site) float64 {
	return min(1, initialRecoveryShare+cmp.Or(v.ShiftRate, defaultRecoveryRate)*(now-s.since).Seconds())
}

// updateWeightFactors works out which hub pulls how much. Parents of a branch's own hub count with their weight, those of others not
// at all, but for the part that the own hub does not get: that is shared among the others as the plan says. Objects are
// placed by a hash in which these weights count, so that with each change only those objects move that have to.
func (v *Monitor) updateWeightFactors(now Time) {
	own := v.CapacityShare(now, v.config.HubZone)
	clear(v.weightFactors)
	if v.weightFactors[v.config.HubZone] = own; own >= 1 {
		v.shares, v.sharesCurrent = FailoverShares{}, false
		return
	}
	v.refreshShares()
	for z := range v.sites {
		share, carries := 1.0, v.sites[z].capacity
		if len(v.shares.HubShares) == len(v.sites) {
			share = v.shares.HubShares[z]
		}
		if z != v.config.HubZone && carries > 0 {
			v.weightFactors[z] = (1 - own) * share * v.CapacityShare(now, z) * max(v.sites[v.config.HubZone].capacity, 1) / carries
		}
	}
}

// refreshShares asks the plan, again only when what it is asked has changed: a plan takes far longer than a tick may.
func (v *Monitor) refreshShares() {
	if v.Plan == nil {
		return
	}
	same := v.sharesCurrent
	for z := range v.sites {
		s := &v.sites[z]
		// Our hub counts as lost also while it comes back: what it does not get yet goes where all of it went.
		lost := s.state.unavailable() || z == v.config.HubZone
		same = same && lost == s.plannedLost && s.capacity == s.plannedCapacity
		s.plannedLost, s.plannedCapacity = lost, s.capacity
	}
	if same {
		return
	}
	var lost []int
	carries := make([]float64, len(v.sites))
	for z := range v.sites {
		if carries[z] = v.sites[z].capacity; v.sites[z].plannedLost {
			lost = append(lost, z)
		}
	}
	v.shares, v.sharesCurrent = v.Plan(lost, carries), true
}

// WeightFactor is what the weight of a zone's parents counts for the objects of our branch; 0: they come after all others.
func (v *Monitor) WeightFactor(zone int) float64 {
	if zone < 0 || zone >= len(v.weightFactors) {
		return 0
	}
	return v.weightFactors[zone]
}

// FillShare is the part of a class's fills that may go on to the origin, by the plan and by the pace at which a lost hub's
// objects move to others, which hold none of them yet.
func (v *Monitor) FillShare(now Time, class int) float64 {
	part := 1.0
	if class < len(v.shares.FillShares) {
		part = v.shares.FillShares[class]
	}
	if s := &v.sites[v.config.HubZone]; v.ShiftRate > 0 && s.state.unavailable() {
		part = min(part, v.ShiftRate*(now-s.since).Seconds())
	}
	return part
}

// State is how a site fares, and since when.
func (v *Monitor) State(zone int) (State, Time) { return v.sites[zone].state, v.sites[zone].since }

// Isolated tells that the director itself is cut off.
func (v *Monitor) Isolated() bool { return v.isolated }

// CapacityShare is the part of its usual load that a site may get now. A site that comes back in part gets a part: as much as
// of its servers are ready and have not failed.
func (v *Monitor) CapacityShare(now Time, zone int) float64 {
	if zone < 0 || zone >= len(v.sites) {
		return 0
	}
	switch s := &v.sites[zone]; {
	case !s.everReady, s.state == Healthy, s.state == Degraded:
		return 1
	case s.state.unavailable():
		return 0
	case s.restarted:
		return min(v.recoveryShare(now, s), max(s.presentShare(now), initialRecoveryShare))
	default: // it holds what it held: to spread its objects now would have others fetch them once more
		return max(s.presentShare(now), initialRecoveryShare)
	}
}

// presentShare is the part of a site's servers, by weight, that are ready and have not failed lately.
func (s *site) presentShare(now Time) float64 {
	have, all := 0.0, 0.0
	for _, m := range s.members {
		all += m.weight
		if m.ready && (m.lastRefusal == 0 || now-m.lastRefusal > failureMaxAge) {
			have += m.weight
		}
	}
	if all == 0 {
		return 0
	}
	return have / all
}

// OwnBranchUnavailable tells that nothing can be done for the clients of our branch, as its caches are lost, or we are cut off. Looks
// go on, at all times: they tell when it is over.
func (v *Monitor) OwnBranchUnavailable() bool {
	return v.isolated || v.sites[v.config.OwnZone].state.unavailable()
}

// AdmissionCost is how many times its work a request must find room for in the cold budget of a cache of our branch. While that
// comes back, what is asked for once leaves room for what is wanted more; what runs at the origin is never held back so.
func (v *Monitor) AdmissionCost(uses int, passOn bool) float64 {
	if uses < popularUses && !passOn && v.sites[v.config.OwnZone].state == Recovering {
		return unpopularCost
	}
	return 1
}

// ProbeInterval bounds the time between two looks at a server of our branch while that is lost as a whole: what is known of
// one tells of all, so that what a look costs is worth it at any time.
func (v *Monitor) ProbeInterval() time.Duration {
	if v.OwnBranchUnavailable() {
		return probeInterval
	}
	return math.MaxInt64
}

// NextProbeIn is how long it is until a lost site can be found back: until the next look, or until an answer counts as its
// return. A client that is refused may as well stay away for that long. 0: the site is not lost.
func (v *Monitor) NextProbeIn(now Time, zone int) time.Duration {
	s := &v.sites[zone]
	if !s.state.unavailable() {
		return 0
	}
	return max(probeInterval/2, s.since+s.holdoff-now)
}
