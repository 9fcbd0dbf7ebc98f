package testbed

import "time"

// fillTimeout is how long a fill waits for a source that does not respond.
const fillTimeout = time.Second

// Cache statuses of the cache protocol: where a cache got the object from, or why its fill failed.
const (
	statusHit        = "HIT"
	statusMiss       = "MISS" // filled from a copy that the source held
	statusMissOrigin = "MISS_ORIGIN"
	statusCollapsed  = "COLLAPSED"
	statusNoFill     = "NO_FILL"
	statusUpDown     = "UP_DOWN"
	statusUpBusy     = "UP_BUSY"
	statusUpMiss     = "UP_MISS"
	statusOriginErr  = "ORIGIN_ERR"
)

// lookupResult is the result of looking up an object on a server.
type lookupResult struct {
	result string // result code of the answer
	status string // cache status; empty if there is none
	copy   cachedCopy
}

// fill is a fetch of an object that is in progress. Other requests for the object may wait for it; done is closed when
// the other fields are set.
type fill struct {
	done   chan struct{}
	ok     bool
	status string
	copy   cachedCopy
}

// lookUp answers a request from a cached copy, or fills the object from the source that the request names. The origin
// serves every request itself, and a write is forwarded to the source. A request waits for a fill of the object that is
// in progress if the server coalesces fills; it is rejected if all fill slots are in use.
func (s *server) lookUp(request serverRequest) lookupResult {
	if s.tier == originTier {
		return s.serveFromOrigin(request)
	}
	if request.class == classRepayment {
		return s.forwardWrite(request)
	}
	s.mu.Lock()
	if held, ok := s.cached[request.key()]; ok && time.Since(held.since) < request.maxAge {
		s.mu.Unlock()
		return lookupResult{result: resultOK, status: statusHit, copy: held}
	}
	inFlight := s.fillsInFlight[request.key()]
	if inFlight != nil && s.spec.CoalescesFills && (request.mayCoalesce || s.tier == parentTier) {
		s.mu.Unlock()
		return inFlight.await(request.maxAge)
	}
	source := s.testbed.serverNamed(request.source)
	switch {
	case source == nil:
		s.mu.Unlock()
		if inFlight != nil {
			return lookupResult{result: resultMiss, status: statusCollapsed}
		}
		return lookupResult{result: resultMiss}
	case s.spec.FillSlots > 0 && s.activeFills >= s.spec.FillSlots:
		s.mu.Unlock()
		return lookupResult{result: resultBusy, status: statusNoFill}
	}
	f := &fill{done: make(chan struct{})}
	s.activeFills++
	s.fillsInFlight[request.key()] = f
	s.mu.Unlock()
	return s.runFill(f, source, request)
}

// forwardWrite forwards a write to the source that the request names.
func (s *server) forwardWrite(request serverRequest) lookupResult {
	source := s.testbed.serverNamed(request.source)
	if source == nil {
		return lookupResult{result: resultMiss}
	}
	s.testbed.history.record(
		Event{Kind: "source", Who: source.name, Director: directorName(request.director), Ref: request.ref},
	)
	return source.lookUp(request)
}

// await waits until the fill ends and returns its copy. The result is a miss if the fill failed or the copy has reached
// maxAge.
func (f *fill) await(maxAge time.Duration) lookupResult {
	<-f.done
	if !f.ok || time.Since(f.copy.since) >= maxAge {
		return lookupResult{result: resultMiss, status: statusUpDown}
	}
	return lookupResult{result: resultOK, status: statusCollapsed, copy: f.copy}
}

// runFill fetches the object, stores the copy and wakes the requests that wait for the fill. A parent stores every
// copy, a cache only if the request asks for it.
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
		return lookupResult{result: resultOK, status: f.status, copy: f.copy}
	case f.status == statusUpBusy:
		return lookupResult{result: resultBusy, status: f.status}
	}
	return lookupResult{result: resultMiss, status: f.status}
}

// fetchFromSource fetches the object from the source and returns the cache status of the fill. The fetch counts as work
// that arrives at the source, which may make the source collapse.
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

// unavailableAsSource returns the cache status of a fill that fails because the server is unavailable as its source, or
// an empty string if the server is available. If the server is silent, it returns after fillTimeout.
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

// sendToCache waits for the time that the transfer from this server, a source, to a cache takes. A cache streams the
// bytes of a parent on as they arrive, so only the latency and the delay by a congested link are waited for here; the
// transfer time at full rate is waited for when the cache answers.
func (s *server) sendToCache(found lookupResult, work float64) {
	if found.result != resultOK || s.tier != parentTier {
		time.Sleep(time.Duration(s.spec.LatencyMS * float64(time.Millisecond)))
		return
	}
	took := s.reserveTransfer(work)
	time.Sleep(max(0, took-time.Duration(work*float64(time.Second))))
	s.update(func() { s.activeTransfers-- })
}

// sourceStatus returns the outcome of a fill and its cache status, derived from the lookup result of its source.
func sourceStatus(source tier, found lookupResult) (ok bool, status string, fetched cachedCopy) {
	heldByParent := found.status == statusHit || found.status == statusCollapsed
	fromCopy := source == cacheTier || (source == parentTier && heldByParent)
	switch {
	case found.result == resultOK && fromCopy:
		return true, statusMiss, found.copy
	case found.result == resultOK:
		return true, statusMissOrigin, found.copy
	case found.status == statusUpBusy || found.status == statusOriginErr:
		return false, statusOriginErr, cachedCopy{}
	case found.result == resultBusy:
		return false, statusUpBusy, cachedCopy{}
	}
	return false, statusUpMiss, cachedCopy{}
}

// serveFromOrigin executes a write or returns an object, after the origin's latency. It rejects requests above the
// origin's rate limit.
func (s *server) serveFromOrigin(request serverRequest) lookupResult {
	history := s.testbed.history
	now := time.Now()
	if s.originBusy(now) {
		history.record(Event{Kind: "origin", What: "busy", Object: request.object})
		return lookupResult{result: resultBusy}
	}
	status := statusHit
	if request.class == classRepayment {
		status = statusMissOrigin
		history.record(Event{Kind: "run", Who: s.name, Ref: request.ref})
	} else {
		history.record(Event{Kind: "origin", What: "fetch", Object: request.object})
	}
	time.Sleep(time.Duration(s.testbed.experiment.Origin.LatencyMS * float64(time.Millisecond)))
	return lookupResult{result: resultOK, status: status, copy: cachedCopy{since: now}}
}

// originBusy counts a request to the origin and reports whether the requests of the last second, rejected ones
// included, exceed the origin's rate limit.
func (s *server) originBusy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentCalls = append(s.recentCalls, now)
	for now.Sub(s.recentCalls[0]) > time.Second {
		s.recentCalls = s.recentCalls[1:]
	}
	return float64(len(s.recentCalls)) > s.testbed.experiment.Origin.PerSecond*s.capacityFactor
}
