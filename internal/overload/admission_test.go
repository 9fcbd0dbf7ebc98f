package overload

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// admitRound offers 1,000 requests at once. It returns the number of admitted requests and the distinct retry delays of
// the rejected ones.
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
			t.Fatalf("retry delay %v, want between %v and %v", retryAfter, latency/4, 4*latency)
		}
		retries[retryAfter] = true
	}
	return inFlight, retries
}

// TestAdmissionWindowGrowsWithAnswers guards against a director that passes a burst of requests right after its start
// on to cold caches. The window must grow only with served answers, and the rejected requests must get retry delays
// that differ.
func TestAdmissionWindowGrowsWithAnswers(t *testing.T) {
	admission := NewAdmission(1)
	now, latency := time.Minute, 100*time.Millisecond
	const rounds = 4
	perRound := make([]int, 0, rounds)
	for range rounds { // in each round trip, more requests arrive than can be admitted
		inFlight, retries := admitRound(t, admission, now, latency)
		perRound = append(perRound, inFlight)
		if admission.Window() > 0 && len(retries) < 100 {
			t.Errorf("got %d distinct retry delays, want at least 100", len(retries))
		}
		now += latency
		for range inFlight {
			admission.RecordAnswer(true, latency)
		}
	}
	want := []int{admissionInitialWindow, 2 * admissionInitialWindow, 4 * admissionInitialWindow, 1000}
	if !slices.Equal(perRound, want) {
		t.Errorf("admitted requests per round: got %v, want %v (doubling, then unbounded)", perRound, want)
	}
}

// TestAdmissionWindowShrinksWithFailures guards against a window that stays large while requests fail, that shrinks
// below admissionMinWindow, or that outlasts admissionPeriod. A restart after a pause must limit requests again.
func TestAdmissionWindowShrinksWithFailures(t *testing.T) {
	admission := NewAdmission(1)
	now := time.Minute
	admission.Admit(now, 0)
	for range 100 {
		admission.RecordAnswer(false, time.Second)
	}
	if window := admission.Window(); window != admissionMinWindow {
		t.Errorf("window after 100 failures: got %d, want %v", window, admissionMinWindow)
	}
	if _, admitted := admission.Admit(now, int(admissionMinWindow)); admitted {
		t.Error("a request beyond the window was admitted")
	}
	if _, admitted := admission.Admit(now+admissionPeriod, 1000); !admitted {
		t.Error("a request was rejected after the end of the admission period")
	}
	admission.Restart(now + time.Hour)
	if _, admitted := admission.Admit(now+time.Hour, int(admissionInitialWindow)); admitted {
		t.Error("a request beyond the initial window was admitted after a restart")
	}
}

// TestAdmissionAlwaysAdmitsMinimumWindow guards against an admission control that rejects all requests after some
// sequence of answers: requests within admissionMinWindow must always be admitted, and each rejection must have a
// positive retry delay.
func TestAdmissionAlwaysAdmitsMinimumWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admission := NewAdmission(rapid.Uint64().Draw(t, "seed"))
		now := time.Minute
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "gap"))
			if rapid.Bool().Draw(t, "answer") {
				served := rapid.Bool().Draw(t, "served")
				latency := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "latency"))
				admission.RecordAnswer(served, latency)
				continue
			}
			inFlight := rapid.IntRange(0, 200).Draw(t, "in flight")
			retryAfter, admitted := admission.Admit(now, inFlight)
			if !admitted && (inFlight < admissionMinWindow || retryAfter <= 0) {
				t.Fatalf("rejected with %d requests in flight and a retry delay of %v", inFlight, retryAfter)
			}
		}
	})
}
