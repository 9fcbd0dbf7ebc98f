package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestCheckAndPlanCommands checks the exit status and a part of the output of the check and plan commands, with valid
// and invalid files and options.
func TestCheckAndPlanCommands(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[list]\nhaste = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	endpoint := func(name, zone, kind string, weight int) string {
		return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","zone":%q,"type":%q,"status":"ready","weight":%d}`,
			name, zone, kind, weight)
	}
	site := write("site.json", `{"settings":{"dcs":["west","east","edge"],"kinds":["std","parent","origin"],
		"services":[{"name":"media","worth":2,"effect":"read_like"},{"name":"pay","worth":3,"effect":"non_idempotent"}],
		"familyInfo":{"masterKind":2,"secondTierKind":1,"seatsByZone":[0,0,4],"hubByZone":[0,1,0],"passOn":[false,
 true]}},
		"known":{"n":1,"events":[{"n":1,"members":{"index":1,"snapshot":true,"endpoints":[`+strings.Join([]string{
		endpoint(
			"c",
			"edge",
			"std",
			10,
		),
		endpoint("p", "west", "parent", 4),
		endpoint("q", "east", "parent", 4),
	}, ",")+`]}}]}}`)
	pinned := write("pin.toml", "[plan]\n[[plan.pin]]\nlost = \"west\"\nfrom = \"edge\"\nto = \"edge\"\nshare = 0.5\n")
	for _, test := range []struct {
		args       []string
		status     int
		wantOutput string
	}{
		{[]string{"check", "../../deploy/shaleyard.toml"}, 0, "list.heed_ms: 2s"},
		{[]string{"check", bad}, 2, "bad.toml:2: list.haste: no such key"},
		{[]string{"check", bad + "x"}, 2, "no such file"},
		{[]string{"check"}, 2, "check FILE"},
		{[]string{"serve"}, 2, "check FILE"},
		{[]string{"plan", "--settings", site, "--lost", "west"}, 0, "east 100%"},
		{[]string{"plan", "--settings", site, "--lost", "west,edge", "--json"}, 0, `"load": "nobody"`},
		{[]string{"plan", "--settings", site}, 0, "lost: east, west"},
		{[]string{"plan", "--settings", site, "--lost", "moon"}, 2, `"moon" is no site`},
		{[]string{"plan", "--settings", site, "--config", pinned}, 2, "pin.toml:5: plan.pin[0].to: edge is a branch"},
		{[]string{"plan", "--settings", site, "--config", bad}, 2, "list.haste"},
		{[]string{"plan", "--settings", bad}, 2, "invalid character"},
		{[]string{"plan"}, 2, "--settings FILE is needed"},
		{[]string{"--help"}, 0, "check an operators' file"},
	} {
		var out strings.Builder
		if got := runCommand(test.args, &out, &out); got != test.status ||
			!strings.Contains(out.String(), test.wantOutput) {
			t.Errorf("%v: got status %d, output %q; want status %d, output with %q", test.args, got, out.String(),
				test.status, test.wantOutput)
		}
	}
}

// TestInvalidOperatorFilePreventsStart checks that a process with an invalid operators' file exits with status 2 at its
// start and reports the line and the key.
func TestInvalidOperatorFilePreventsStart(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[pause]\nlimit_ms = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), descriptorLimitEnv+"=256", "SHALEYARD_CONFIG="+bad)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 2 ||
		!strings.Contains(string(out), "bad.toml:2: pause.limit_ms: 1 is not within") {
		t.Errorf("got %v, output %q; want exit status 2 and the invalid key", err, out)
	}
}
