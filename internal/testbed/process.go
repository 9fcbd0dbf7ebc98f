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
	heartbeatRetry   = 20 * time.Millisecond  // until a director is ready
	heartbeatPause   = 500 * time.Millisecond // from then on
	heartbeatTimeout = 2 * time.Second
	maxLogLine       = 1 << 20
)

// directorName is a director's name in configurations and histories.
func directorName(i int) string { return fmt.Sprintf("d%d", i) }

// process is one director: a real process of the program, started again under its name and address.
type process struct {
	testbed          *Testbed
	id               int
	discoveryAddress string // of the list service, for this director

	mu            sync.Mutex
	address       string // where it listens; the same from its first start on
	cmd           *exec.Cmd
	starts        int
	started       time.Time
	knownRevision int  // last list event in its last configuration
	inRotation    bool // clients are sent there
	stopped       bool
	listening     chan struct{}
	exited        chan struct{}
}

func (p *process) addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// isInRotation reports whether clients are sent there.
func (p *process) isInRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inRotation
}

// directorNice is the priority of directors, below that of the testbed.
const directorNice = 5

// starter starts processes on one thread, which lives as long as the testbed: a child is told to die with its parent
// thread, so that none is left behind also when the testbed itself is killed.
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
	// The testbed stands for the network and everybody else's machines: it must be on time when hundreds of directors
	// start at once on a few cores. A process may always lower its own children's priority.
	err := syscall.Setpriority(syscall.PRIO_PROCESS, cmd.Process.Pid, directorNice)
	if err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("priority of a director: %w", err)
	}
	return nil
}

// start runs the program. Its endpoint list is the present one, or for last the one it was started with before.
func (p *process) start(last bool) error {
	testbed := p.testbed
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if !last || p.knownRevision == 0 {
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
	p.cmd, p.started, p.stopped = cmd, time.Now(), false
	p.listening, p.exited = make(chan struct{}), make(chan struct{})
	testbed.history.record(Event{Kind: "process", Who: directorName(p.id), What: "start", Number: p.knownRevision})
	go p.followLog(cmd, bufio.NewScanner(log), p.listening, p.exited)
	go p.watchHeartbeats(p.listening, p.exited)
	return nil
}

// writeConfiguration writes the file that EDGE_CONFIG names. It is called with the lock held.
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

// followLog reads the log, keeps it, records what it says of sites, and learns where the process listens.
func (p *process) followLog(cmd *exec.Cmd, log *bufio.Scanner, listening, exited chan struct{}) {
	testbed := p.testbed
	log.Buffer(nil, maxLogLine)
	path := filepath.Join(testbed.dir, directorName(p.id)+".log")
	kept, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		testbed.fail(err)
	}
	listens := false
	for log.Scan() {
		line := log.Text()
		if kept != nil {
			_, _ = fmt.Fprintln(kept, line)
		}
		p.recordSiteState(line)
		if address, ok := listenAddress(line); ok && !listens {
			listens = true
			p.mu.Lock()
			p.address = address
			p.mu.Unlock()
			close(listening)
		}
	}
	if kept != nil {
		_ = kept.Close()
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

// recordSiteState records what a line of the log says of the health of sites (sitehealth.StateChange.String).
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

// listenAddress finds the address in the line of the log that tells it.
func listenAddress(line string) (address string, ok bool) {
	_, rest, ok := strings.Cut(line, "listens on ")
	address, _, _ = strings.Cut(rest, ": ")
	address, _, _ = strings.Cut(address, `"`)
	return address, ok
}

// watchHeartbeats stands for the load balancer: it takes the director into rotation once a heartbeat is good, and
// notices a dead one late.
func (p *process) watchHeartbeats(listening, exited chan struct{}) {
	select {
	case <-listening:
	case <-exited:
		return
	}
	for {
		good := p.heartbeat()
		p.mu.Lock()
		first := good && !p.inRotation
		p.inRotation = good || (p.inRotation && p.stopped) // a stopped one is noticed no sooner than its clients notice
		since := time.Since(p.started)
		p.mu.Unlock()
		if first {
			ms := float64(since.Microseconds()) / 1000
			p.testbed.history.record(Event{Kind: "ready", Who: directorName(p.id), Value: ms})
		}
		pause := heartbeatRetry
		if good {
			pause = heartbeatPause
		}
		select {
		case <-exited:
			return
		case <-time.After(pause):
		}
	}
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

// signal sends a signal by the process's id.
func (p *process) signal(s syscall.Signal, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	p.testbed.history.record(Event{Kind: "process", Who: directorName(p.id), What: what})
	if err := p.cmd.Process.Signal(s); err != nil {
		p.testbed.fail(fmt.Errorf("signal %v to %s: %w", s, directorName(p.id), err))
	}
}

// kill ends what runs and waits until it is gone.
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
