package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckOfAnOperatorsFile(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[list]\nhaste = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"check", "../../deploy/shaleyard.toml"}, 0, "list.heed_ms: 2s"},
		{[]string{"check", bad}, 2, "bad.toml:2: list.haste: no such key"},
		{[]string{"check", bad + "x"}, 2, "no such file"},
		{[]string{"check"}, 2, "check FILE"},
		{[]string{"serve"}, 2, "check FILE"},
		{[]string{"--help"}, 0, "check an operators' file"},
	} {
		var out strings.Builder
		if got := command(c.args, &out, &out); got != c.status || !strings.Contains(out.String(), c.says) {
			t.Errorf("%v: status %d, %q; want %d, %q", c.args, got, out.String(), c.status, c.says)
		}
	}
}

// A bad operators' file ends the program with status 2 before anything starts.
func TestBadOperatorsFileEndsTheStart(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[pause]\nlimit_ms = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childLimit+"=256", "SHALEYARD_CONFIG="+bad)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(out), "bad.toml:2: pause.limit_ms: 1 is not within") {
		t.Errorf("%v, %q", err, out)
	}
}
