package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLimiters returns the limiters of so many directors for one peer.
func newLimiters(directors int) []ConnectLimiter {
	limiters := make([]ConnectLimiter, directors)
	for i := range limiters {
		limiters[i] = NewConnectLimiter(rand.New(rand.NewPCG(uint64(i), 1)))
	}
	return limiters
}

// newLimiter returns a limiter with a fixed seed.
func newLimiter() ConnectLimiter { return NewConnectLimiter(rand.New(rand.NewPCG(1, 1))) }

// A peer that accepts no more connections than it has is not asked for one more by everybody at every request, nor by
// all at once: after the first failures the fleet's probes are few and spread, and go on for ever.
func TestProbesBeyondALimitAreFewAndSpread(t *testing.T) {
	const directors, second = 200, int(time.Second / (100 * time.Millisecond))
	limiters := newLimiters(directors)
	probes := make([]int, 60*second) // in each 100 ms
	for i := range probes {
		now := time.Minute + time.Duration(i)*100*time.Millisecond
		for d := range limiters { // each has two, would like a third at any moment, and never gets it
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
		t.Errorf("%d probes in the first second, want one each", first)
	}
	if late := sum(30, 60); late > 30*directors/8 || late < directors {
		t.Errorf("%d probes in the last 30 s, want each director's every 16 s or so", late)
	}
	for i := 30 * second; i < len(probes); i++ {
		if probes[i] > directors/10 {
			t.Errorf("%d of %d directors probe in the same 100 ms", probes[i], directors)
		}
	}
}

// What a peer accepts is found again when it has capacity: one by one, and without a limit once known failures are of
// an old incarnation.
func TestCapacityIsFoundAgain(t *testing.T) {
	limiter := newLimiter()
	now := time.Minute
	if !limiter.Allow(now, 5, 0) {
		t.Fatal("without a failure there is no limit")
	}
	limiter.RecordFailure(now, 2)
	if limiter.Allow(now, 2, 0) || !limiter.Allow(now, 1, 0) || !limiter.Allow(now, 0, 0) {
		t.Error("want the established connections to be the limit")
	}
	established := 2
	for end := now + time.Minute; now < end; now += 50 * time.Millisecond {
		if limiter.Allow(now, established, 0) {
			established++
			limiter.RecordSuccess(now, established)
		}
	}
	if established < 15 || established > 45 {
		t.Errorf("%d connections after a minute with capacity, want one more in each 2 s or so", established)
	}
	limiter.Reset(now)
	if !limiter.Allow(now+time.Hour, 100, 0) {
		t.Error("a new incarnation is limited by what the old one accepted")
	}
}

// A burst opens a few connections at a time, and one where the peer has only just started. A peer on which all dials
// fail is down: that says nothing of its capacity.
func TestConnectionsAreOpenedFewAtATime(t *testing.T) {
	limiter := newLimiter()
	now := time.Minute
	if !limiter.Allow(now, maxConcurrentDials, maxConcurrentDials-1) ||
		limiter.Allow(now, maxConcurrentDials, maxConcurrentDials) {
		t.Errorf("want %d at a time", maxConcurrentDials)
	}
	limiter.RecordFailure(now, 0)
	if limiter.Limit() != 0 || !limiter.Allow(now, 3, 0) {
		t.Error("a peer that is down has no limit")
	}
	limiter.Reset(now)
	if !limiter.Allow(now, 0, 0) || limiter.Allow(now, 1, 1) || !limiter.Allow(now, 1, 0) ||
		!limiter.Allow(now+peerWarmUp, 2, 2) {
		t.Error("want one at a time while the peer warms up, and no longer")
	}
}

// Whatever a peer does, there is a connection to be had where none is held, and probes beyond a known limit are never
// less than half the shortest interval apart.
func TestConnsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewConnectLimiter(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now, established, lastProbe := time.Minute, 0, Time(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			if !limiter.Allow(now, 0, 0) {
				t.Fatal("no first connection")
			}
			limit := limiter.Limit()
			if !limiter.Allow(now, established, 0) {
				continue
			}
			if limit > 0 && established >= limit {
				if now-lastProbe < initialProbeInterval/2 && lastProbe != 0 {
					t.Fatalf("probes beyond a limit %v apart", now-lastProbe)
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
