package testbed

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"shaleyard/internal/checker"
)

// buildDirector builds the program under test and returns the path of its binary.
func buildDirector(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "shaleyard")
	build := exec.Command("go", "build", "-o", path, "shaleyard/cmd/shaleyard")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// remainingProcesses returns the environ files (in /proc) of the running processes whose configuration is in dir.
func remainingProcesses(t *testing.T, dir string) (pids []string) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		if text, err := os.ReadFile(f); err == nil && strings.Contains(string(text), "EDGE_CONFIG="+dir) {
			pids = append(pids, f)
		}
	}
	return pids
}

// checkRun checks the history that a run has left in a folder.
func checkRun(t *testing.T, dir string) *checker.Verdict {
	t.Helper()
	record, err := os.Open(filepath.Join(dir, "record.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer record.Close()
	verdict, err := checker.Check(record)
	if err != nil {
		t.Fatal(err)
	}
	return verdict
}

// The checker must find no violation in the history of any experiment of the repository, run with the experiment's
// own number of directors. The experiment's bounds must hold, and no process may survive the run.
func TestExperimentsKeepTheRules(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	if err != nil || len(files) < 23 {
		t.Fatalf("found %d experiments, error %v, want at least 23", len(files), err)
	}
	binary := buildDirector(t)
	// At most three run concurrently: with more, a small machine is overloaded and misses its deadlines.
	slots := make(chan struct{}, 3)
	t.Run("", func(t *testing.T) {
		for _, file := range files {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				experiment, err := LoadExperiment(file)
				if err != nil {
					t.Fatal(err)
				}
				dir := t.TempDir()
				if err := Run(context.Background(), experiment, Options{Binary: binary, Dir: dir}); err != nil {
					t.Fatal(err)
				}
				verdict := checkRun(t, dir)
				for _, violation := range append(verdict.Violations, experiment.CheckBounds(verdict.Metrics, nil)...) {
					t.Errorf("%s at %.0f ms, %s: %s", violation.Rule, violation.AtMS, violation.Who, violation.Detail)
				}
				if verdict.Metrics["requests"] < 100 {
					t.Errorf("got %v requests, want at least 100", verdict.Metrics["requests"])
				}
				if pids := remainingProcesses(t, dir); len(pids) > 0 {
					t.Errorf("processes still running after the run: %v", pids)
				}
			})
		}
	})
}

// A cancelled run must return within 20 s and leave none of its processes running. The experiment lasts 300 s and is
// cancelled during its load.
func TestCancelledRunLeavesNoProcesses(t *testing.T) {
	experiment, err := ParseExperiment("story.toml", []byte("directors = 5\nseconds = 300.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	loadRunning := make(chan struct{}, 400)
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, experiment, Options{Binary: buildDirector(t), Dir: dir,
			Progress: func(float64) { loadRunning <- struct{}{} }})
	}()
	<-loadRunning
	if n := len(remainingProcesses(t, dir)); n != 5 {
		t.Errorf("got %d running directors, want 5", n)
	}
	cancel()
	select {
	case err := <-done:
		if err == nil {
			t.Error("Run returned no error after its cancellation")
		}
	case <-time.After(20 * time.Second):
		t.Fatal("Run did not return within 20 s of its cancellation")
	}
	if pids := remainingProcesses(t, dir); len(pids) > 0 {
		t.Errorf("processes still running after the run: %v", pids)
	}
}

// Concurrent runs in one process must use distinct subnets, which are derived from their folders; otherwise one run
// could take over a port of another.
func TestConcurrentRunsUseDistinctSubnets(t *testing.T) {
	seen := map[byte]bool{}
	for i := range 40 {
		seen[subnetOf(fmt.Sprintf("/tmp/run/%03d", i))] = true
	}
	if len(seen) < 30 { // 40 draws from 200 subnets give 36 distinct ones on average
		t.Errorf("got %d subnets for 40 runs, want at least 30", len(seen))
	}
}

// Parsing an invalid experiment must fail with an error that names the file, the line and the key, so that a run never
// starts with invalid values.
func TestInvalidExperimentErrorsNameTheKey(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown key", "directors = 4\nspeed = 3\n", "x.toml:2: speed: no such key"},
		{"value out of range", "[clients]\nzipf = 0.5\n", "x.toml:2: clients.zipf: 0.5 is not within"},
		{"unknown action", "directors = 4\n\n[[step]]\nat = 1.0\ndo = \"dance\"\n",
			"x.toml:5: step[0].do: \"dance\""},
		{"unknown link", "[[step]]\nat = 1.0\ndo = \"cut\"\nlink = \"moon\"\n", "x.toml:4: step[0].link: \"moon\""},
		{"second event", "[[step]]\ndo=\"kill\"\n[[step]]\ndo=\"kill\"\nshare = 1.5\n",
			"x.toml:5: step[1].share: 1.5"},
		{"wrong type", "directors = \"many\"\n", "x.toml:1: directors"},
		{"unknown figure", "[[bound]]\nfigure = \"luck\"\n", "x.toml:2: bound[0].figure: \"luck\""},
		{"unknown mode", "[list]\nbegin = \"odd\"\n", "x.toml:2: list.begin: \"odd\""},
		{"no caches", "directors = 4\n[caches]\ncount = 0\n", "x.toml:3: caches.count: 0 is not within"},
		{"event after the end", "[[step]]\nat = 99.0\ndo = \"kill\"\n", "x.toml:2: step[0].at: 99"},
		{"flap without ends", "[[step]]\ndo = \"list-flap\"\nage_to = 1.0\n",
			"x.toml:2: step[0].do: list-flap needs"},
		{"unknown end", "[[step]]\ndo = \"list-flap\"\nage_to = 1.0\nends = [\"bang\"]\n",
			"x.toml:4: step[0].ends: \"bang\""},
		{"ages out of order", "[[step]]\ndo = \"list-flap\"\nends = [\"half\"]\nage_from = 2.0\nage_to = 1.0\n",
			"x.toml:5: step[0].age_to: 1"},
		{"copies kept too long", "[[step]]\ndo = \"purge\"\nkeep = 6.5\n", "x.toml:3: step[0].keep: 6.5"},
		{"broken syntax", "directors = [", "x.toml:1"},
		{"not a number", "[clients]\nrepayments = nan\n", "x.toml:2: clients.repayments: NaN"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseExperiment("x.toml", []byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("ParseExperiment(%q): got error %v, want it to contain %q", test.text, err, test.want)
			}
		})
	}
}

// readReply must not panic on any frame, and a frame that it accepts must have an outcome.
func FuzzReadReply(f *testing.F) {
	f.Add([]byte{0x80, 1, 0, 2, 0, 0, 0, 1, 'x', 0, 0, 0, 1, 12, 0, 0, 11, 0, 1, 0, 0, 0, 1, 'b', 2, 0, 3, 1, 0, 0})
	f.Fuzz(func(t *testing.T, frame []byte) {
		if _, r, err := readReply(frame); err == nil && r.outcome == "" {
			t.Error("readReply returned neither an outcome nor an error")
		}
	})
}
