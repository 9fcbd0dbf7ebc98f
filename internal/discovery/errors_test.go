package discovery

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// Each kind of invalid line has its own sentinel error, which callers can match.
func TestInvalidLineErrors(t *testing.T) {
	for _, tc := range []struct {
		name, line string
		want       error
	}{
		{"no revision", `{"purge":{"group":1,"at":1}}` + "\n", errNoRevision},
		{"too long", strings.Repeat("x", 2000), errLineTooLong},
		{"too many endpoints", `{"n":1,"members":{"endpoints":[{},{},{}]}}` + "\n", errTooManyEndpoints},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := startedHarness(t, 1)
			h.open()
			if err := h.dials[0].Data([]byte(tc.line)); !errors.Is(err, tc.want) {
				t.Errorf("got error %v, want %v", err, tc.want)
			}
		})
	}
}

// The error on a gap in the revisions holds the received revision and the last applied one.
func TestRevisionErrorNamesTheGap(t *testing.T) {
	h := startedHarness(t, 1)
	h.open()
	h.receivePurge(t, 1)
	err := h.dials[0].Data([]byte(purgeLine(4)))
	var gap *RevisionError
	if !errors.As(err, &gap) {
		t.Fatalf("got error %v, want a RevisionError", err)
	}
	if gap.Got != 4 || gap.Last != 1 {
		t.Errorf("got revision %d after %d, want 4 after 1", gap.Got, gap.Last)
	}
}

// The error on an invalid field names the field and its value.
func TestInvalidFieldErrorNamesTheField(t *testing.T) {
	for _, tc := range []struct{ field, line, value string }{
		{"status", strings.Replace(readyLine, "ready", "odd", 1), "odd"},
		{"address", strings.Replace(readyLine, "127.0.0.1:80", "home", 1), "home"},
		{"name", strings.Replace(readyLine, "s-1", "s,up=1", 1), "s,up=1"},
		{"purge.key", `{"n":1,"purge":{"key":"zz","at":1}}`, "zz"},
	} {
		t.Run(tc.field, func(t *testing.T) {
			h := startedHarness(t, 1)
			h.open()
			err := h.dials[0].Data([]byte(tc.line + "\n"))
			var invalid *InvalidFieldError
			if !errors.As(err, &invalid) {
				t.Fatalf("got error %v, want an InvalidFieldError", err)
			}
			if invalid.Field != tc.field || invalid.Value != tc.value {
				t.Errorf("got field %q with value %q, want %q with %q",
					invalid.Field, invalid.Value, tc.field, tc.value)
			}
			if !strings.Contains(err.Error(), tc.field+`: "`+tc.value+`"`) {
				t.Errorf("got error %v, want one with the field and its value", err)
			}
		})
	}
}

// The counts of watch ends are encoded under the names of the ends, as the counters log shows them.
func TestEndCountsAreNamedInJSON(t *testing.T) {
	var counts EndCounts
	for end := range counts {
		counts[end] = uint64(end) + 1
	}
	text, err := json.Marshal(counts)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"behind":6,"broken":4,"refused":1,"silent":5,"timed out":2,"unusable":3}`
	if string(text) != want {
		t.Errorf("got %s, want %s", text, want)
	}
}
