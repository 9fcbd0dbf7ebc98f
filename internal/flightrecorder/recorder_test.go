package flightrecorder

import (
	"testing"
)

func TestTheLatestEventsAreKeptInOrder(t *testing.T) {
	recorder := NewRecorder(4)
	for i := range 7 {
		recorder.Record(Event{Count: i})
		want := min(i+1, 4)
		got := recorder.Latest(10)
		if len(got) != want || got[0].Count != i+1-want || got[want-1].Count != i {
			t.Fatalf("after event %d: got %v, want the latest %d events", i, got, want)
		}
	}
	if got := recorder.Latest(2); len(got) != 2 || got[1].Count != 6 {
		t.Errorf("Latest(2) = %v, want events 5 and 6", got)
	}
	var none *Recorder
	none.Record(Event{})
	if none.Latest(1) != nil || none.Total() != 0 {
		t.Error("a nil Recorder has kept an event")
	}
}
