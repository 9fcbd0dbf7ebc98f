package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// descriptorLimitEnv is set for processes that the tests start as the program; its value is their limit on descriptors.
const descriptorLimitEnv = "SHALEYARD_TEST_DESCRIPTORS"

// TestMain is the program itself where a test has started it as such.
func TestMain(m *testing.M) {
	limit, err := strconv.ParseUint(os.Getenv(descriptorLimitEnv), 10, 64)
	if err != nil {
		os.Exit(m.Run())
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		panic(err)
	}
	os.Args = os.Args[:1]
	main()
}

// process is the program in a process of its own.
type process struct {
	*exec.Cmd
	t          *testing.T
	configFile string
	address    string         // where it listens
	lines      *bufio.Scanner // of its log
}

// newProcess prepares the program without starting it, so that a test can change its environment and descriptors first.
func newProcess(t *testing.T, program string, text []byte, descriptors int) *process {
	t.Helper()
	child := &process{Cmd: exec.Command(program), t: t, configFile: filepath.Join(t.TempDir(), "config.json")}
	child.writeConfig(text)
	child.Env = append(
		os.Environ(),
		fmt.Sprintf("%s=%d", descriptorLimitEnv, descriptors),
		"EDGE_CONFIG="+child.configFile,
		"GORACE=atexit_sleep_ms=0",
	) // otherwise the race detector holds each exit up for a second
	return child
}

// launch starts the program; its log is read from here on.
func (p *process) launch() {
	p.t.Helper()
	log, err := p.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = p.Process.Kill() }) // which fails if it has ended
	p.lines = bufio.NewScanner(log)
	p.lines.Buffer(nil, 1<<20)
}

// waitListening waits until the program accepts clients.
func (p *process) waitListening() {
	p.t.Helper()
	_, rest, _ := strings.Cut(p.waitForLog("listens on"), "listens on ")
	p.address, _, _ = strings.Cut(rest, `"`)
}

// startProcess starts the program with a configuration and waits until it accepts clients.
func startProcess(t *testing.T, text []byte, descriptors int) *process {
	t.Helper()
	child := newProcess(t, os.Args[0], text, descriptors)
	child.launch()
	child.waitListening()
	return child
}

// writeConfig replaces the configuration.
func (p *process) writeConfig(text []byte) {
	p.t.Helper()
	if err := os.WriteFile(p.configFile, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// signal sends a signal.
func (p *process) signal(sig os.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(sig); err != nil {
		p.t.Errorf("signal %v: %v", sig, err)
	}
}

// pause stops the process by SIGSTOP, and waits until all its threads have stopped: on a busy machine the signal takes
// effect late, and what comes until then is still read.
func (p *process) pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	deadline := time.Now().Add(10 * time.Second)
	for !p.paused() {
		if time.Now().After(deadline) {
			p.t.Fatal("the process does not stop")
		}
		time.Sleep(time.Millisecond)
	}
}

// paused tells whether all threads of the process are stopped by a signal (state T of proc(5)).
func (p *process) paused() bool {
	p.t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Process.Pid))
	if err != nil || len(threads) == 0 {
		p.t.Fatalf("threads of the process: %v, %v", threads, err)
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			return false // the thread has ended meanwhile
		}
		// The state follows the name, which stands in parentheses and may hold any character.
		state := text[bytes.LastIndexByte(text, ')')+1:]
		if !bytes.HasPrefix(state, []byte(" T ")) {
			return false
		}
	}
	return true
}

// kill ends the process with SIGKILL and waits for that.
func (p *process) kill() {
	p.t.Helper()
	if err := p.Process.Kill(); err != nil {
		p.t.Errorf("kill: %v", err)
	}
	_ = p.Wait() // it reports the signal
}

// waitForLog waits for a line of the log that holds the text.
func (p *process) waitForLog(text string) string {
	p.t.Helper()
	last := "nothing"
	for p.lines.Scan() {
		last = p.lines.Text()
		if strings.Contains(last, text) {
			return last
		}
	}
	p.t.Fatalf("the log ended without %q, after %.300s", text, last)
	return ""
}

// skipLog reads the log to its end.
func (p *process) skipLog() {
	for p.lines.Scan() {
	}
}

// stopGracefully ends the process by SIGTERM; its exit status must be 0.
func (p *process) stopGracefully() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.skipLog()
	if err := p.Wait(); err != nil {
		p.t.Error(err)
	}
}
