package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// meanAdmitFraction is the mean fraction over 400 answers, 100 ms apart, of which some are late.
func meanAdmitFraction(isLate func(answer int) bool) float64 {
	shield, mean := NewOriginShield(300), 0.0
	for i := range 400 {
		now := Time(i) * 100 * time.Millisecond
		shield.RecordAnswer(now, now-90*time.Millisecond, isLate(i))
		mean += shield.AdmitFraction(now) / 400
	}
	return mean
}

// An origin that serves most in time shuts nobody out.
func TestShieldStaysOpenForAHealthyOrigin(t *testing.T) {
	if mean := meanAdmitFraction(func(answer int) bool { return answer%8 == 0 }); mean < 0.75 {
		t.Errorf("admits %.2f where one in eight is late", mean)
	}
}

// An origin that is late with most shuts most out.
func TestShieldClosesForACrowdedOrigin(t *testing.T) {
	if mean := meanAdmitFraction(func(answer int) bool { return answer%4 != 0 }); mean > 0.15 {
		t.Errorf("admits %.2f where three in four are late", mean)
	}
}

// One late answer lowers the fraction once for the queue that it tells of; it recovers with time, and sooner where few
// directors share the origin.
func TestShieldLowersOnceForAQueue(t *testing.T) {
	shield, now := NewOriginShield(300), 10*time.Second
	shield.RecordAnswer(now, now-time.Second, true)
	if got := shield.AdmitFraction(now); got != shield.decreaseFactor {
		t.Errorf("admits %v after a late answer, want %v", got, shield.decreaseFactor)
	}
	shield.RecordAnswer(now, now-time.Millisecond, true)
	shield.RecordAnswer(now, now-time.Millisecond, false)
	if got := shield.AdmitFraction(now); got != shield.decreaseFactor {
		t.Errorf("moved to %v by what was sent before", got)
	}
	shield.RecordAnswer(now+time.Second, now, true)
	if got := shield.AdmitFraction(now + time.Second); got > 0.5*shield.decreaseFactor {
		t.Errorf("admits %v after a second queue", got)
	}
	if got := shield.AdmitFraction(now + time.Minute); got != 1 {
		t.Errorf("admits %v a minute later", got)
	}
	few := NewOriginShield(4)
	if few.decreaseFactor <= 2*shield.decreaseFactor || few.recoveryPerSecond <= 5*shield.recoveryPerSecond {
		t.Errorf("four directors lower to %v and recover by %v, hundreds to %v and %v",
			few.decreaseFactor, few.recoveryPerSecond, shield.decreaseFactor, shield.recoveryPerSecond)
	}
}

// A late answer may be an outlier: the first in time that was sent after it opens all again. Where what was sent after
// it is late, too, it was a queue, and answers in time open it step by step.
func TestShieldForgetsAFalseAlarm(t *testing.T) {
	shield, now := NewOriginShield(300), 10*time.Second
	shield.RecordAnswer(now, now-time.Second, true)
	shield.RecordAnswer(now+time.Second, now+900*time.Millisecond, false)
	if got := shield.AdmitFraction(now + time.Second); got != 1 {
		t.Errorf("admits %v after a false alarm", got)
	}
	now += time.Minute
	shield.RecordAnswer(now, now-time.Second, true)
	shield.RecordAnswer(now+time.Second, now, true)
	shield.RecordAnswer(now+2*time.Second, now+1900*time.Millisecond, false)
	if got := shield.AdmitFraction(now + 2*time.Second); got > 0.4 {
		t.Errorf("admits %v by one answer in time behind a queue", got)
	}
}

// Whatever it is told, in whatever order, the fraction stays between the least and 1, and only late answers lower it.
func TestShieldKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shield := NewOriginShield(rapid.IntRange(0, 1000).Draw(t, "directors"))
		now := Time(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pass"))
			sent := now - time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "ago"))
			before := shield.AdmitFraction(now)
			late := rapid.Bool().Draw(t, "late")
			shield.RecordAnswer(now, sent, late)
			got := shield.AdmitFraction(now)
			if got < minAdmitFraction || got > 1 || (late && got > before) || (!late && got < before) {
				t.Fatalf("from %v to %v, late %v", before, got, late)
			}
			if got < 0.999*before*shield.decreaseFactor && got > minAdmitFraction {
				t.Fatalf("from %v to %v by one answer", before, got)
			}
		}
	})
}

// pendingFill is a fill that the origin has been asked for.
type pendingFill struct {
	director int
	sent     Time
	answered Time // when the director has the answer
}

// originSimulation has many directors, each with few fills of its own, ask one origin for three times what it can do.
type originSimulation struct {
	rng      *rand.Rand
	shields  []*OriginShield // of each director
	shielded bool            // the directors use their shields
	pending  []pendingFill
	freeAt   Time // when the origin has done all that it was asked for
	total    int  // fills that were answered
	useful   int  // of those, answered within the latency objective
}

const (
	simulatedFillTime  = 10 * time.Millisecond // of the origin for one fill: 100 a second
	simulatedRoundTrip = 80 * time.Millisecond
	simulatedObjective = 340 * time.Millisecond
	simulatedStep      = time.Millisecond
	simulatedTime      = 12 * time.Second
	simulatedTick      = 50 * time.Millisecond // of the router, at which it sees that an answer is late
)

// ask lets a director at random ask for a fill, or not, in this step.
func (s *originSimulation) ask(now Time) {
	rate := 0.06 // of a fill in a step: 60 a second
	if now > 2*time.Second {
		rate = 0.3
	}
	if s.rng.Float64() >= rate {
		return
	}
	director := s.rng.IntN(len(s.shields))
	if s.shielded && s.rng.Float64() >= s.shields[director].AdmitFraction(now) {
		return
	}
	s.freeAt = max(s.freeAt, now) + simulatedFillTime
	s.pending = append(s.pending, pendingFill{director: director, sent: now, answered: s.freeAt + simulatedRoundTrip})
}

// answer records the answers that have come, and on a tick those that are late.
func (s *originSimulation) answer(now Time) {
	pending := s.pending[:0]
	for _, fill := range s.pending {
		shield := s.shields[fill.director]
		if fill.answered > now {
			if now%simulatedTick == 0 && now-fill.sent > simulatedObjective {
				shield.RecordAnswer(now, fill.sent, true)
			}
			pending = append(pending, fill)
			continue
		}
		latency := fill.answered - fill.sent
		shield.RecordAnswer(now, fill.sent, latency > simulatedObjective)
		if fill.sent > 4*time.Second { // behind the first surprise
			s.total++
			if latency <= simulatedObjective {
				s.useful++
			}
		}
	}
	s.pending = pending
}

// simulateOverload returns the part of the origin's work that was useful, answered within the latency objective, and
// the number of those fills.
func simulateOverload(seed uint64, directors int, shielded bool) (useful float64, served int) {
	simulation := &originSimulation{
		rng:      rand.New(rand.NewPCG(seed, 3)),
		shields:  make([]*OriginShield, directors),
		shielded: shielded,
	}
	for i := range simulation.shields {
		simulation.shields[i] = NewOriginShield(directors)
	}
	for now := Time(0); now < simulatedTime; now += simulatedStep {
		simulation.ask(now)
		simulation.answer(now)
	}
	return float64(simulation.useful) / max(float64(simulation.total), 1), simulation.useful
}

// Without a shield an overload makes all fills late, for all directors; with one a good part of what the origin does
// is of use, though no director knows of another, with sixty of them and with hundreds.
func TestShieldKeepsASharedOriginUseful(t *testing.T) {
	for _, directors := range []int{60, 300} {
		for seed := range uint64(5) {
			with, served := simulateOverload(seed, directors, true)
			without, _ := simulateOverload(seed, directors, false)
			if with < 0.3 || served < 180 { // it opens again and again to find out, and what each knows is old
				t.Errorf("%d directors, seed %d: %.2f of the fills in time, %d of them", directors, seed, with, served)
			}
			if without > 0.2 {
				t.Errorf("%d directors, seed %d: %.2f in time without a shield: nothing is shown",
					directors, seed, without)
			}
		}
	}
}
