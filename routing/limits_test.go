package routing

import (
	"math"
	"testing"
	"time"
)

// When all answers are late, concurrency limits must come down, so that the excess requests are postponed and rejected
// early instead of being sent.
func TestLateAnswersLowerLimits(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = always(OK, FillStatusHit, 1900*ms)
	mostInFlight := 0
	for id := uint32(1); id <= 3000; id++ {
		env.submitObject(id, uint64(id%40), classSmall)
		env.run(4 * ms)
		if id > 2000 {
			mostInFlight = max(mostInFlight, len(env.router.attempts))
		}
	}
	if mostInFlight > 200 { // without limits: 250 requests/s for 1.9 s, or 475
		t.Errorf("got %d attempts in flight while all answers are late, want at most 200", mostInFlight)
	}
	if len(actionsOf[Reject](env.actions)) == 0 {
		t.Error("got no rejection")
	}
	env.assertNoViolation()
}

// A likely fill counts as work in flight at its source, not at the cache. Fills that hang, for example because the
// origin is slow, must therefore not make a cache look full. A cache that is at its concurrency limit must still
// receive likely hits, but no new fills.
func TestHangingFillsDoNotBlockHits(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = false })
	env.submitObject(1, 42, classBig)
	env.run(100 * ms) // the location table now has a holder of object 42
	cache := env.router.servers[env.fetches[0].Host]
	env.answer = always(OK, FillStatusFilled, 3*time.Second)
	for id := uint32(10); id < 30; id++ {
		env.submitObject(id, uint64(id), classBig)
	}
	if cache.asTarget.inFlightWork > 1e-9 {
		t.Errorf("got %.1f s of work in flight at the cache, want 0", cache.asTarget.inFlightWork)
	}
	env.setLoad(&cache.asTarget, 4, 4)
	before := len(env.fetches)
	env.submitObject(2, 42, classBig)
	if len(env.fetches) != before+1 || env.fetches[before].Host != cache.Host {
		t.Errorf("got fetches %+v, want one likely hit at the cache", env.fetches[before:])
	}
	before = len(env.fetches)
	for id := uint32(130); id < 160; id++ {
		env.submitObject(id, uint64(id), classBig)
		last := env.fetches[len(env.fetches)-1]
		if len(env.fetches) > before && last.Host == cache.Host {
			t.Fatalf("got a fill through a cache at its limit: %+v", last)
		}
	}
}

// A timeout must lower the limit of the server that does not respond: the source if the cache answers other attempts,
// else the cache. When the origin stops for seconds, attempts time out that the router expected to be hits but that
// became fills. If these timeouts lowered the limits of healthy caches, hits would be rejected.
func TestTimeoutLowersLimitOfUnresponsiveServer(t *testing.T) {
	for name, cacheResponds := range map[string]bool{"cache responds": true, "cache does not respond": false} {
		t.Run(name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			cache, source := env.router.servers[hostEdge], env.router.servers[hostParent]
			if cacheResponds {
				cache.lastAnswerAsTarget = 20
			}
			attempt := &attemptState{target: cache, source: source, sentAt: 10, work: 0.1}
			env.router.adjustLimit(attempt, Outcome{Result: TimedOut})
			if _, limited := env.limit(&cache.asTarget); limited == cacheResponds {
				t.Errorf("cache limited = %v, want %v", limited, !cacheResponds)
			}
			if _, limited := env.limit(&source.asSource); limited != cacheResponds {
				t.Errorf("source limited = %v, want %v", limited, cacheResponds)
			}
		})
	}
}

// A late fill must lower the limit of the cache if the cache's hits are late, too, and the source did not keep the fill
// waiting; else it must lower the limit of the source. If the late fills of a saturated cache lowered the limits of its
// sources, these limits would come down until nothing is filled at all.
func TestLateFillLowersTheLimitOfItsCause(t *testing.T) {
	for _, tc := range []struct {
		name         string
		hitLatency   time.Duration // of the cache's latest hit
		sourceWait   time.Duration // part of the 10 s that the fill takes
		cacheLimited bool
	}{
		{"saturated cache", 10 * time.Second, 10 * ms, true},
		{"slow source", 10 * time.Second, 9990 * ms, false},
		{"source with little bandwidth", 10 * ms, 10 * ms, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			cache, source := env.router.servers[hostEdge], env.router.servers[hostParent]
			hit := &attemptState{target: cache, work: 0.1, latencyObjective: 650 * ms}
			env.router.adjustLimit(hit, Outcome{Result: OK, FillStatus: FillStatusHit, Elapsed: tc.hitLatency})
			before, _ := env.limit(&cache.asTarget)
			fill := &attemptState{
				target:           cache,
				source:           source,
				likelyFill:       true,
				work:             0.1,
				latencyObjective: 650 * ms,
			}
			env.router.adjustLimit(fill, Outcome{Result: OK, FillStatus: FillStatusFilledByOrigin,
				Elapsed: 10 * time.Second, SourceWait: tc.sourceWait})
			after, _ := env.limit(&cache.asTarget)
			if lowered := after < before; lowered != tc.cacheLimited {
				t.Errorf("cache limit lowered = %v, want %v", lowered, tc.cacheLimited)
			}
			if _, limited := env.limit(&source.asSource); limited == tc.cacheLimited {
				t.Errorf("source limited = %v, want %v", limited, !tc.cacheLimited)
			}
		})
	}
}

// All late answers of one overload together must lower a limit only once, to the part limitFitFraction of the load at
// which they would have been in time. An answer that is late at a smaller load lowers the limit further. If each late
// answer lowered the limit by a fifth, a healthy cache would get 14 requests/s instead of 70 until its limit has grown
// again.
func TestOneOverloadLowersALimitOnce(t *testing.T) {
	env := newSimpleEnv(t, nil)
	cache := env.router.servers[hostEdge]
	class := &env.settings.Classes[classBig]
	work := 2 * env.router.largestMeanWork()
	objective := class.LatencyObjective + seconds(class.LatencyObjectivePerSize*work)
	for _, load := range []float64{400 * work, 200 * work} {
		attempt := &attemptState{target: cache, work: work, inFlightWorkAtSend: load, latencyObjective: objective}
		for range 100 {
			env.router.adjustLimit(attempt, Outcome{Result: OK, FillStatus: FillStatusHit, Elapsed: 4 * objective})
		}
		limit, _ := env.limit(&cache.asTarget)
		if want := limitFitFraction * load / 4; math.Abs(limit-want) > 1e-9 {
			t.Errorf("after an overload of %v: got limit %v, want %v", load, limit, want)
		}
	}
}

// Requests that only the origin can serve, such as writes, must reach the origin even if fills have brought the origin
// to its concurrency limit.
func TestUncacheableRequestsIgnoreOriginLimit(t *testing.T) {
	env := newSimpleEnv(t, nil)
	origin := env.router.servers[hostOrigin]
	env.setLoad(&origin.asSource, 0.1, 5)
	before := len(env.actions)
	env.submitObject(1, 42, classKeyed)
	for _, forward := range actionsOf[Forward](env.actions[before:]) {
		if forward.Host == hostOrigin {
			return
		}
	}
	t.Errorf("got actions %v, want a Forward to the origin", env.actions[before:])
}
