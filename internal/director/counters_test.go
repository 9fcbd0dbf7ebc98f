package director

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Each result and each fill status must be logged under its own key. A result or status that is added to package
// routing without a key would be missing from the log.
func TestCountersAreLoggedByName(t *testing.T) {
	var results ResultCounters
	for i := range results {
		results[i] = uint64(i + 1)
	}
	var statuses FillStatusCounters
	for i := range statuses {
		statuses[i] = uint64(i + 1)
	}
	for _, test := range []struct {
		name     string
		counters any
		want     map[string]uint64
	}{
		{"results", results, map[string]uint64{
			"ok": 1, "errored": 2, "rejected": 3, "timed_out": 4, "connect_failed": 5, "reset": 6, "cancelled": 7,
			"abandoned": 8, "miss": 9, "local_resources_exhausted": 10, "unreachable": 11,
		}},
		{"fill statuses", statuses, map[string]uint64{
			"unknown": 1, "hit": 2, "filled": 3, "filled_by_origin": 4, "coalesced": 5, "stale": 6,
			"source_rejected": 7, "source_unreachable": 8, "source_miss": 9, "no_fill_slot": 10, "origin_failed": 11,
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := json.Marshal(test.counters)
			if err != nil {
				t.Fatal(err)
			}
			var got map[string]uint64
			if err := json.Unmarshal(encoded, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
