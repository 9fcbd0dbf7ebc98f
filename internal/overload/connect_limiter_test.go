package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLimiters returns one limiter for each of the directors, all for the same peer.
func newLimiters(directors int) []ConnectLimiter {
	limiters := make([]ConnectLimiter, directors)
	for i := range limiters {
		limiters[i] = NewConnectLimiter(rand.New(rand.NewPCG(uint64(i), 1)))
	}
	return limiters
}

// newLimiter returns a limiter with a fixed seed.
func newLimiter() ConnectLimiter { return NewConnectLimiter(rand.New(rand.NewPCG(1, 1))) }

// TestConnectProbesAreFewAndSpread guards against a fleet that dials a peer at every request, or from all directors at
// once, although the peer accepts no further connections. After the first failures the probes of the fleet must be few
// and spread over time, and must never stop.
func TestConnectProbesAreFewAndSpread(t *testing.T) {
	const directors, second = 200, int(time.Second / (100 * time.Millisecond))
	limiters := newLimiters(directors)
	probes := make([]int, 60*second) // in each 100 ms
	for i := range probes {
		now := time.Minute + time.Duration(i)*100*time.Millisecond
		for d := range limiters { // each has two connections and always wants a third, which the peer never accepts
			if limiters[d].Allow(now, 2, 0) {
				probes[i]++
				limiters[d].RecordFailure(now, 2)
			}
		}
	}
	sum := func(from, to int) (total int) {
		for _, count := range probes[from*second : to*second] {
			total += count
		}
		return total
	}
	if first := sum(0, 1); first != directors {
		t.Errorf("%d probes in the first second, want one of each of %d directors", first, directors)
	}
	if late := sum(30, 60); late > 30*directors/8 || late < directors {
		t.Errorf("%d probes in the last 30 s, want about one of each director every 16 s", late)
	}
	for i := 30 * second; i < len(probes); i++ {
		if probes[i] > directors/10 {
			t.Errorf("%d of %d directors probe in the same 100 ms, want at most a tenth", probes[i], directors)
		}
	}
}

// TestConnectLimitRisesWithPeerCapacity guards against a limit that stays low after the peer has capacity again. Probes
// must raise it by one connection at a time, and a reset for a restarted peer must remove it.
func TestConnectLimitRisesWithPeerCapacity(t *testing.T) {
	limiter := newLimiter()
	now := time.Minute
	if !limiter.Allow(now, 5, 0) {
		t.Fatal("a dial was rejected before any dial had failed")
	}
	limiter.RecordFailure(now, 2)
	if limiter.Allow(now, 2, 0) || !limiter.Allow(now, 1, 0) || !limiter.Allow(now, 0, 0) {
		t.Error("want the number of established connections as the limit")
	}
	established := 2
	for end := now + time.Minute; now < end; now += 50 * time.Millisecond {
		if limiter.Allow(now, established, 0) {
			established++
			limiter.RecordSuccess(now, established)
		}
	}
	if established < 15 || established > 45 {
		t.Errorf("%d connections after a minute with capacity, want about one more every 2 s", established)
	}
	limiter.Reset(now)
	if !limiter.Allow(now+time.Hour, 100, 0) {
		t.Error("the limit of the old process still applies after a reset")
	}
}

// TestConcurrentDialsAreLimited guards against bursts of dials to one peer: at most maxConcurrentDials may be in
// progress, and one while the peer warms up. Dials that fail while no connection is established must not set a limit,
// because such a peer is down.
func TestConcurrentDialsAreLimited(t *testing.T) {
	limiter := newLimiter()
	now := time.Minute
	if !limiter.Allow(now, maxConcurrentDials, maxConcurrentDials-1) ||
		limiter.Allow(now, maxConcurrentDials, maxConcurrentDials) {
		t.Errorf("want at most %d dials at a time", maxConcurrentDials)
	}
	limiter.RecordFailure(now, 0)
	if limiter.Limit() != 0 || !limiter.Allow(now, 3, 0) {
		t.Error("a dial that failed without established connections has set a limit")
	}
	limiter.Reset(now)
	if !limiter.Allow(now, 0, 0) || limiter.Allow(now, 1, 1) || !limiter.Allow(now, 1, 0) ||
		!limiter.Allow(now+peerWarmUp, 2, 2) {
		t.Error("want one dial at a time while the peer warms up, and more after that")
	}
}

// TestConnectLimiterKeepsItsBounds guards against a limiter that blocks the first connection to a peer, or that probes
// too often, after some sequence of dials: the first connection must always be allowed, and probes must be at least
// half of initialProbeInterval apart.
func TestConnectLimiterKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewConnectLimiter(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now, established, lastProbe := time.Minute, 0, Time(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			if !limiter.Allow(now, 0, 0) {
				t.Fatal("the first connection was rejected")
			}
			limit := limiter.Limit()
			if !limiter.Allow(now, established, 0) {
				continue
			}
			if limit > 0 && established >= limit {
				if now-lastProbe < initialProbeInterval/2 && lastProbe != 0 {
					t.Fatalf("probes are %v apart, want at least %v", now-lastProbe, initialProbeInterval/2)
				}
				lastProbe = now
			}
			if rapid.Bool().Draw(t, "fails") {
				limiter.RecordFailure(now, established)
				continue
			}
			established++
			limiter.RecordSuccess(now, established)
			if rapid.IntRange(0, 3).Draw(t, "closes") == 0 {
				established = rapid.IntRange(0, established).Draw(t, "left")
			}
		}
	})
}
