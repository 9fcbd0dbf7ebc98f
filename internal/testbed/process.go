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

// directorName is a director's name in configurations and records.
func directorName(i int) string { return fmt.Sprintf("d%d", i) }

// process is one director: a real process of the program, started again under its name and address.
type process struct {
	testbed          *Testbed
	id               int
	discoveryAddress string // address of the list service for it

	mu            sync.Mutex
	address       string // where it listens; the same from its first start on
	cmd           *exec.Cmd
	starts        int
	started       time.Time
	knownRevision int  // last event in its last configuration
	inRotation    bool // the front holds it for ready
	stopped       bool
	listening     chan struct{}
	exited        chan struct{}
}

func (p *process) addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// isInRotation tells whether clients are sent there.
func (p *process) isInRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inRotation
}

// directorNice is the priority of directors, below that of the laboratory.
const directorNice = 5

// starter starts processes on one thread, which lives as long as the lab: a child is told to die with its
// parent thread, so that none is left behind also when the lab itself is killed.
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
	err := make(chan error)
	s.jobs <- func() { err <- cmd.Start() }
	if err := <-err; err != nil {
		return err
	}
	// The laboratory stands for the network and everybody else's machines: it must be on time when hundreds of directors
	// start at once on a few cores. A process may always lower its own children's priority.
	if err := syscall.Setpriority(syscall.PRIO_PROCESS, cmd.Process.Pid, directorNice); err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("priority of a director: %w", err)
	}
	return nil
}

// start runs the program. Its list is the present one, or for last the one it was started with before.
func (p *process) start(last bool) error {
	l := p.testbed
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	listen := p.address
	if listen == "" {
		listen = l.loopbackIP(4, p.id).String() + ":0"
	}
	if !last || p.knownRevision == 0 {
		p.knownRevision = l.discovery.eventCount()
	}
	p.starts++
	c := map[string]any{"name": directorName(p.id), "listen": listen,
		"seed":   fmt.Sprintf("%x", l.experiment.Seed<<32|uint64(p.starts)<<16|uint64(p.id)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": l.experiment.Sockets},
		"feed":   p.discoveryAddress, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known": l.discovery.knownEvents(p.knownRevision), "settings": l.directorSettings(p.id)}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	file := filepath.Join(l.dir, directorName(p.id)+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(l.binary)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file, "SHALEYARD_CONFIG="+l.operatorFile)
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := l.starter.start(cmd); err != nil {
		return err
	}
	p.cmd, p.started, p.stopped = cmd, time.Now(), false
	p.listening, p.exited = make(chan struct{}), make(chan struct{})
	l.history.record(Event{Kind: "process", Who: directorName(p.id), What: "start", Number: p.knownRevision})
	go p.followLog(cmd, bufio.NewScanner(log), p.listening, p.exited)
	go p.watchHeartbeats(p.listening, p.exited)
	return nil
}

// followLog reads the log, keeps it, and learns where the process listens.
func (p *process) followLog(cmd *exec.Cmd, log *bufio.Scanner, up, gone chan struct{}) {
	log.Buffer(nil, 1<<20)
	kept, err := os.OpenFile(filepath.Join(p.testbed.dir, directorName(p.id)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.testbed.fail(err)
	}
	seen := false
	for log.Scan() {
		if kept != nil {
			fmt.Fprintln(kept, log.Text())
		}
		if strings.Contains(log.Text(), `"msg":"we are cut off: `) {
			p.testbed.history.record(Event{Kind: "state", Who: directorName(p.id), What: "alone"})
		}
		if _, rest, ok := strings.Cut(log.Text(), `"msg":"site `); ok {
			site, rest, _ := strings.Cut(rest, ": ")
			state, _, _ := strings.Cut(rest, ", was ")
			p.testbed.history.record(Event{Kind: "state", Who: directorName(p.id), Site: site, What: state})
		}
		if _, rest, ok := strings.Cut(log.Text(), "listens on "); ok && !seen {
			seen = true
			address, _, _ := strings.Cut(rest, ": ")
			address, _, _ = strings.Cut(address, `"`)
			p.mu.Lock()
			p.address = address
			p.mu.Unlock()
			close(up)
		}
	}
	if kept != nil {
		kept.Close()
	}
	status := "exit"
	if err := cmd.Wait(); err != nil {
		status = err.Error()
	}
	p.mu.Lock()
	p.cmd, p.inRotation = nil, false
	p.mu.Unlock()
	p.testbed.history.record(Event{Kind: "process", Who: directorName(p.id), What: "gone", Class: status})
	close(gone)
}

// watchHeartbeats is the front: it takes the director in once a heartbeat is good, and notices a dead one late.
func (p *process) watchHeartbeats(up, gone chan struct{}) {
	select {
	case <-up:
	case <-gone:
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
			p.testbed.history.record(Event{Kind: "ready", Who: directorName(p.id), Value: float64(since.Microseconds()) / 1000})
		}
		wait := 20 * time.Millisecond
		if good {
			wait = 500 * time.Millisecond
		}
		select {
		case <-gone:
			return
		case <-time.After(wait):
		}
	}
}

func (p *process) heartbeat() bool {
	c, err := p.testbed.dialDirector(p.id)
	if err != nil {
		return false
	}
	defer c.Conn.Close()
	ch, _ := c.call(func(seq int32) []byte { return thriftCall(1, "heartbeat", seq, []byte{2, 0, 1, 0}) })
	if ch == nil {
		return false
	}
	select {
	case r := <-ch:
		return r.outcome == "served"
	case <-time.After(2 * time.Second):
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

// kill kills what runs and waits until it is gone.
func (p *process) kill() {
	p.mu.Lock()
	gone := p.exited
	if p.cmd == nil {
		p.mu.Unlock()
		return
	}
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	<-gone
}
