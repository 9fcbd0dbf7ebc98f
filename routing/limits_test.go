package routing

import (
	"math"
	"testing"
	"time"

	"shaleyard/internal/overload"
)

// Found in the first incidents: in overload all answers came late. The excess must wait and be refused early.
func TestLateAnswersLowerTheCrowd(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = always(OK, FillStatusHit, 1900*ms)
	most := 0
	for id := uint32(1); id <= 3000; id++ {
		env.submitRead(id, uint64(id%40), 1)
		env.run(4 * ms)
		if out := len(env.router.attempts); id > 2000 {
			most = max(most, out)
		}
	}
	if most > 200 { // without limits, 1.9 s of 250 requests a second are out
		t.Errorf("%d attempts out though all answers are late", most)
	}
	refused := 0
	for _, action := range env.actions {
		if _, ok := action.(Reject); ok {
			refused++
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	env.assertNoViolation()
}

// Found by hunt on a slow-origin day: fills that hang filled the cache's limit and shut out hits.
func TestHangingFillsDoNotShutOutHits(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = false })
	env.submitRead(1, 42, 0)
	env.runUntil(env.now + 100*ms) // a holder of 42 is known
	cache := env.router.servers[env.fetches[0].Host]
	env.answer = always(OK, FillStatusFilled, 3*time.Second)
	for id := uint32(10); id < 30; id++ {
		env.submitRead(id, uint64(id), 0)
	}
	if cache.asTarget.inFlightWork > 1e-9 {
		t.Errorf("%.1f s of fills count on the cache", cache.asTarget.inFlightWork)
	}
	cache.asTarget.concurrencyLimit, cache.asTarget.inFlightWork = overload.NewConcurrencyLimit(env.router.now, 4), 4
	n := len(env.fetches)
	if env.submitRead(2, 42, 0); len(env.fetches) != n+1 || env.fetches[n].Host != cache.Host {
		t.Errorf("a hit was held back: %+v", env.fetches[n:])
	}
	for id, n := uint32(130), len(env.fetches); id < 160; id++ {
		if env.submitRead(id, uint64(id), 0); len(env.fetches) > n && env.fetches[len(env.fetches)-1].Host == cache.Host {
			t.Fatalf("a fill went to a cache at its limit: %+v", env.fetches[len(env.fetches)-1])
		}
	}
}

// Found on sockets: the origin stopped for seconds, and fills that were taken for hits ran out of time with it. The
// caches' limits came down for that, and healthy caches refused hits. Who has answered since is not to blame.
func TestTimeOutBlamesWhoIsSilent(t *testing.T) {
	for _, speaks := range []bool{true, false} {
		env := newSimpleEnv(t, nil)
		cache, source := env.router.servers[hostEdge], env.router.servers[hostParent]
		if speaks {
			cache.lastAnswerAsTarget = 20
		}
		env.router.adjustLimit(&attemptState{target: cache, source: source, sentAt: 10, work: 0.1}, Outcome{Result: TimedOut})
		if blamed := !math.IsInf(cache.asTarget.concurrencyLimit.Value(env.router.now), 1); blamed == speaks {
			t.Errorf("the cache speaks: %v, and is blamed: %v", speaks, blamed)
		}
		if blamed := !math.IsInf(source.asSource.concurrencyLimit.Value(env.router.now), 1); blamed != speaks {
			t.Errorf("the cache speaks: %v, and its source is blamed: %v", speaks, blamed)
		}
	}
}

// Found on the day garble+fleet: fills through a crowded cache were late, and the limits of all their sources came
// down until nothing was filled at all. A late fill is the cache's fault where hits are late too and the source
// kept it waiting for no time that matters.
func TestLateFillBlamesWhoMadeItLate(t *testing.T) {
	for _, tc := range []struct {
		name      string
		hitsAfter time.Duration // how long the cache's latest hit took
		waited    time.Duration // for the source, of the fill's 10 s
		cache     bool
	}{
		{"crowded cache", 10 * time.Second, 10 * ms, true},
		{"slow source", 10 * time.Second, 9990 * ms, false},
		{"narrow source", 10 * ms, 10 * ms, false},
	} {
		env := newSimpleEnv(t, nil)
		cache, source := env.router.servers[hostEdge], env.router.servers[hostParent]
		env.router.adjustLimit(&attemptState{target: cache, work: 0.1, latencyObjective: 650 * ms}, Outcome{Result: OK, FillStatus: FillStatusHit, Elapsed: tc.hitsAfter})
		before := cache.asTarget.concurrencyLimit.Value(env.router.now)
		env.router.adjustLimit(&attemptState{target: cache, source: source, likelyFill: true, work: 0.1, latencyObjective: 650 * ms},
			Outcome{Result: OK, FillStatus: FillStatusFilledByOrigin, Elapsed: 10 * time.Second, SourceWait: tc.waited})
		if down := cache.asTarget.concurrencyLimit.Value(env.router.now) < before; down != tc.cache {
			t.Errorf("%s: cache blamed: %v, want %v", tc.name, down, tc.cache)
		}
		if down := !math.IsInf(source.asSource.concurrencyLimit.Value(env.router.now), 1); down == tc.cache {
			t.Errorf("%s: source blamed: %v, want %v", tc.name, down, !tc.cache)
		}
	}
}

// Found on the day fleet: a crowd of a hundred late answers took a fifth off a limit each, so that a healthy cache got
// 14 requests a second instead of 70 until its limit had grown again. A crowd lowers it to a part of the load beside
// which its answers would have been in time; one that is still late at that load lowers it further.
func TestOneCrowdDoesNotShutACache(t *testing.T) {
	env := newSimpleEnv(t, nil)
	cache := env.router.servers[hostEdge]
	class := &env.settings.Classes[0]
	late := func(load, work float64) {
		aim := class.LatencyObjective + seconds(class.LatencyObjectivePerSize*work)
		for range 100 {
			env.router.adjustLimit(&attemptState{target: cache, work: work, inFlightWorkAtSend: load, latencyObjective: aim}, Outcome{Result: OK, FillStatus: FillStatusHit, Elapsed: 4 * aim})
		}
	}
	work := 2 * env.router.largestMeanWork()
	for _, load := range []float64{400 * work, 200 * work} {
		late(load, work)
		if want := limitFitFraction * load / 4; math.Abs(cache.asTarget.concurrencyLimit.Value(env.router.now)-want) > 1e-9 {
			t.Errorf("after a crowd of %v: limit %v, want %v", load, cache.asTarget.concurrencyLimit.Value(env.router.now), want)
		}
	}
}

// Found on docs days: what only the origin can do was held by its limit with the fills. It must go through
// though the limit is reached.
func TestLimitsSpareWhatOnlyTheOriginCanDo(t *testing.T) {
	env := newSimpleEnv(t, nil)
	origin := env.router.servers[hostOrigin]
	origin.asSource.concurrencyLimit, origin.asSource.inFlightWork = overload.NewConcurrencyLimit(env.router.now, 0.1), 5
	n := len(env.actions)
	env.submitRead(1, 42, 2)
	for _, action := range env.actions[n:] {
		if forward, ok := action.(Forward); ok && forward.Host == hostOrigin {
			return
		}
	}
	t.Errorf("held back: %v", env.actions[n:])
}
