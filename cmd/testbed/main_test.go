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

// writeFile writes a file to a new temporary folder and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a wrong exit status, and against an error that doesn't name the file, key or option that is invalid.
func TestExitStatus(t *testing.T) {
	passing := writeFile(t, "good.jsonl", `{"ms":1,"kind":"meta"}`+"\n")
	failing := writeFile(t, "bad.jsonl", `{"ms":1,"kind":"run","ref":"p"}`+"\n"+`{"ms":2,"kind":"run","ref":"p"}`+"\n")
	unknownKey := writeFile(t, "odd.toml", "directors = 4\nspeed = 1\n")
	for _, test := range []struct {
		args   []string
		status int
		output string // substring of what is printed
	}{
		{[]string{"check", passing}, exitPass, "pass"},
		{[]string{"check", failing}, exitViolations, "p ran twice"},
		{[]string{"check", unknownKey}, exitUsage, "line 1"},
		{[]string{"check", passing + "x"}, exitUsage, "no such file"},
		{[]string{"run", unknownKey}, exitUsage, "odd.toml:2: speed: no such key"},
		{[]string{"run", "../../experiments/skew.toml", "--directors", "500"}, exitUsage, "--directors: 500"},
		{[]string{"run", "../../experiments/skew.toml", "--load", "0"}, exitUsage, "--load: 0"},
		{[]string{"run", "../../experiments/skew.toml", "--binary", passing + "x"}, exitUsage, "--binary"},
		{[]string{"list", "../../experiments"}, exitPass, "stopped-half"},
		{[]string{"list"}, exitUsage, "no experiments in"},
		{[]string{"list", filepath.Dir(unknownKey)}, exitUsage, "odd.toml:2"},
		{[]string{"fly"}, exitUsage, "unexpected argument"},
		{[]string{"--help"}, exitPass, "Play an experiment"},
	} {
		var out strings.Builder
		if got := run(test.args, &out, &out); got != test.status || !strings.Contains(out.String(), test.output) {
			t.Errorf("%v: got status %d, output %q, want status %d, output with %q",
				test.args, got, out.String(), test.status, test.output)
		}
	}
}

// directorProcesses returns the number of running processes whose configuration file is in a folder.
func directorProcesses(t *testing.T, dir string) (count int) {
	t.Helper()
	environs, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range environs {
		if text, err := os.ReadFile(path); err == nil && strings.Contains(string(text), "EDGE_CONFIG="+dir) {
			count++
		}
	}
	return count
}

// waitUntil polls a condition that other processes bring about. If it doesn't hold within 20 s, the test fails with
// failure as the message.
func waitUntil(t *testing.T, failure string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// result.json of a run with a baseline must hold the metrics of both. A run that is interrupted, or killed by SIGKILL
// and so without a chance to clean up, must leave no director process running.
func TestRunLeavesNoProcesses(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "shaleyard/cmd/testbed", "shaleyard/cmd/shaleyard")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	director, out := filepath.Join(bin, "shaleyard"), t.TempDir()
	var output strings.Builder
	short := writeFile(t, "short.toml", "directors = 3\nseconds = 1.0\n[[bound]]\nfigure = \"requests\"\nmost = 1.0\n")
	status := run(
		[]string{"run", short, "--binary", director, "--baseline", director, "--out", out, "--seed", "7"},
		&output,
		&output,
	)
	text, err := os.ReadFile(filepath.Join(out, "result.json"))
	if err != nil {
		t.Fatal(err, output.String())
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
		t.Errorf("got status %d, result %+v, want status %d, verdict fail, one violation of rule bound",
			status, result, exitViolations)
	}
	if result.Experiment != "short" || result.Seed != 7 || result.Directors != 3 {
		t.Errorf("got result %+v, want experiment short, seed 7, 3 directors", result)
	}
	if result.Figures["requests"] < 50 || result.Baseline["requests"] < 50 {
		t.Errorf("got %v requests, %v with the baseline, want at least 50 each",
			result.Figures["requests"], result.Baseline["requests"])
	}
	long := writeFile(t, "long.toml", "directors = 4\nseconds = 300.0\n")
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGKILL} {
		dir := t.TempDir()
		testbed := exec.Command(filepath.Join(bin, "testbed"), "run", long, "--binary", director, "--out", dir)
		if err := testbed.Start(); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the 4 directors did not start", func() bool { return directorProcesses(t, dir) == 4 })
		if err := testbed.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		_ = testbed.Wait() // an error is expected after either signal; the status is checked below
		if got := testbed.ProcessState.ExitCode(); signal == syscall.SIGINT && got != exitUsage {
			t.Errorf("after SIGINT: got status %d, want %d", got, exitUsage)
		}
		waitUntil(
			t,
			"director processes still running after signal "+signal.String(),
			func() bool { return directorProcesses(t, dir) == 0 },
		)
	}
}
