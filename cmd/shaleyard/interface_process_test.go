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

// TestEnvironmentVariables checks that the program reads exactly the expected environment variables, and that the error
// on an invalid value of one says which variable or value is invalid.
func TestEnvironmentVariables(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(fullEdgeConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	read := map[string]bool{}
	for _, test := range []struct{ name, value, wantError string }{
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
		if err == nil || !strings.Contains(err.Error(), test.wantError) {
			t.Errorf("%s=%q: got error %v, want %q", test.name, test.value, err, test.wantError)
		}
	}
	want := []string{"EDGE_CONFIG", "EDGE_FD", "EDGE_LISTEN", "EDGE_NAME", "EDGE_OPERATOR", "SHALEYARD_CONFIG"}
	if got := slices.Sorted(maps.Keys(read)); !slices.Equal(got, want) {
		t.Errorf("got environment variables %q, want %q", got, want)
	}
	t.Setenv("SHALEYARD_CONFIG", file+"y")
	var out strings.Builder
	status := runCommand([]string{"plan", "--settings", file}, &out, &out)
	if status != 2 || !strings.Contains(out.String(), file+"y") {
		t.Errorf("plan with SHALEYARD_CONFIG: got status %d, output %q; want status 2, output with %q", status,
			out.String(), file+"y")
	}
}

// TestCommandLine checks the exit status of each command with valid and invalid arguments, and the flags of plan.
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
			t.Errorf("shaleyard %s: got status %d, want %d", test.line, got, test.status)
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
		t.Errorf("flags of plan: got %q, want %q", flags, want)
	}
}

// recordingProcess implements admin.Process. It records the calls of all methods except Ready.
type recordingProcess struct {
	mu               sync.Mutex
	ready, canResume bool
	calls            []string
}

// record adds a call to the record.
func (p *recordingProcess) record(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, fmt.Sprintf(format, args...))
}

// takeCalls returns the recorded calls and clears the record.
func (p *recordingProcess) takeCalls() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := p.calls
	p.calls = nil
	return calls
}

// Ready implements admin.Process with the configured result.
func (p *recordingProcess) Ready() (bool, string) { return p.ready, "the reason" }

// Drain implements admin.Process. It only records the call.
func (p *recordingProcess) Drain() { p.record("drain") }

// Resume implements admin.Process. It records the call and returns the configured result.
func (p *recordingProcess) Resume() bool {
	p.record("resume")
	return p.canResume
}

// RecordCall implements admin.Process. It records the call with its method, path and status.
func (p *recordingProcess) RecordCall(method, path string, status int) {
	p.record("logged %s %s %d", method, path, status)
}

// operatorCall makes one HTTP call of an operators' address, and returns the method, path, status and body as text.
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

// TestHTTPCalls compares all HTTP calls of the operators' address with a golden file: for each method and path, the
// status, the body, and the calls of all methods of the process except Ready.
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

// failedStart runs the program with environment variables that prevent its start. It returns the exit status and the
// output.
func failedStart(t *testing.T, environment ...string) (status int, output string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), descriptorLimitEnv+"=256", "GORACE=atexit_sleep_ms=0"), environment...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// TestExitStatusesOfAFailedStart checks the exit status of a failed start: 2 for an invalid operators' file, 1 for
// every other cause.
func TestExitStatusesOfAFailedStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
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
	inUse := listener.Addr().String()
	for _, test := range []struct {
		name, environment string
		status            int
		wantOutput        string
	}{
		{"EDGE_CONFIG not set", "EDGE_CONFIG=", 1, "shaleyard: EDGE_CONFIG: not set"},
		{"missing configuration file", "EDGE_CONFIG=" + filepath.Join(folder, "nosuch"), 1, "shaleyard: EDGE_CONFIG: "},
		{"invalid configuration", "EDGE_CONFIG=" + write("bad.json", "{"), 1, "shaleyard: config: "},
		{"clients' address in use", "EDGE_CONFIG=" + write("listen.json", document(inUse, "")), 1, "in use"},
		{"operators' address in use", "EDGE_CONFIG=" + write("operator.json", document("127.0.0.1:0", inUse)), 1,
			"in use"},
		{"missing operators' file", "SHALEYARD_CONFIG=" + filepath.Join(folder, "nosuch"), 2,
			"shaleyard: SHALEYARD_CONFIG: "},
		{"invalid operators' file", "SHALEYARD_CONFIG=" + write("bad.toml", "[list]\nhaste = 1\n"), 2,
			"shaleyard: SHALEYARD_CONFIG: "},
	} {
		if status, output := failedStart(
			t,
			test.environment,
		); status != test.status ||
			!strings.Contains(output, test.wantOutput) {
			t.Errorf("%s: got status %d, want %d with %q; output:\n%s", test.name, status, test.status,
				test.wantOutput, output)
		}
	}
}

// TestNamesOfProcessStates checks the names of the lifecycle states. A name is the body of a 503 answer to GET
// /healthcheck and appears in the log, so operators' tools may depend on it.
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

// TestSignals checks that SIGUSR1 makes the process log its latest events, that SIGHUP makes it reload its
// configuration, and that SIGTERM and SIGINT end it with status 0. It also checks calls of the operators' address.
func TestSignals(t *testing.T) {
	for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		proc := startOperated(t)
		proc.signal(syscall.SIGUSR1)
		proc.waitForLog(`"cause":"SIGUSR1"`)
		proc.discovery = nettest.Listen(t)
		proc.writeConfig(proc.configJSON(256))
		proc.signal(syscall.SIGHUP)
		if got := proc.discovery.Accept().ReadLine(); got != "SUB 1" {
			t.Errorf("after SIGHUP the new address received %q, want %q", got, "SUB 1")
		}
		got := operatorCall(t, proc.operators, http.MethodPut, "/healthcheck/fail")
		if want := `PUT /healthcheck/fail: 200 ""`; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		if got := proc.status(http.MethodGet, "/healthcheck"); got != http.StatusServiceUnavailable {
			t.Errorf("GET /healthcheck after a drain: got status %d, want 503", got)
		}
		proc.signal(end)
		proc.skipLog()
		if err := proc.Wait(); err != nil || proc.ProcessState.ExitCode() != 0 {
			t.Errorf("%v: got %v, want exit status 0", end, err)
		}
	}
}
