package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// meanAdmitFraction returns the mean admitted fraction over 400 answers, 100 ms apart. isLate reports which of them are
// late, by their index.
func meanAdmitFraction(isLate func(answer int) bool) float64 {
	shield, mean := NewOriginShield(300), 0.0
	for i := range 400 {
		now := Time(i) * 100 * time.Millisecond
		shield.RecordAnswer(now, now-90*time.Millisecond, isLate(i))
		mean += shield.AdmitFraction(now) / 400
	}
	return mean
}

// TestShieldStaysOpenForAHealthyOrigin guards against rejections that protect an origin which serves most fills in
// time.
func TestShieldStaysOpenForAHealthyOrigin(t *testing.T) {
	if mean := meanAdmitFraction(func(answer int) bool { return answer%8 == 0 }); mean < 0.75 {
		t.Errorf("mean admitted fraction %.2f with one answer in eight late, want at least 0.75", mean)
	}
}

// TestShieldClosesForAnOverloadedOrigin guards against a shield that keeps admitting fills to an origin which answers
// most of them late.
func TestShieldClosesForAnOverloadedOrigin(t *testing.T) {
	if mean := meanAdmitFraction(func(answer int) bool { return answer%4 != 0 }); mean > 0.15 {
		t.Errorf("mean admitted fraction %.2f with three answers in four late, want at most 0.15", mean)
	}
}

// TestShieldLowersFractionOncePerQueue guards against a fraction that falls once for each attempt of the same queue at
// the origin instead of once for the queue. The fraction must also recover with time, and faster if few directors share
// the origin.
func TestShieldLowersFractionOncePerQueue(t *testing.T) {
	shield, now := NewOriginShield(300), 10*time.Second
	shield.RecordAnswer(now, now-time.Second, true)
	if got := shield.AdmitFraction(now); got != shield.decreaseFactor {
		t.Errorf("admitted fraction after a late answer: got %v, want %v", got, shield.decreaseFactor)
	}
	shield.RecordAnswer(now, now-time.Millisecond, true)
	shield.RecordAnswer(now, now-time.Millisecond, false)
	if got := shield.AdmitFraction(now); got != shield.decreaseFactor {
		t.Errorf("admitted fraction after answers to attempts sent before the decrease: got %v, want %v",
			got, shield.decreaseFactor)
	}
	shield.RecordAnswer(now+time.Second, now, true)
	if got := shield.AdmitFraction(now + time.Second); got > 0.5*shield.decreaseFactor {
		t.Errorf("admitted fraction after a second queue: got %v, want at most %v", got, 0.5*shield.decreaseFactor)
	}
	if got := shield.AdmitFraction(now + time.Minute); got != 1 {
		t.Errorf("admitted fraction a minute later: got %v, want 1", got)
	}
	few := NewOriginShield(4)
	if few.decreaseFactor <= 2*shield.decreaseFactor || few.recoveryPerSecond <= 5*shield.recoveryPerSecond {
		t.Errorf("four directors lower the fraction to %v and recover by %v per second, hundreds to %v and by %v",
			few.decreaseFactor, few.recoveryPerSecond, shield.decreaseFactor, shield.recoveryPerSecond)
	}
}

// TestShieldReopensAfterAnOutlier guards against a single late answer that costs fills for many seconds, and against a
// shield that opens at once behind a queue. If the next attempt is answered in time, the late answer was an outlier and
// all fills are admitted again; if that answer is late too, answers in time raise the fraction step by step.
func TestShieldReopensAfterAnOutlier(t *testing.T) {
	shield, now := NewOriginShield(300), 10*time.Second
	shield.RecordAnswer(now, now-time.Second, true)
	shield.RecordAnswer(now+time.Second, now+900*time.Millisecond, false)
	if got := shield.AdmitFraction(now + time.Second); got != 1 {
		t.Errorf("admitted fraction after an outlier: got %v, want 1", got)
	}
	now += time.Minute
	shield.RecordAnswer(now, now-time.Second, true)
	shield.RecordAnswer(now+time.Second, now, true)
	shield.RecordAnswer(now+2*time.Second, now+1900*time.Millisecond, false)
	if got := shield.AdmitFraction(now + 2*time.Second); got > 0.4 {
		t.Errorf("admitted fraction after one answer in time behind a queue: got %v, want at most 0.4", got)
	}
}

// TestShieldKeepsItsBounds guards against a fraction that leaves its bounds after some sequence of answers: it must
// stay between minAdmitFraction and 1, only late answers may lower it, and one answer may lower it by at most
// decreaseFactor.
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
				t.Fatalf("admitted fraction went from %v to %v after an answer with late %v", before, got, late)
			}
			if got < 0.999*before*shield.decreaseFactor && got > minAdmitFraction {
				t.Fatalf("admitted fraction went from %v to %v after one answer, want at least a factor of %v",
					before, got, shield.decreaseFactor)
			}
		}
	})
}

// pendingFill is a fill that a director has requested from the origin and that the director has no answer to yet.
type pendingFill struct {
	director int
	sent     Time
	answered Time // when the answer reaches the director
}

// originSimulation simulates many directors that send fills to one origin, each director only a few. In total they send
// three times as many fills as the origin can do.
type originSimulation struct {
	rng      *rand.Rand
	shields  []*OriginShield // by director
	shielded bool            // the directors use their shields
	pending  []pendingFill
	freeAt   Time // when the origin has done all fills that were sent to it
	total    int  // fills that were answered, without those of the first 4 s
	useful   int  // fills of total that were answered within the latency objective
}

const (
	simulatedFillTime  = 10 * time.Millisecond // time that the origin takes for one fill: 100 fills per second
	simulatedRoundTrip = 80 * time.Millisecond
	simulatedObjective = 340 * time.Millisecond
	simulatedStep      = time.Millisecond
	simulatedTime      = 12 * time.Second
	simulatedTick      = 50 * time.Millisecond // interval at which the router checks for late answers
)

// sendFill sends at most one fill in a simulated step, from a random director whose shield admits it.
func (s *originSimulation) sendFill(now Time) {
	rate := 0.06 // probability of a fill in a step: 60 fills per second
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

// recordAnswers passes the answers that have arrived to the shields, and on a tick also the answers that are overdue.
func (s *originSimulation) recordAnswers(now Time) {
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
		if fill.sent > 4*time.Second { // ignore the start of the overload, before any late answer
			s.total++
			if latency <= simulatedObjective {
				s.useful++
			}
		}
	}
	s.pending = pending
}

// simulateOverload runs a simulated overload of the origin. It returns the fraction of the answered fills that were
// answered within the latency objective, and their number.
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
		simulation.sendFill(now)
		simulation.recordAnswers(now)
	}
	return float64(simulation.useful) / max(float64(simulation.total), 1), simulation.useful
}

// TestShieldLimitsOverloadOfSharedOrigin guards against an overload in which the origin answers almost all fills too
// late for all directors. That happens without a shield. With shields, a good part of the fills must be answered in
// time, for 60 and for 300 directors, although the directors do not communicate.
func TestShieldLimitsOverloadOfSharedOrigin(t *testing.T) {
	for _, directors := range []int{60, 300} {
		for seed := range uint64(5) {
			with, served := simulateOverload(seed, directors, true)
			without, _ := simulateOverload(seed, directors, false)
			if with < 0.3 || served < 180 { // the shields reopen repeatedly on outdated observations
				t.Errorf("%d directors, seed %d: %.2f of the fills in time, %d fills, want at least 0.3 and 180",
					directors, seed, with, served)
			}
			if without > 0.2 {
				t.Errorf("%d directors, seed %d: %.2f of the fills in time without a shield, want at most 0.2",
					directors, seed, without)
			}
		}
	}
}
