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

var updateVerdicts = flag.Bool("update", false, "write the expected verdicts anew")

// TestVerdictsOnStoredHistories judges histories in the form that a run leaves on disk: one that a run has recorded,
// one in which all is as it should be, and at least one for each kind of breach. The verdict beside each lists the
// breaches, and every figure in full.
func TestVerdictsOnStoredHistories(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "golden", "*.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	const histories = 18
	if len(files) != histories {
		t.Fatalf("%d histories, want %d", len(files), histories)
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

// verdictText is the verdict on a stored history: a line for each breach, then one for each figure.
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
	for _, b := range verdict.Violations {
		fmt.Fprintf(&text, "%s at %v ms, %s: %s\n", b.Rule, b.AtMS, b.Who, b.Detail)
	}
	for _, name := range slices.Sorted(maps.Keys(verdict.Metrics)) {
		fmt.Fprintf(&text, "%s %s\n", name, strconv.FormatFloat(verdict.Metrics[name], 'g', -1, 64))
	}
	return text.String()
}
