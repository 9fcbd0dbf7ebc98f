package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A source that serves most in time shuts nobody out.
func TestShieldStaysOpenBesideAWellSource(t *testing.T) {
	s, sum := NewOriginShield(300), 0.0
	for i := range 400 {
		now := Time(i) * 100 * time.Millisecond
		s.RecordAnswer(now, now-90*time.Millisecond, i%8 == 0)
		sum += s.AdmitFraction(now) / 400
	}
	if sum < 0.75 {
		t.Errorf("open for %.2f where one in eight is late", sum)
	}
}

// A source that is late with most shuts most out.
func TestShieldShutsBesideACrowdedSource(t *testing.T) {
	s, sum := NewOriginShield(300), 0.0
	for i := range 400 {
		now := Time(i) * 100 * time.Millisecond
		s.RecordAnswer(now, now-90*time.Millisecond, i%4 != 0)
		sum += s.AdmitFraction(now) / 400
	}
	if sum > 0.15 {
		t.Errorf("open for %.2f where three in four are late", sum)
	}
}

// One late answer lowers it once for the queue that it tells of; it opens with time, and sooner where few share it.
func TestShieldLowersOnceForAQueue(t *testing.T) {
	s, now := NewOriginShield(300), 10*time.Second
	s.RecordAnswer(now, now-time.Second, true)
	if got := s.AdmitFraction(now); got != s.decreaseFactor {
		t.Errorf("open for %v behind a late answer, want %v", got, s.decreaseFactor)
	}
	s.RecordAnswer(now, now-time.Millisecond, true)
	s.RecordAnswer(now, now-time.Millisecond, false)
	if got := s.AdmitFraction(now); got != s.decreaseFactor {
		t.Errorf("moved to %v by what was sent before", got)
	}
	s.RecordAnswer(now+time.Second, now, true)
	if got := s.AdmitFraction(now + time.Second); got > 0.5*s.decreaseFactor {
		t.Errorf("open for %v behind a second queue", got)
	}
	if got := s.AdmitFraction(now + time.Minute); got != 1 {
		t.Errorf("open for %v a minute later", got)
	}
	if few := NewOriginShield(4); few.decreaseFactor <= 2*s.decreaseFactor || few.recoveryPerSecond <= 5*s.recoveryPerSecond {
		t.Errorf("four directors lower to %v and open by %v, hundreds to %v and %v", few.decreaseFactor, few.recoveryPerSecond, s.decreaseFactor, s.recoveryPerSecond)
	}
}

// A late answer may be chance: the first in time that was sent behind it opens all again. Where what was sent behind it
// is late, too, it was a queue, and in-time answers open it step by step.
func TestShieldForgetsAFalseAlarm(t *testing.T) {
	s, now := NewOriginShield(300), 10*time.Second
	s.RecordAnswer(now, now-time.Second, true)
	s.RecordAnswer(now+time.Second, now+900*time.Millisecond, false)
	if got := s.AdmitFraction(now + time.Second); got != 1 {
		t.Errorf("open for %v behind a false alarm", got)
	}
	now += time.Minute
	s.RecordAnswer(now, now-time.Second, true)
	s.RecordAnswer(now+time.Second, now, true)
	s.RecordAnswer(now+2*time.Second, now+1900*time.Millisecond, false)
	if got := s.AdmitFraction(now + 2*time.Second); got > 0.4 {
		t.Errorf("open for %v by one answer in time behind a queue", got)
	}
}

// Whatever it is told, in whatever order, the part stays between the least and all, and only late answers lower it.
func TestShieldKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewOriginShield(rapid.IntRange(0, 1000).Draw(t, "directors"))
		now := Time(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pass"))
			sent := now - time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "ago"))
			before := s.AdmitFraction(now)
			late := rapid.Bool().Draw(t, "late")
			s.RecordAnswer(now, sent, late)
			got := s.AdmitFraction(now)
			if got < minAdmitFraction || got > 1 || (late && got > before) || (!late && got < before) {
				t.Fatalf("from %v to %v, late %v", before, got, late)
			}
			if got < 0.999*before*s.decreaseFactor && got > minAdmitFraction {
				t.Fatalf("from %v to %v by one answer", before, got)
			}
		}
	})
}

// simulateOverload has many directors, each with few fills of its own, ask one source for three times what it can do, for
// some seconds. It returns the part of the source's work that was of use: answered before the aim was over.
func simulateOverload(seed uint64, directors int, shielded bool) (useful float64, served int) {
	const (
		service = 10 * time.Millisecond // of one fill: 100 a second
		way     = 80 * time.Millisecond
		aim     = 340 * time.Millisecond
		step    = time.Millisecond
		length  = 12 * time.Second
	)
	type answer struct {
		director        int
		sent, at, until Time
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	shields := make([]*OriginShield, directors)
	for i := range shields {
		shields[i] = NewOriginShield(directors)
	}
	var out []answer
	free := Time(0)
	inTime, all := 0, 0
	for now := Time(0); now < length; now += step {
		rate := 0.06 // of a fill in a step: 60 a second
		if now > 2*time.Second {
			rate = 0.3
		}
		if rng.Float64() < rate {
			d := rng.IntN(directors)
			if !shielded || rng.Float64() < shields[d].AdmitFraction(now) {
				free = max(free, now) + service
				out = append(out, answer{d, now, free + way, free})
			}
		}
		kept := out[:0]
		for _, a := range out {
			if a.at > now {
				if now%(50*time.Millisecond) == 0 { // the router's tick
					if now-a.sent > aim {
						shields[a.director].RecordAnswer(now, a.sent, true)
					}
				}
				kept = append(kept, a)
				continue
			}
			wait := a.at - a.sent
			shields[a.director].RecordAnswer(now, a.sent, wait > aim)
			if a.sent > 4*time.Second { // behind the first surprise
				all++
				if wait <= aim {
					inTime++
				}
			}
		}
		out = kept
	}
	return float64(inTime) / max(float64(all), 1), inTime
}

// Without a shield an overload makes all fills late, for all directors; with one a good part of what the source does
// is of use, though no director knows of another, with sixty of them and with hundreds.
func TestShieldKeepsASharedSourceUseful(t *testing.T) {
	for _, n := range []int{60, 300} {
		for seed := range uint64(5) {
			with, served := simulateOverload(seed, n, true)
			without, _ := simulateOverload(seed, n, false)
			if with < 0.3 || served < 180 { // it opens again and again to find out, and what each knows is old
				t.Errorf("%d directors, seed %d: %.2f of the fills in time, %d of them", n, seed, with, served)
			}
			if without > 0.2 {
				t.Errorf("%d directors, seed %d: %.2f in time without a shield: nothing is shown", n, seed, without)
			}
		}
	}
}
