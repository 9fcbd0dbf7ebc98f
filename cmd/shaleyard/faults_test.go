package main

import (
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// remainingTime returns the value of the patience field of a command that a cache received: the time, in milliseconds
// on the wire, that the cache has left to respond.
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
	t.Fatalf("no patience field in %q", command)
	return 0
}

// remainingTimeSlack is the time by which the patience field may exceed the time that is left until the client's
// timeout. The test measures the time that is left only after it has read the command, and so somewhat later than the
// director.
const remainingTimeSlack = 150 * time.Millisecond

// The time that an attempt gives the cache in its patience field must not exceed the time that is left until the
// client's timeout. Otherwise the cache works for a client that has given up. The test checks the first attempt, a
// retry after a connection reset that came 600 ms later, and an attempt after the process was stopped for 1.5 s while
// the request waited unread in the socket.
func TestAttemptPatienceIsTheRemainingTime(t *testing.T) {
	env := newHarness(t)
	child := startProcess(t, env.configJSON(256), 256)
	env.discovery.Accept().ReadLine()
	submitFields := func(ref string) []string {
		return withTimeout(requestFields("media", ref), "6000")
	}
	wantRemaining := func(what string, sent time.Time, command []string) {
		t.Helper()
		if got, want := remainingTime(t, command), 6*time.Second-time.Since(sent); got > want+remainingTimeSlack {
			t.Errorf("%s: patience = %v, want at most the remaining %v plus %v", what, got, want, remainingTimeSlack)
		}
	}
	client := nettest.Dial(t, child.address)
	sent := time.Now()
	client.Submit(1, "", submitFields(ref1)...)
	cacheConn := env.cache.Accept()
	wantRemaining("first attempt", sent, cacheConn.ReadCommand())
	time.Sleep(600 * time.Millisecond) // the reset comes late
	cacheConn.Reset()
	cacheConn = env.cache.Accept()
	wantRemaining("after a reset", sent, cacheConn.ReadCommand())
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "x")
	client.ReadReply()

	child.pause()
	sent = time.Now()
	client.Submit(2, "", submitFields(ref2)...)
	time.Sleep(1500 * time.Millisecond)
	child.signal(syscall.SIGCONT)
	wantRemaining("after a pause", sent, cacheConn.ReadCommand())
	cacheConn.WriteArray(ref2, "OK", "n=HIT", "y")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Body: "y", Good: true})
	child.stopGracefully()
}

// With request deadlines of 1 s, the platform may send SIGKILL 1.7 s after SIGTERM. The caches do not respond, and
// clients keep sending on open connections. By the time of SIGKILL the process must have answered all requests and
// ended by itself.
func TestStopWithShortDeadlinesAnswersBeforeSIGKILL(t *testing.T) {
	cache := serveTCP(t, respondingCache(10*time.Second, "x"))
	proc := startOperatedWith(t, func(text string, env *harness) string {
		text = strings.ReplaceAll(text, env.cache.Addr(), cache)
		text = strings.ReplaceAll(text, env.origin.Addr(), cache)
		return strings.ReplaceAll(text, `"deadline":20000000000`, `"deadline":1000000000`)
	})
	load := startLoad(t, proc.address, 24)
	time.Sleep(300 * time.Millisecond) // attempts are outstanding by then
	proc.signal(syscall.SIGTERM)
	kill := time.AfterFunc(1700*time.Millisecond, func() { _ = proc.Process.Kill() }) // as the platform may do
	defer kill.Stop()
	time.Sleep(300 * time.Millisecond)
	load.serverStopping.Store(true)
	proc.waitForLog(`"to":"ended"`) // the process has ended its work before SIGKILL
	proc.skipLog()
	_ = proc.Wait() // SIGKILL may come just before the process exits; stopAndCheck fails if it has lost a request
	load.stopAndCheck()
}

// Interrupted and partial system calls must not lose a request: each request must get an answer of the length that the
// answer's frame header gives, except for the race that loadClient.request describes. The content of the answers is not
// compared, so a rejection is an answer as well. The process gets hundreds of signals, every second epoll_wait fails
// with EINTR, and a write accepts at most 100 bytes.
func TestInterruptedSystemCallsLoseNoRequest(t *testing.T) {
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

// When the kernel cannot register a new connection with epoll, no request may be lost: each request must get an answer,
// of any content, except for the race that loadClient.request describes. The test does not check whether a failed
// registration is attributed to a cache. After the first ten, every seventh EPOLL_CTL_ADD fails with ENOMEM.
func TestFailedEpollRegistrationsLoseNoRequest(t *testing.T) {
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
	time.Sleep(1500 * time.Millisecond) // long enough for hundreds of connections
	load.stopAndCheck()
	proc.signal(syscall.SIGTERM)
	proc.waitExit()
}

// startWithFaults builds the program with changed files of golang.org/x/sys and starts it with a cache that responds.
// The keys of changes are paths inside the module; each value returns the changed text of its file.
func startWithFaults(t *testing.T, changes map[string]func(text string) string) *operatedProcess {
	t.Helper()
	program := buildWithModule(t, "golang.org/x/sys", changes)
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

// The system may allow fewer descriptors than the configuration says. A connect that then fails with EMFILE must not
// count as a failure of the cache: no cache is ejected, and the request waits and is served once descriptors are
// available again.
func TestConnectsWithoutDescriptorsEjectNoServer(t *testing.T) {
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
		t.Errorf("connect failed with %s, want too many open files", line)
	}
	prlimit(t, child.Process.Pid, &before, nil)
	cacheConn := env.cache.Accept()
	cacheConn.WriteArray(cacheConn.ReadCommand()[1], "OK", "n=HIT", "x")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Body: "x", Good: true})
	child.signal(syscall.SIGTERM)
	for child.lines.Scan() {
		if strings.Contains(child.lines.Text(), `"msg":"eject`) {
			t.Errorf("server ejected, want no ejection: %s", child.lines.Text())
		}
	}
	if err := child.Wait(); err != nil {
		t.Error(err)
	}
}
