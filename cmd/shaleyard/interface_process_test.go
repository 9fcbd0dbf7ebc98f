package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/admin"
	"shaleyard/internal/lifecycle"
	"shaleyard/internal/nettest"
)

// The program reads these environment variables and no others; an error on one names it.
func TestEnvironmentVariables(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(fullEdgeConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	read := map[string]bool{}
	for _, test := range []struct{ name, value, says string }{
		{"EDGE_CONFIG", "", "EDGE_CONFIG: not set"},
		{"EDGE_CONFIG", file + "x", "EDGE_CONFIG: "},
		{"EDGE_NAME", "n2", "EDGE_NAME: "},
		{"EDGE_LISTEN", "127.0.0.1:9", "EDGE_LISTEN: "},
		{"EDGE_FD", "2", "EDGE_FD: "},
		{"EDGE_OPERATOR", "nowhere", `"nowhere" is no address`},
		{"SHALEYARD_CONFIG", file + "x", "SHALEYARD_CONFIG: "},
	} {
		environment := map[string]string{"EDGE_CONFIG": file, "EDGE_FD": "none"}
		environment[test.name] = test.value
		err := run(func(name string) string {
			read[name] = true
			return environment[name]
		}, io.Discard)
		if err == nil || !strings.Contains(err.Error(), test.says) {
			t.Errorf("%s=%q: %v, want %q", test.name, test.value, err, test.says)
		}
	}
	want := []string{"EDGE_CONFIG", "EDGE_FD", "EDGE_LISTEN", "EDGE_NAME", "EDGE_OPERATOR", "SHALEYARD_CONFIG"}
	if got := slices.Sorted(maps.Keys(read)); !slices.Equal(got, want) {
		t.Errorf("the program reads %q, want %q", got, want)
	}
	t.Setenv("SHALEYARD_CONFIG", file+"y")
	var out strings.Builder
	status := runCommand([]string{"plan", "--settings", file}, &out, &out)
	if status != 2 || !strings.Contains(out.String(), file+"y") {
		t.Errorf("plan with SHALEYARD_CONFIG: status %d, %s", status, out.String())
	}
}

// The words and flags of the command line, with the exit status of each.
func TestCommandLine(t *testing.T) {
	for _, test := range []struct {
		line   string
		status int
	}{
		{"check ../../deploy/shaleyard.toml", 0}, {"check nosuch.toml", 2}, {"check", 2}, {"check a b", 2}, {"serve",
			2},
		{"plan", 2}, {"plan -h", 0}, {"plan --settings nosuch.json", 2}, {"plan --nosuch", 2},
		{"-h", 0}, {"--help", 0}, {"--nosuch", 2},
	} {
		if got := runCommand(strings.Fields(test.line), io.Discard, io.Discard); got != test.status {
			t.Errorf("shaleyard %s: status %d, want %d", test.line, got, test.status)
		}
	}
	var help strings.Builder
	runCommand([]string{"plan", "-h"}, io.Discard, &help)
	matches := regexp.MustCompile(`(?m)^  -(\S+)`).FindAllStringSubmatch(help.String(), -1)
	flags := make([]string, 0, len(matches))
	for _, match := range matches {
		flags = append(flags, match[1])
	}
	if want := []string{"config", "json", "lost", "settings"}; !slices.Equal(flags, want) {
		t.Errorf("flags of plan: %q, want %q", flags, want)
	}
}

// recordingProcess is a process behind the operators' address; it notes what it is told.
type recordingProcess struct {
	mu               sync.Mutex
	ready, canResume bool
	calls            []string
}

func (p *recordingProcess) record(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, fmt.Sprintf(format, args...))
}

// takeCalls returns what the process was told since the last call.
func (p *recordingProcess) takeCalls() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.calls
	p.calls = nil
	return told
}

// Ready implements admin.Process.
func (p *recordingProcess) Ready() (bool, string) { return p.ready, "the reason" }

// Drain implements admin.Process.
func (p *recordingProcess) Drain() { p.record("drain") }

// Resume implements admin.Process.
func (p *recordingProcess) Resume() bool {
	p.record("resume")
	return p.canResume
}

// Called implements admin.Process.
func (p *recordingProcess) Called(method, path string, status int) {
	p.record("logged %s %s %d", method, path, status)
}

// operatorCall makes one call of an address and describes its answer.
func operatorCall(t *testing.T, address, method, path string) string {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	caller := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := caller.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s %s: %d %q", method, path, answer.StatusCode, body)
}

// Each HTTP call of the operators' address: method, path, status, body, and what the process is told.
func TestHTTPCalls(t *testing.T) {
	var rows strings.Builder
	for _, ready := range []bool{true, false} {
		process := &recordingProcess{ready: ready, canResume: ready}
		server, err := admin.Listen("127.0.0.1:0", 8, process)
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		go server.Serve()
		fmt.Fprintf(&rows, "ready, and can resume: %v\n", ready)
		for _, path := range []string{"/healthcheck", "/healthcheck/fail", "/healthcheck/ok", "/healthcheck/", "/"} {
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost,
				http.MethodDelete} {
				answer := operatorCall(t, server.Address(), method, path)
				fmt.Fprintf(&rows, "%s %q\n", answer, process.takeCalls())
			}
		}
	}
	wantGolden(t, "http.txt", rows.String())
}

// failedStart runs the program, which can't start, and returns its exit status and what it wrote.
func failedStart(t *testing.T, environment ...string) (status int, wrote string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), descriptorLimitEnv+"=256", "GORACE=atexit_sleep_ms=0"), environment...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// The exit status of a start that fails: 2 for the operators' file, 1 for everything else.
func TestExitStatusesOfAFailedStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	folder := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	document := func(listen, operator string) string {
		return fmt.Sprintf(`{"name":"n1","listen":%q,"feed":"127.0.0.1:1","operator":%q,"seed":"1",
			"limits":{"cores":1,"memory_mb":192,"sockets":256},"settings":%s}`, listen, operator, settingsJSON)
	}
	inUse := taken.Addr().String()
	for _, test := range []struct {
		name, environment string
		status            int
		says              string
	}{
		{"no configuration", "EDGE_CONFIG=", 1, "shaleyard: EDGE_CONFIG: not set"},
		{"no such configuration", "EDGE_CONFIG=" + filepath.Join(folder, "nosuch"), 1, "shaleyard: EDGE_CONFIG: "},
		{"a bad configuration", "EDGE_CONFIG=" + write("bad.json", "{"), 1, "shaleyard: config: "},
		{"clients' address in use", "EDGE_CONFIG=" + write("listen.json", document(inUse, "")), 1, "in use"},
		{"operators' address in use", "EDGE_CONFIG=" + write("operator.json", document("127.0.0.1:0", inUse)), 1,
			"in use"},
		{"no such operators' file", "SHALEYARD_CONFIG=" + filepath.Join(folder, "nosuch"), 2,
			"shaleyard: SHALEYARD_CONFIG: "},
		{"a bad operators' file", "SHALEYARD_CONFIG=" + write("bad.toml", "[list]\nhaste = 1\n"), 2,
			"shaleyard: SHALEYARD_CONFIG: "},
	} {
		if status, wrote := failedStart(
			t,
			test.environment,
		); status != test.status ||
			!strings.Contains(wrote, test.says) {
			t.Errorf("%s: status %d, want %d with %q:\n%s", test.name, status, test.status, test.says, wrote)
		}
	}
}

// The names of the process's states are the body of a GET of /healthcheck that is answered 503, and stand in the log.
func TestNamesOfProcessStates(t *testing.T) {
	names := make([]string, 0, lifecycle.Ended+1)
	for state := range lifecycle.Ended + 1 {
		names = append(names, state.String())
	}
	want := []string{"starting", "ready", "draining", "drained", "stopping", "closing", "ended"}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// SIGUSR1 has the process write its latest events, SIGHUP has it read its configuration anew, and SIGTERM and SIGINT
// end it with status 0. The operators' address takes calls.
func TestSignals(t *testing.T) {
	for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		proc := startOperated(t)
		proc.signal(syscall.SIGUSR1)
		proc.waitForLog(`"cause":"SIGUSR1"`)
		proc.discovery = nettest.Listen(t)
		proc.writeConfig(proc.configJSON(256))
		proc.signal(syscall.SIGHUP)
		if got := proc.discovery.Accept().ReadLine(); got != "SUB 1" {
			t.Errorf("behind SIGHUP the new address was asked %q", got)
		}
		got := operatorCall(t, proc.operators, http.MethodPut, "/healthcheck/fail")
		if want := `PUT /healthcheck/fail: 200 ""`; got != want {
			t.Errorf("%s, want %s", got, want)
		}
		if got := proc.status(http.MethodGet, "/healthcheck"); got != http.StatusServiceUnavailable {
			t.Errorf("behind a drain GET /healthcheck: %d, want 503", got)
		}
		proc.signal(end)
		proc.skipLog()
		if err := proc.Wait(); err != nil || proc.ProcessState.ExitCode() != 0 {
			t.Errorf("%v: %v, want status 0", end, err)
		}
	}
}
