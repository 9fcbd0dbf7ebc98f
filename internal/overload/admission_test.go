package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A flood that meets a director just after its start is let in as fast as answers come, and the rest is told to come
// back, not all at once.
func TestWorkIsLetInAsAnswersCome(t *testing.T) {
	a := NewAdmission(1)
	now, took := time.Minute, 100*time.Millisecond
	inHand, most := 0, []int{}
	for range 4 { // rounds of answers, with more work waiting than is ever let in
		waits := map[time.Duration]bool{}
		for range 1000 {
			wait, ok := a.Admit(now, inHand)
			if ok {
				inHand++
				continue
			}
			if wait < took/4 || wait > 4*took {
				t.Fatalf("told to stay away for %v, an answer takes %v", wait, took)
			}
			waits[wait] = true
		}
		most = append(most, inHand)
		if a.Window() > 0 && len(waits) < 100 {
			t.Errorf("only %d different times to come back", len(waits))
		}
		now += took
		for ; inHand > 0; inHand-- {
			a.RecordAnswer(true, took)
		}
	}
	if most[0] != admissionInitialWindow || most[1] != 2*admissionInitialWindow || most[2] != 4*admissionInitialWindow || most[3] != 1000 {
		t.Errorf("in hand in each round: %v, want it to double, and then to be unbounded", most)
	}
}

// Where answers are refusals, less is let in, though never nothing; and after a while all is, whatever came.
func TestWorkThatFailsLetsInLess(t *testing.T) {
	a := NewAdmission(1)
	now := time.Minute
	a.Admit(now, 0)
	for range 100 {
		a.RecordAnswer(false, time.Second)
	}
	if w := a.Window(); w != admissionMinWindow {
		t.Errorf("window %d, want %v", w, admissionMinWindow)
	}
	if _, ok := a.Admit(now, int(admissionMinWindow)); ok {
		t.Error("more let in than the window")
	}
	if _, ok := a.Admit(now+admissionPeriod, 1000); !ok {
		t.Error("still bound long after the start")
	}
	a.Restart(now + time.Hour)
	if _, ok := a.Admit(now+time.Hour, int(admissionInitialWindow)); ok {
		t.Error("after a pause all is let in at once")
	}
}

// Whatever comes, work within the least window is let in, and a refusal says when to come back.
func TestAdmissionNeverShuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdmission(rapid.Uint64().Draw(t, "seed"))
		now := time.Minute
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "gap"))
			if rapid.Bool().Draw(t, "answer") {
				a.RecordAnswer(rapid.Bool().Draw(t, "served"), time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "took")))
				continue
			}
			inHand := rapid.IntRange(0, 200).Draw(t, "in hand")
			wait, ok := a.Admit(now, inHand)
			if !ok && (inHand < admissionMinWindow || wait <= 0) {
				t.Fatalf("%d in hand, told to wait %v", inHand, wait)
			}
		}
	})
}
