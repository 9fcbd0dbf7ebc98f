package flightrecorder

import (
	"testing"

	"go.uber.org/zap/zapcore"
)

// A reader of the log can tell reasons apart only by their names, so each reason must have a name of its own.
func TestReasonNamesAreUnique(t *testing.T) {
	if name := ReasonNone.String(); name != "" {
		t.Errorf("ReasonNone has the name %q, want an empty one", name)
	}
	reasons := map[string]Reason{}
	for reason := ReasonNone + 1; int(reason) < reasonCount; reason++ {
		name := reason.String()
		if name == "" {
			t.Errorf("reason %d has no name", reason)
		}
		if other, ok := reasons[name]; ok {
			t.Errorf("reasons %d and %d are both named %q", other, reason, name)
		}
		reasons[name] = reason
	}
	if name := Reason(reasonCount).String(); name != "unknown" {
		t.Errorf("name of an unlisted reason: got %q, want \"unknown\"", name)
	}
}

func TestLogObjectHasTheReasonsName(t *testing.T) {
	for _, test := range []struct {
		name   string
		reason Reason
		want   any // value of the key "reason"; nil if the key must be absent
	}{
		{"no reason", ReasonNone, nil},
		{"a reason", ReasonCancelledByClient, "cancelled_by_client"},
	} {
		t.Run(test.name, func(t *testing.T) {
			encoder := zapcore.NewMapObjectEncoder()
			if err := (Event{Kind: RequestEnded, Reason: test.reason}).MarshalLogObject(encoder); err != nil {
				t.Fatal(err)
			}
			if kind := encoder.Fields["kind"]; kind != "request_ended" {
				t.Errorf("got kind %v, want request_ended", kind)
			}
			if got := encoder.Fields["reason"]; got != test.want {
				t.Errorf("got reason %v, want %v", got, test.want)
			}
		})
	}
}

func TestRecordingDoesNotAllocate(t *testing.T) {
	recorder := NewRecorder(8)
	allocations := testing.AllocsPerRun(100, func() {
		recorder.Record(Event{Kind: RequestEnded, Reason: ReasonServed, Request: 7})
	})
	if allocations != 0 {
		t.Errorf("got %v allocations per event, want 0", allocations)
	}
}
