package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/checker"
)

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExitStatus(t *testing.T) {
	good := writeFile(t, "good.jsonl", `{"ms":1,"kind":"meta"}`+"\n")
	bad := writeFile(t, "bad.jsonl", `{"ms":1,"kind":"run","ref":"p"}`+"\n"+`{"ms":2,"kind":"run","ref":"p"}`+"\n")
	odd := writeFile(t, "odd.toml", "directors = 4\nspeed = 1\n")
	for _, test := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"check", good}, exitPass, "pass"},
		{[]string{"check", bad}, exitViolations, "p ran twice"},
		{[]string{"check", odd}, exitUsage, "line 1"},
		{[]string{"check", good + "x"}, exitUsage, "no such file"},
		{[]string{"run", odd}, exitUsage, "odd.toml:2: speed: no such key"},
		{[]string{"run", "../../experiments/skew.toml", "--directors", "500"}, exitUsage, "--directors: 500"},
		{[]string{"run", "../../experiments/skew.toml", "--load", "0"}, exitUsage, "--load: 0"},
		{[]string{"run", "../../experiments/skew.toml", "--binary", good + "x"}, exitUsage, "--binary"},
		{[]string{"list", "../../experiments"}, exitPass, "stopped-half"},
		{[]string{"list"}, exitUsage, "no experiments in"},
		{[]string{"list", filepath.Dir(odd)}, exitUsage, "odd.toml:2"},
		{[]string{"fly"}, exitUsage, "unexpected argument"},
		{[]string{"--help"}, exitPass, "Play an experiment"},
	} {
		var out strings.Builder
		if got := run(test.args, &out, &out); got != test.status || !strings.Contains(out.String(), test.says) {
			t.Errorf("%v: status %d, %q; want %d, %q", test.args, got, out.String(), test.status, test.says)
		}
	}
}

// directorProcesses are the processes whose configuration lies below a folder.
func directorProcesses(t *testing.T, dir string) (count int) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range all {
		if text, err := os.ReadFile(path); err == nil && strings.Contains(string(text), "EDGE_CONFIG="+dir) {
			count++
		}
	}
	return count
}

// waitUntil polls for something that another process does; the time is only so that a failure ends.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// A run against a baseline leaves both sets of figures; one that is interrupted, or killed with no chance to tidy
// up, leaves no process.
func TestRunsEndWhatTheyStart(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "shaleyard/cmd/testbed", "shaleyard/cmd/shaleyard")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	director, out := filepath.Join(bin, "shaleyard"), t.TempDir()
	var said strings.Builder
	short := writeFile(t, "short.toml", "directors = 3\nseconds = 1.0\n[[bound]]\nfigure = \"requests\"\nmost = 1.0\n")
	status := run(
		[]string{"run", short, "--binary", director, "--baseline", director, "--out", out, "--seed", "7"},
		&said,
		&said,
	)
	text, err := os.ReadFile(filepath.Join(out, "result.json"))
	if err != nil {
		t.Fatal(err, said.String())
	}
	var result struct {
		Experiment, Verdict string
		Seed                uint64
		Directors           int
		Broken              []checker.Violation
		Figures, Baseline   map[string]float64
	}
	if err := json.Unmarshal(text, &result); err != nil {
		t.Fatal(err)
	}
	if status != exitViolations || result.Verdict != "fail" || len(result.Broken) != 1 ||
		result.Broken[0].Rule != "bound" {
		t.Errorf("status %d, result %+v", status, result)
	}
	if result.Experiment != "short" || result.Seed != 7 || result.Directors != 3 {
		t.Errorf("result of another run: %+v", result)
	}
	if result.Figures["requests"] < 50 || result.Baseline["requests"] < 50 {
		t.Errorf("%v requests, of the baseline %v", result.Figures["requests"], result.Baseline["requests"])
	}
	long := writeFile(t, "long.toml", "directors = 4\nseconds = 300.0\n")
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGKILL} {
		dir := t.TempDir()
		testbed := exec.Command(filepath.Join(bin, "testbed"), "run", long, "--binary", director, "--out", dir)
		if err := testbed.Start(); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "its directors don't start", func() bool { return directorProcesses(t, dir) == 4 })
		if err := testbed.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		_ = testbed.Wait() // it was interrupted or killed: the status is looked at below
		if got := testbed.ProcessState.ExitCode(); signal == syscall.SIGINT && got != exitUsage {
			t.Errorf("interrupted: status %d, want %d", got, exitUsage)
		}
		waitUntil(
			t,
			"processes are left behind "+signal.String(),
			func() bool { return directorProcesses(t, dir) == 0 },
		)
	}
}
