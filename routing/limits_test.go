package routing

import (
	"math"
	"testing"
	"time"
)

// When all answers come late, the excess must wait and be rejected early. Found in the first incidents.
func TestLateAnswersLowerLimits(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = always(OK, FillStatusHit, 1900*ms)
	mostInFlight := 0
	for id := uint32(1); id <= 3000; id++ {
		env.submitRead(id, uint64(id%40), classSmall)
		env.run(4 * ms)
		if id > 2000 {
			mostInFlight = max(mostInFlight, len(env.router.attempts))
		}
	}
	if mostInFlight > 200 { // without limits, 1.9 s of 250 requests a second are in flight
		t.Errorf("%d attempts in flight though all answers are late", mostInFlight)
	}
	if len(actionsOf[Reject](env.actions)) == 0 {
		t.Error("nothing was rejected")
	}
	env.assertNoViolation()
}

// Fills that hang count on their source, and don't keep hits from the cache. Found on a day with a slow origin.
func TestHangingFillsDoNotBlockHits(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = false })
	env.submitRead(1, 42, classBig)
	env.run(100 * ms) // a holder of 42 is known
	cache := env.router.servers[env.fetches[0].Host]
	env.answer = always(OK, FillStatusFilled, 3*time.Second)
	for id := uint32(10); id < 30; id++ {
		env.submitRead(id, uint64(id), classBig)
	}
	if cache.asTarget.inFlightWork > 1e-9 {
		t.Errorf("%.1f s of fills count on the cache", cache.asTarget.inFlightWork)
	}
	env.setLoad(&cache.asTarget, 4, 4)
	before := len(env.fetches)
	env.submitRead(2, 42, classBig)
	if len(env.fetches) != before+1 || env.fetches[before].Host != cache.Host {
		t.Errorf("a hit was held back: %+v", env.fetches[before:])
	}
	before = len(env.fetches)
	for id := uint32(130); id < 160; id++ {
		env.submitRead(id, uint64(id), classBig)
		last := env.fetches[len(env.fetches)-1]
		if len(env.fetches) > before && last.Host == cache.Host {
			t.Fatalf("a fill went to a cache at its limit: %+v", last)
		}
	}
}

// A time-out lowers the limit of the server that is silent. Found with an origin that stopped for seconds: fills that
// were taken for hits timed out, and healthy caches then rejected hits.
func TestTimeoutLowersTheLimitOfTheSilentServer(t *testing.T) {
	for name, answers := range map[string]bool{"cache answers": true, "cache is silent": false} {
		t.Run(name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			cache, source := env.router.servers[hostEdge], env.router.servers[hostParent]
			if answers {
				cache.lastAnswerAsTarget = 20
			}
			attempt := &attemptState{target: cache, source: source, sentAt: 10, work: 0.1}
			env.router.adjustLimit(attempt, Outcome{Result: TimedOut})
			if _, limited := env.limit(&cache.asTarget); limited == answers {
				t.Errorf("cache is limited: %v", limited)
			}
			if _, limited := env.limit(&source.asSource); limited != answers {
				t.Errorf("source is limited: %v", limited)
			}
		})
	}
}

// A late fill is due to its cache where hits are late, too, and the source did not keep it waiting. Found with a
// saturated cache: the limits of all its sources came down until nothing was filled at all.
func TestLateFillLowersTheLimitOfItsCause(t *testing.T) {
	for _, tc := range []struct {
		name         string
		hitLatency   time.Duration // of the cache's latest hit
		sourceWait   time.Duration // of the fill's 10 s
		cacheLimited bool
	}{
		{"saturated cache", 10 * time.Second, 10 * ms, true},
		{"slow source", 10 * time.Second, 9990 * ms, false},
		{"narrow source", 10 * ms, 10 * ms, false},
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
				t.Errorf("cache's limit lowered: %v, want %v", lowered, tc.cacheLimited)
			}
			if _, limited := env.limit(&source.asSource); limited == tc.cacheLimited {
				t.Errorf("source limited: %v, want %v", limited, !tc.cacheLimited)
			}
		})
	}
}

// All late answers of one overload lower a limit together, to a part of the load beside which they would have been in
// time; one that is still late at that load lowers it further. Before, each took a fifth off: a healthy cache got 14
// requests a second instead of 70 until its limit had grown again.
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
			t.Errorf("after an overload of %v: limit %v, want %v", load, limit, want)
		}
	}
}

// What only the origin can do goes through, though its limit is reached by fills. Found on days with writes.
func TestLimitsDoNotBindWhatOnlyTheOriginCanDo(t *testing.T) {
	env := newSimpleEnv(t, nil)
	origin := env.router.servers[hostOrigin]
	env.setLoad(&origin.asSource, 0.1, 5)
	before := len(env.actions)
	env.submitRead(1, 42, classKeyed)
	for _, forward := range actionsOf[Forward](env.actions[before:]) {
		if forward.Host == hostOrigin {
			return
		}
	}
	t.Errorf("held back: %v", env.actions[before:])
}
