package testbed

import "time"

// fillTimeout is for how long a fill waits for a source that says nothing.
const fillTimeout = time.Second

// Cache status words of the cache protocol.
const (
	statusHit        = "HIT"
	statusMiss       = "MISS" // filled from a copy of the source
	statusMissOrigin = "MISS_ORIGIN"
	statusCollapsed  = "COLLAPSED"
	statusNoFill     = "NO_FILL"
	statusUpDown     = "UP_DOWN"
	statusUpBusy     = "UP_BUSY"
	statusUpMiss     = "UP_MISS"
	statusOriginErr  = "ORIGIN_ERR"
)

// lookupResult is what a server makes of a request.
type lookupResult struct {
	word   string // of the answer
	status string // cache status; empty: none
	copy   cachedCopy
}

// fill is a fetch of an object under way; others may wait for it.
type fill struct {
	done   chan struct{}
	ok     bool
	status string
	copy   cachedCopy
}

// lookUp finds the object here or fills it from the source that the request names.
func (s *server) lookUp(request serverRequest) lookupResult {
	if s.tier == originTier {
		return s.runAtOrigin(request)
	}
	if request.class == classRepayment {
		return s.forwardWrite(request)
	}
	s.mu.Lock()
	if held, ok := s.cached[request.key()]; ok && time.Since(held.since) < request.maxAge {
		s.mu.Unlock()
		return lookupResult{word: wordOK, status: statusHit, copy: held}
	}
	underWay := s.fillsInFlight[request.key()]
	if underWay != nil && s.spec.CoalescesFills && (request.mayCoalesce || s.tier == parentTier) {
		s.mu.Unlock()
		return underWay.await(request.maxAge)
	}
	source := s.testbed.serverNamed(request.source)
	switch {
	case source == nil:
		s.mu.Unlock()
		if underWay != nil {
			return lookupResult{word: wordMiss, status: statusCollapsed}
		}
		return lookupResult{word: wordMiss}
	case s.spec.FillSlots > 0 && s.activeFills >= s.spec.FillSlots:
		s.mu.Unlock()
		return lookupResult{word: wordBusy, status: statusNoFill}
	}
	f := &fill{done: make(chan struct{})}
	s.activeFills++
	s.fillsInFlight[request.key()] = f
	s.mu.Unlock()
	return s.runFill(f, source, request)
}

// forwardWrite passes a write on to the source.
func (s *server) forwardWrite(request serverRequest) lookupResult {
	source := s.testbed.serverNamed(request.source)
	if source == nil {
		return lookupResult{word: wordMiss}
	}
	s.testbed.history.record(
		Event{Kind: "source", Who: source.name, Director: directorName(request.director), Ref: request.ref},
	)
	return source.lookUp(request)
}

// await waits for a fill under way.
func (f *fill) await(maxAge time.Duration) lookupResult {
	<-f.done
	if !f.ok || time.Since(f.copy.since) >= maxAge {
		return lookupResult{word: wordMiss, status: statusUpDown}
	}
	return lookupResult{word: wordOK, status: statusCollapsed, copy: f.copy}
}

// runFill fetches the object, keeps it where it is to be kept, and tells those who wait.
func (s *server) runFill(f *fill, source *server, request serverRequest) lookupResult {
	f.ok, f.status, f.copy = s.fetchFromSource(source, request)
	s.mu.Lock()
	s.activeFills--
	delete(s.fillsInFlight, request.key())
	if f.ok && (s.tier == parentTier || request.store) {
		s.cached[request.key()] = f.copy
	}
	s.mu.Unlock()
	close(f.done)
	switch {
	case f.ok:
		return lookupResult{word: wordOK, status: f.status, copy: f.copy}
	case f.status == statusUpBusy:
		return lookupResult{word: wordBusy, status: f.status}
	}
	return lookupResult{word: wordMiss, status: f.status}
}

// fetchFromSource asks the source, which counts it as work that reaches it.
func (s *server) fetchFromSource(source *server, request serverRequest) (ok bool, status string, fetched cachedCopy) {
	work := s.testbed.transferWork(request.object)
	s.testbed.history.record(
		Event{Kind: "source", Who: source.name, Director: directorName(request.director), Ref: request.ref,
			Object: request.object, Work: work},
	)
	if status := source.unavailableAsSource(); status != "" {
		return false, status, cachedCopy{}
	}
	if !source.admitWork(work) {
		return false, statusUpDown, cachedCopy{}
	}
	next := serverRequest{
		ref:      request.ref,
		director: request.director,
		class:    request.class,
		object:   request.object,
		part:     request.part,
		maxAge:   request.maxAge,
	}
	if source.tier == parentTier && !request.onlyIfCached {
		next.source = originName
	}
	found := source.lookUp(next)
	source.sendToCache(found, work)
	return sourceStatus(source.tier, found)
}

// unavailableAsSource is the status of a fill for which the source can't be used; empty: it can. A silent one takes its
// time.
func (s *server) unavailableAsSource() string {
	s.mu.Lock()
	down, silent, busy := s.exited || s.collapsed || s.state == "gone", s.silent, s.busy
	s.mu.Unlock()
	switch {
	case busy:
		return statusUpBusy
	case down:
		return statusUpDown
	case silent:
		time.Sleep(fillTimeout)
		return statusUpDown
	}
	return ""
}

// sendToCache waits for what the way from a source takes. The bytes of a parent are passed on as they come, so that
// only what a crowded link adds is waited for here.
func (s *server) sendToCache(found lookupResult, work float64) {
	if found.word != wordOK || s.tier != parentTier {
		time.Sleep(time.Duration(s.spec.LatencyMS * float64(time.Millisecond)))
		return
	}
	took := s.reserveTransfer(work)
	time.Sleep(max(0, took-time.Duration(work*float64(time.Second))))
	s.update(func() { s.activeTransfers-- })
}

// sourceStatus is the cache status of a fill, by what the source found.
func sourceStatus(source tier, found lookupResult) (ok bool, status string, fetched cachedCopy) {
	heldByParent := found.status == statusHit || found.status == statusCollapsed
	fromCopy := source == cacheTier || (source == parentTier && heldByParent)
	switch {
	case found.word == wordOK && fromCopy:
		return true, statusMiss, found.copy
	case found.word == wordOK:
		return true, statusMissOrigin, found.copy
	case found.status == statusUpBusy || found.status == statusOriginErr:
		return false, statusOriginErr, cachedCopy{}
	case found.word == wordBusy:
		return false, statusUpBusy, cachedCopy{}
	}
	return false, statusUpMiss, cachedCopy{}
}

// runAtOrigin runs a write, or gives an object out. The origin can do so many a second, and rejects more.
func (s *server) runAtOrigin(request serverRequest) lookupResult {
	history := s.testbed.history
	now := time.Now()
	if s.originBusy(now) {
		history.record(Event{Kind: "origin", What: "busy", Object: request.object})
		return lookupResult{word: wordBusy}
	}
	status := statusHit
	if request.class == classRepayment {
		status = statusMissOrigin
		history.record(Event{Kind: "run", Who: s.name, Ref: request.ref})
	} else {
		history.record(Event{Kind: "origin", What: "fetch", Object: request.object})
	}
	time.Sleep(time.Duration(s.testbed.experiment.Origin.LatencyMS * float64(time.Millisecond)))
	return lookupResult{word: wordOK, status: status, copy: cachedCopy{since: now}}
}

// originBusy counts a call of the origin, and reports whether it is one too many within a second.
func (s *server) originBusy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentCalls = append(s.recentCalls, now)
	for now.Sub(s.recentCalls[0]) > time.Second {
		s.recentCalls = s.recentCalls[1:]
	}
	return float64(len(s.recentCalls)) > s.testbed.experiment.Origin.PerSecond*s.capacityFactor
}
