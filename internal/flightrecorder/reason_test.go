package flightrecorder

import (
	"testing"

	"go.uber.org/zap/zapcore"
)

// Whoever reads the flight recorder tells reasons apart by their names alone.
func TestReasonsHaveNamesOfTheirOwn(t *testing.T) {
	if name := ReasonNone.String(); name != "" {
		t.Errorf("no reason is named %q", name)
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
		t.Errorf("a reason that is not listed is named %q", name)
	}
}

func TestLogObjectHasTheReasonsName(t *testing.T) {
	for _, test := range []struct {
		name   string
		reason Reason
		want   any // nil: no key
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
				t.Errorf("kind %v", kind)
			}
			if got := encoder.Fields["reason"]; got != test.want {
				t.Errorf("reason %v, want %v", got, test.want)
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
		t.Errorf("%v allocations an event", allocations)
	}
}
