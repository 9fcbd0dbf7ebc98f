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

// buildDirector builds the director once; each experiment starts it in numbers.
func buildDirector(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "shaleyard")
	build := exec.Command("go", "build", "-o", path, "shaleyard/cmd/shaleyard")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// remainingProcesses are the processes whose configuration lies below a folder.
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

// Every experiment of the repository, with its own number of directors: whatever is broken between them, the
// rules hold, its bounds are kept, and no process is left.
func TestExperimentsKeepTheRules(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	if err != nil || len(files) < 22 {
		t.Fatalf("%d experiments, %v", len(files), err)
	}
	binary := buildDirector(t)
	// Three at a time: more, and a small machine keeps no times.
	places := make(chan struct{}, 3)
	t.Run("", func(t *testing.T) {
		for _, file := range files {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
				t.Parallel()
				places <- struct{}{}
				defer func() { <-places }()
				experiment, err := LoadExperiment(file)
				if err != nil {
					t.Fatal(err)
				}
				dir := t.TempDir()
				if err := Run(context.Background(), experiment, Options{Binary: binary, Dir: dir}); err != nil {
					t.Fatal(err)
				}
				f, err := os.Open(filepath.Join(dir, "record.jsonl"))
				if err != nil {
					t.Fatal(err)
				}
				defer f.Close()
				verdict, err := checker.Check(f)
				if err != nil {
					t.Fatal(err)
				}
				for _, violation := range append(verdict.Violations, experiment.CheckBounds(verdict.Metrics, nil)...) {
					t.Errorf("%s at %.0f ms, %s: %s", violation.Rule, violation.AtMS, violation.Who, violation.Detail)
				}
				if verdict.Metrics["requests"] < 100 {
					t.Errorf("%v requests: nothing was shown", verdict.Metrics["requests"])
				}
				if pids := remainingProcesses(t, dir); len(pids) > 0 {
					t.Errorf("left behind: %v", pids)
				}
			})
		}
	})
}

// An experiment that is called off ends soon, and ends all that it has started.
func TestCalledOffRunLeavesNothing(t *testing.T) {
	experiment, err := ParseExperiment("story.toml", []byte("directors = 5\nseconds = 300.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	begun := make(chan struct{}, 400)
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, experiment, Options{Binary: buildDirector(t), Dir: dir,
			Progress: func(float64) { begun <- struct{}{} }})
	}()
	<-begun
	if n := len(remainingProcesses(t, dir)); n != 5 {
		t.Errorf("%d processes run, want 5", n)
	}
	cancel()
	select {
	case err := <-done:
		if err == nil {
			t.Error("a run that was called off is no success")
		}
	case <-time.After(20 * time.Second):
		t.Fatal("goes on")
	}
	if pids := remainingProcesses(t, dir); len(pids) > 0 {
		t.Errorf("left behind: %v", pids)
	}
}

// Runs side by side keep apart by their folders, also in one process.
func TestRunsHaveAddressesOfTheirOwn(t *testing.T) {
	seen := map[byte]bool{}
	for i := range 40 {
		seen[subnetOf(fmt.Sprintf("/tmp/run/%03d", i))] = true
	}
	if len(seen) < 30 { // of 200: chance leaves 36 in the mean
		t.Errorf("%d networks for 40 runs", len(seen))
	}
}

// A bad experiment is an error that names the file, the line and the key, before anything starts.
func TestBadExperimentsAreNamed(t *testing.T) {
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
				t.Errorf("%q: error %v, want %q", test.text, err, test.want)
			}
		})
	}
}

func FuzzReadReply(f *testing.F) {
	f.Add([]byte{0x80, 1, 0, 2, 0, 0, 0, 1, 'x', 0, 0, 0, 1, 12, 0, 0, 11, 0, 1, 0, 0, 0, 1, 'b', 2, 0, 3, 1, 0, 0})
	f.Fuzz(func(t *testing.T, frame []byte) {
		if _, r, err := readReply(frame); err == nil && r.outcome == "" {
			t.Error("an answer without a meaning was taken")
		}
	})
}
