package overload

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// admitRound offers 1,000 requests at once and returns how many are in flight then, and the different times to retry
// after.
func admitRound(t *testing.T, a *Admission, now Time, latency time.Duration) (int, map[time.Duration]bool) {
	t.Helper()
	inFlight := 0
	retries := map[time.Duration]bool{}
	for range 1000 {
		retryAfter, admitted := a.Admit(now, inFlight)
		if admitted {
			inFlight++
			continue
		}
		if retryAfter < latency/4 || retryAfter > 4*latency {
			t.Fatalf("told to retry after %v, an answer takes %v", retryAfter, latency)
		}
		retries[retryAfter] = true
	}
	return inFlight, retries
}

// A flood that meets a director just after its start is admitted as fast as answers come, and the rest is told to come
// back, not all at once.
func TestAdmissionWindowGrowsWithAnswers(t *testing.T) {
	admission := NewAdmission(1)
	now, latency := time.Minute, 100*time.Millisecond
	const rounds = 4
	perRound := make([]int, 0, rounds)
	for range rounds { // of answers, with more requests waiting than are ever admitted
		inFlight, retries := admitRound(t, admission, now, latency)
		perRound = append(perRound, inFlight)
		if admission.Window() > 0 && len(retries) < 100 {
			t.Errorf("only %d different times to come back", len(retries))
		}
		now += latency
		for range inFlight {
			admission.RecordAnswer(true, latency)
		}
	}
	want := []int{admissionInitialWindow, 2 * admissionInitialWindow, 4 * admissionInitialWindow, 1000}
	if !slices.Equal(perRound, want) {
		t.Errorf("in flight in each round: %v, want it to double, and then to be unbounded: %v", perRound, want)
	}
}

// Where requests are rejected or fail, fewer are admitted, though never none; and after a while all are, whatever came.
func TestAdmissionWindowShrinksWithFailures(t *testing.T) {
	admission := NewAdmission(1)
	now := time.Minute
	admission.Admit(now, 0)
	for range 100 {
		admission.RecordAnswer(false, time.Second)
	}
	if window := admission.Window(); window != admissionMinWindow {
		t.Errorf("window %d, want %v", window, admissionMinWindow)
	}
	if _, admitted := admission.Admit(now, int(admissionMinWindow)); admitted {
		t.Error("more admitted than the window")
	}
	if _, admitted := admission.Admit(now+admissionPeriod, 1000); !admitted {
		t.Error("still bounded long after the start")
	}
	admission.Restart(now + time.Hour)
	if _, admitted := admission.Admit(now+time.Hour, int(admissionInitialWindow)); admitted {
		t.Error("after a pause all is admitted at once")
	}
}

// Whatever comes, requests within the least window are admitted, and a rejection says when to come back.
func TestAdmissionNeverShuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admission := NewAdmission(rapid.Uint64().Draw(t, "seed"))
		now := time.Minute
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "gap"))
			if rapid.Bool().Draw(t, "answer") {
				served := rapid.Bool().Draw(t, "served")
				latency := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "took"))
				admission.RecordAnswer(served, latency)
				continue
			}
			inFlight := rapid.IntRange(0, 200).Draw(t, "in hand")
			retryAfter, admitted := admission.Admit(now, inFlight)
			if !admitted && (inFlight < admissionMinWindow || retryAfter <= 0) {
				t.Fatalf("%d in flight, told to wait %v", inFlight, retryAfter)
			}
		}
	})
}
