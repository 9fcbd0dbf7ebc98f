package checker

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var updateVerdicts = flag.Bool("update", false, "rewrite the expected verdict files")

// TestVerdictsOnStoredHistories guards against unintended changes of the rules and metrics. It checks histories in the
// format that a run stores on disk: one recorded by a run, one without violations, and at least one for each kind of
// violation. The verdict file beside each history lists the violations, and every metric in full precision.
func TestVerdictsOnStoredHistories(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "golden", "*.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	const histories = 18
	if len(files) != histories {
		t.Fatalf("got %d histories, want %d", len(files), histories)
	}
	for _, path := range files {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".jsonl"), func(t *testing.T) {
			got := verdictText(t, path)
			verdict := strings.TrimSuffix(path, ".jsonl") + ".verdict.txt"
			if *updateVerdicts {
				if err := os.WriteFile(verdict, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			want, err := os.ReadFile(verdict)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
			}
		})
	}
}

// verdictText checks a stored history and returns the verdict as text: a line for each violation, then a line for each
// metric.
func verdictText(t *testing.T, path string) string {
	t.Helper()
	history, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := history.Close(); err != nil {
			t.Error(err)
		}
	}()
	verdict, err := Check(history)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, violation := range verdict.Violations {
		fmt.Fprintf(&text, "%s at %v ms, %s: %s\n", violation.Rule, violation.AtMS, violation.Who, violation.Detail)
	}
	for _, name := range slices.Sorted(maps.Keys(verdict.Metrics)) {
		fmt.Fprintf(&text, "%s %s\n", name, strconv.FormatFloat(verdict.Metrics[name], 'g', -1, 64))
	}
	return text.String()
}
