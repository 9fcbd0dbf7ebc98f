package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLimiters is so many directors at one peer.
func newLimiters(n int) []ConnectLimiter {
	all := make([]ConnectLimiter, n)
	for i := range all {
		all[i] = NewConnectLimiter(rand.New(rand.NewPCG(uint64(i), 1)))
	}
	return all
}

// A peer that takes no more connections than it has is not asked for one more by everybody at every request, nor by
// all at once: after the first failures the fleet's tries are few and spread, and go on for ever.
func TestScarceConnectionsAreLeftAlone(t *testing.T) {
	const directors, second = 200, int(time.Second / (100 * time.Millisecond))
	all := newLimiters(directors)
	tries := make([]int, 60*second)
	for i := range tries {
		now := time.Minute + time.Duration(i)*100*time.Millisecond
		for d := range all { // each has two, would like a third at any moment, and never gets it
			if all[d].Allow(now, 2, 0) {
				tries[i]++
				all[d].RecordFailure(now, 2)
			}
		}
	}
	sum := func(from, to int) (n int) {
		for _, x := range tries[from*second : to*second] {
			n += x
		}
		return n
	}
	if first := sum(0, 1); first != directors {
		t.Errorf("%d tries in the first second, want one each", first)
	}
	if late := sum(30, 60); late > 30*directors/8 || late < directors {
		t.Errorf("%d tries in the last 30 s, want each director's every 16 s or so", late)
	}
	for i := 30 * second; i < len(tries); i++ {
		if tries[i] > directors/10 {
			t.Errorf("%d of %d directors try in the same 100 ms", tries[i], directors)
		}
	}
}

// What a peer lets us have is found again when there is room: one by one, and without a bound once known failures
// are of an old life.
func TestRoomIsFoundAgain(t *testing.T) {
	c := NewConnectLimiter(rand.New(rand.NewPCG(1, 1)))
	now := time.Minute
	if !c.Allow(now, 5, 0) {
		t.Fatal("without a failure there is no bound")
	}
	c.RecordFailure(now, 2)
	if c.Allow(now, 2, 0) || !c.Allow(now, 1, 0) || !c.Allow(now, 0, 0) {
		t.Error("want what holds to be the bound")
	}
	have := 2
	for end := now + time.Minute; now < end; now += 50 * time.Millisecond {
		if c.Allow(now, have, 0) {
			have++
			c.RecordSuccess(now, have)
		}
	}
	if have < 15 || have > 45 {
		t.Errorf("%d connections after a minute with room, want one more in each 2 s or so", have)
	}
	c.Reset(now)
	if !c.Allow(now+time.Hour, 100, 0) {
		t.Error("a new life is bound by what the old one had")
	}
}

// A burst opens a few connections at a time, and one where the peer has only just started. A peer on which all dials
// fail is down: that says nothing of its room.
func TestConnectionsAreOpenedFewAtATime(t *testing.T) {
	c := NewConnectLimiter(rand.New(rand.NewPCG(1, 1)))
	now := time.Minute
	if !c.Allow(now, maxConcurrentDials, maxConcurrentDials-1) || c.Allow(now, maxConcurrentDials, maxConcurrentDials) {
		t.Errorf("want %d at a time", maxConcurrentDials)
	}
	c.RecordFailure(now, 0)
	if c.Limit() != 0 || !c.Allow(now, 3, 0) {
		t.Error("a peer that is down has no bound")
	}
	c.Reset(now)
	if !c.Allow(now, 0, 0) || c.Allow(now, 1, 1) || !c.Allow(now, 1, 0) || !c.Allow(now+peerWarmUp, 2, 2) {
		t.Error("want one at a time while the peer is young, and no longer")
	}
}

// Whatever a peer does, there is a connection to be had where none is held, and tries beyond a known bound are never
// less than half the shortest wait apart.
func TestConnsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewConnectLimiter(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now, have, last := time.Minute, 0, Time(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			if !c.Allow(now, 0, 0) {
				t.Fatal("no first connection")
			}
			known := c.Limit()
			if !c.Allow(now, have, 0) {
				continue
			}
			if known > 0 && have >= known {
				if now-last < initialProbeInterval/2 && last != 0 {
					t.Fatalf("tries beyond a bound %v apart", now-last)
				}
				last = now
			}
			if rapid.Bool().Draw(t, "fails") {
				c.RecordFailure(now, have)
				continue
			}
			have++
			c.RecordSuccess(now, have)
			if rapid.IntRange(0, 3).Draw(t, "closes") == 0 {
				have = rapid.IntRange(0, have).Draw(t, "left")
			}
		}
	})
}
