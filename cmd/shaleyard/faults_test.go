package main

import (
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// remainingTime is what a request that reached a cache says of the time that is left, in milliseconds.
func remainingTime(t *testing.T, command []string) time.Duration {
	t.Helper()
	for field := range strings.SplitSeq(command[2], ",") {
		if value, ok := strings.CutPrefix(field, "patience="); ok {
			ms, err := strconv.Atoi(value)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(ms) * time.Millisecond
		}
	}
	t.Fatalf("no patience in %q", command)
	return 0
}

// remainingTimeSlack is how much more than its client has left an attempt may be given.
const remainingTimeSlack = 150 * time.Millisecond

// The time that a cache is given is what the client has left: with the first attempt, with a retry after a reset that
// came late, and where the process was paused while the request waited unread.
func TestPatienceIsWhatTheClientHasLeft(t *testing.T) {
	env := newHarness(t)
	child := startProcess(t, env.configJSON(256), 256)
	env.discovery.Accept().ReadLine()
	allow := func(ref string) []string {
		return withTimeout(requestFields("media", ref), "6000")
	}
	left := func(what string, sent time.Time, command []string) {
		t.Helper()
		if got, want := remainingTime(t, command), 6*time.Second-time.Since(sent); got > want+remainingTimeSlack {
			t.Errorf("%s: %v passed on, %v left", what, got, want)
		}
	}
	client := nettest.Dial(t, child.address)
	sent := time.Now()
	client.Submit(1, "", allow(ref1)...)
	cacheConn := env.cache.Accept()
	left("the first attempt", sent, cacheConn.ReadCommand())
	time.Sleep(600 * time.Millisecond) // a reset that comes late
	cacheConn.Reset()
	cacheConn = env.cache.Accept()
	left("after a reset", sent, cacheConn.ReadCommand())
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "x")
	client.ReadReply()

	child.pause()
	sent = time.Now()
	client.Submit(2, "", allow(ref2)...)
	time.Sleep(1500 * time.Millisecond)
	child.signal(syscall.SIGCONT)
	left("after a pause", sent, cacheConn.ReadCommand())
	cacheConn.WriteArray(ref2, "OK", "n=HIT", "y")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Body: "y", Good: true})
	child.stopGracefully()
}

// With deadlines of a second, SIGKILL may come 1.7 s after SIGTERM. The caches hang, and clients go on sending on open
// connections: all requests that were sent have their answers when the process ends, and it does so before.
func TestStopWithShortDeadlinesAnswersAllInTime(t *testing.T) {
	cache := serveTCP(t, respondingCache(10*time.Second, "x"))
	proc := startOperatedWith(t, func(text string, env *harness) string {
		text = strings.ReplaceAll(text, env.cache.Addr(), cache)
		text = strings.ReplaceAll(text, env.origin.Addr(), cache)
		return strings.ReplaceAll(text, `"deadline":20000000000`, `"deadline":1000000000`)
	})
	load := startLoad(t, proc.address, 24)
	time.Sleep(300 * time.Millisecond) // requests are out by then
	proc.signal(syscall.SIGTERM)
	kill := time.AfterFunc(1700*time.Millisecond, func() { _ = proc.Process.Kill() }) // as the platform does
	defer kill.Stop()
	time.Sleep(300 * time.Millisecond)
	load.serverStopping.Store(true)
	proc.waitForLog(`"to":"ended"`) // by itself
	proc.skipLog()
	_ = proc.Wait() // it may have been killed: the clients tell whether that was too soon
	load.stopAndCheck()
}

// Signals by the hundred, an epoll_wait that they interrupt every other time, and short writes: no request is lost, and
// no answer is corrupted.
func TestInterruptedSystemCallsLoseNothing(t *testing.T) {
	proc := startWithFaults(t, map[string]func(text string) string{
		"unix/zsyscall_linux.go": func(text string) string {
			return insertAfterLine(
				t,
				text,
				"func EpollWait(epfd int, events []EpollEvent, msec int) (n int, err error) {\n",
				"\tif waits++; waits%2 == 0 {\n\t\treturn -1, EINTR\n\t}\n",
			) + "\nvar waits int\n"
		},
		"unix/syscall_unix.go": func(text string) string {
			return insertAfterLine(t, text, "func Write(fd int, p []byte) (n int, err error) {\n",
				"\tif len(p) > 100 {\n\t\tp = p[:100]\n\t}\n")
		},
	})
	load := startLoad(t, proc.address, 12)
	for range 300 {
		proc.signal(syscall.SIGUSR1)
		time.Sleep(5 * time.Millisecond)
	}
	load.stopAndCheck()
	proc.signal(syscall.SIGTERM)
	proc.waitExit()
}

// The system refuses every seventh time to register a new connection with epoll. Clients whose connection it was are
// served all the same, and the caches are not blamed.
func TestRefusedRegistrationsLoseNothing(t *testing.T) {
	proc := startWithFaults(t, map[string]func(text string) string{
		"unix/zsyscall_linux.go": func(text string) string {
			return insertAfterLine(
				t,
				text,
				"func EpollCtl(epfd int, op int, fd int, event *EpollEvent) (err error) {\n",
				"\tif op == EPOLL_CTL_ADD {\n\t\tif adds++; adds > 10 && adds%7 == 0 {\n"+
					"\t\t\treturn ENOMEM\n\t\t}\n\t}\n",
			) +
				"\nvar adds int\n"
		},
	})
	load := startLoad(t, proc.address, 12)
	time.Sleep(1500 * time.Millisecond) // hundreds of connections
	load.stopAndCheck()
	proc.signal(syscall.SIGTERM)
	proc.waitExit()
}

// startWithFaults starts the program with changed wrappers of system calls, and with a cache that answers.
func startWithFaults(t *testing.T, change map[string]func(text string) string) *operatedProcess {
	t.Helper()
	program := buildWithModule(t, "golang.org/x/sys", change)
	cache := serveTCP(t, respondingCache(time.Millisecond, strings.Repeat("0123456789abcdef", 1000)))
	env := newHarness(t)
	text := strings.ReplaceAll(string(env.configJSON(256)), env.cache.Addr(), cache)
	text = strings.ReplaceAll(text, env.discovery.Addr(), serveTCP(t, idleDiscoveryService))
	proc := &operatedProcess{process: newProcess(t, program, []byte(text), 256), harness: env}
	proc.launch()
	proc.waitListening()
	go proc.skipLog()
	return proc
}

// A director may hold fewer descriptors than its configuration says: connections that can't be opened are waited for,
// and all requests are served when there are descriptors again.
func TestConnectsWithoutDescriptorsAreNoEvidence(t *testing.T) {
	env := newHarness(t)
	child := startProcess(t, env.configJSON(256), 256)
	env.discovery.Accept().ReadLine()
	client := nettest.Dial(t, child.address)
	client.Heartbeat(1)
	var before syscall.Rlimit
	prlimit(t, child.Process.Pid, nil, &before)
	prlimit(t, child.Process.Pid, &syscall.Rlimit{Cur: 3, Max: before.Max}, nil)
	client.Submit(2, "", requestFields("media", ref1)...)
	if line := child.waitForLog("connect failed"); !strings.Contains(line, "too many open files") {
		t.Errorf("the connect failed otherwise: %s", line)
	}
	prlimit(t, child.Process.Pid, &before, nil)
	cacheConn := env.cache.Accept()
	cacheConn.WriteArray(cacheConn.ReadCommand()[1], "OK", "n=HIT", "x")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Body: "x", Good: true})
	child.signal(syscall.SIGTERM)
	for child.lines.Scan() {
		if strings.Contains(child.lines.Text(), `"msg":"eject`) {
			t.Errorf("a server was ejected: %s", child.lines.Text())
		}
	}
	if err := child.Wait(); err != nil {
		t.Error(err)
	}
}
