package testbed

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readinessInterval = 20 * time.Millisecond  // between heartbeats while the director fails them
	livenessInterval  = 500 * time.Millisecond // between heartbeats while the director answers them
	heartbeatTimeout  = 2 * time.Second
	maxLogLine        = 1 << 20
)

// directorName returns the name of a director in configurations, file names and histories.
func directorName(i int) string { return fmt.Sprintf("d%d", i) }

// process is one director. Each start runs the program as a new process with the same name and address.
type process struct {
	testbed          *Testbed
	id               int
	discoveryAddress string // where this director reaches the discovery service

	mu            sync.Mutex
	address       string // listen address; chosen at the first start, then fixed
	cmd           *exec.Cmd
	starts        int
	startedAt     time.Time
	knownRevision int           // last list event in its most recent configuration
	inRotation    bool          // the load balancer sends it requests
	suspended     bool          // by SIGSTOP
	listening     chan struct{} // closed when the log reports the listen address
	exited        chan struct{} // closed when the process has exited
}

func (p *process) addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// isInRotation reports whether the load balancer sends requests to this director.
func (p *process) isInRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inRotation
}

// directorNice is the nice value of directors. It gives them a lower priority than the testbed.
const directorNice = 5

// starter starts all processes from one OS thread that lives as long as the testbed. The kernel kills a process when
// the thread that started it ends (Pdeathsig), so no process survives the testbed, even if the testbed itself is
// killed.
type starter struct{ jobs chan func() }

func newStarter() *starter {
	s := &starter{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for job := range s.jobs {
			job()
		}
	}()
	return s
}

func (s *starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.jobs <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	// The testbed simulates the network and all other machines, so it must keep its timing when hundreds of directors
	// start at once on a few cores. Lowering the priority of a child needs no privileges.
	err := syscall.Setpriority(syscall.PRIO_PROCESS, cmd.Process.Pid, directorNice)
	if err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("set priority of director process: %w", err)
	}
	return nil
}

// start starts the program unless it is running already. Its configuration holds the current endpoint list, or with
// keepRevision the list of the previous start.
func (p *process) start(keepRevision bool) error {
	testbed := p.testbed
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if !keepRevision || p.knownRevision == 0 {
		p.knownRevision = testbed.discovery.eventCount()
	}
	p.starts++
	file, err := p.writeConfiguration()
	if err != nil {
		return err
	}
	cmd := exec.Command(testbed.binary)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file, "SHALEYARD_CONFIG="+testbed.operatorFile)
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := testbed.starter.start(cmd); err != nil {
		return err
	}
	p.cmd, p.startedAt, p.suspended = cmd, time.Now(), false
	p.listening, p.exited = make(chan struct{}), make(chan struct{})
	testbed.history.record(Event{Kind: "process", Who: directorName(p.id), What: "start", Number: p.knownRevision})
	go p.followLog(cmd, bufio.NewScanner(log), p.listening, p.exited)
	go p.watchHeartbeats(cmd, p.listening, p.exited)
	return nil
}

// writeConfiguration writes the configuration file that EDGE_CONFIG names and returns its path. The caller holds p.mu.
func (p *process) writeConfiguration() (path string, err error) {
	testbed := p.testbed
	listen := p.address
	if listen == "" {
		listen = testbed.loopbackIP(directorGroup, p.id).String() + ":0"
	}
	text, err := json.Marshal(map[string]any{
		"name":             directorName(p.id),
		"listen":           listen,
		"seed":             fmt.Sprintf("%x", testbed.experiment.Seed<<32|uint64(p.starts)<<16|uint64(p.id)),
		"limits":           map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": testbed.experiment.Sockets},
		"feed":             p.discoveryAddress,
		"flow_bytes_per_s": 310000,
		"link_bytes_per_s": 1240000,
		"known":            testbed.discovery.knownEvents(p.knownRevision),
		"settings":         testbed.directorSettings(p.id),
	})
	if err != nil {
		return "", err
	}
	path = filepath.Join(testbed.dir, directorName(p.id)+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// followLog reads the director's log until the process exits. It appends the log to a file, records changes of site
// states, and closes listening once the log reports the listen address. After the exit it records the exit status and
// closes exited.
func (p *process) followLog(cmd *exec.Cmd, log *bufio.Scanner, listening, exited chan struct{}) {
	testbed := p.testbed
	log.Buffer(nil, maxLogLine)
	path := filepath.Join(testbed.dir, directorName(p.id)+".log")
	logFile, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		testbed.fail(err)
	}
	addressFound := false
	for log.Scan() {
		line := log.Text()
		if logFile != nil {
			_, _ = fmt.Fprintln(logFile, line)
		}
		p.recordSiteState(line)
		if address, ok := listenAddress(line); ok && !addressFound {
			addressFound = true
			p.mu.Lock()
			p.address = address
			p.mu.Unlock()
			close(listening)
		}
	}
	if logFile != nil {
		_ = logFile.Close()
	}
	status := "exit"
	if err := cmd.Wait(); err != nil {
		status = err.Error()
	}
	p.mu.Lock()
	p.cmd, p.inRotation = nil, false
	p.mu.Unlock()
	testbed.history.record(Event{Kind: "process", Who: directorName(p.id), What: "gone", Class: status})
	close(exited)
}

// recordSiteState records the change of a site's health state that a log line reports, if it reports one. The format of
// the message is that of sitehealth.StateChange.String.
func (p *process) recordSiteState(line string) {
	if strings.Contains(line, `"msg":"we are cut off: `) {
		p.testbed.history.record(Event{Kind: "state", Who: directorName(p.id), What: "alone"})
	}
	if _, rest, ok := strings.Cut(line, `"msg":"site `); ok {
		site, rest, _ := strings.Cut(rest, ": ")
		state, _, _ := strings.Cut(rest, ", was ")
		p.testbed.history.record(Event{Kind: "state", Who: directorName(p.id), Site: site, What: state})
	}
}

// listenAddress extracts the listen address from a log line. ok is false if the line does not report one.
func listenAddress(line string) (address string, ok bool) {
	_, rest, ok := strings.Cut(line, "listens on ")
	address, _, _ = strings.Cut(rest, ": ")
	address, _, _ = strings.Cut(address, `"`)
	return address, ok
}

// watchHeartbeats simulates the load balancer: it adds the director to the rotation after a successful heartbeat and
// removes it after a failed one, until the process exits. Detection takes up to livenessInterval plus
// heartbeatTimeout.
func (p *process) watchHeartbeats(cmd *exec.Cmd, listening, exited chan struct{}) {
	select {
	case <-listening:
	case <-exited:
		return
	}
	for {
		healthy := p.heartbeat()
		if p.updateRotation(cmd, healthy) {
			p.testbed.history.record(Event{Kind: "ready", Who: directorName(p.id), Value: p.millisecondsSinceStart()})
		}
		pause := readinessInterval
		if healthy {
			pause = livenessInterval
		}
		select {
		case <-exited:
			return
		case <-time.After(pause):
		}
	}
}

// updateRotation adds the director to the rotation or removes it after a heartbeat of the process that cmd has started,
// and reports whether it was added. A heartbeat that is evaluated after the exit of its process has no effect: it would
// send clients to a director that is gone, or whose next process is not listening yet.
func (p *process) updateRotation(cmd *exec.Cmd, healthy bool) (added bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != cmd {
		return false
	}
	added = healthy && !p.inRotation
	// A suspended director stays in rotation, as a load balancer would not notice it before its clients do.
	p.inRotation = healthy || (p.inRotation && p.suspended)
	return added
}

// millisecondsSinceStart returns the time since the latest start of the process.
func (p *process) millisecondsSinceStart() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(time.Since(p.startedAt).Microseconds()) / 1000
}

func (p *process) heartbeat() bool {
	conn, err := p.testbed.dialDirector(p.id)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	answer, _ := conn.call(heartbeatCall)
	if answer == nil {
		return false
	}
	select {
	case r := <-answer:
		return r.outcome == outcomeServed
	case <-time.After(heartbeatTimeout):
		return false
	}
}

// signal sends a signal to the director process, if it is running, and records it as what.
func (p *process) signal(s syscall.Signal, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		p.suspended = true
	case syscall.SIGCONT:
		p.suspended = false
	}
	p.testbed.history.record(Event{Kind: "process", Who: directorName(p.id), What: what})
	if err := p.cmd.Process.Signal(s); err != nil {
		p.testbed.fail(fmt.Errorf("send signal %v to %s: %w", s, directorName(p.id), err))
	}
}

// kill kills the director process, if it is running, and waits until it has exited.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	if p.cmd == nil {
		p.mu.Unlock()
		return
	}
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	<-exited
}
