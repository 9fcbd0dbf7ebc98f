package rig2

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Config is what a director is told.
type Config struct {
	Name     string
	Listen   string
	Operator string // empty: none
	Feed     string
	Known    map[string]any
	Settings map[string]any
	Cores    float64
	MemoryMB int
	Sockets  int
	// Listening is the clients' listening socket, which the director inherits as descriptor 4; nil: it opens its own.
	Listening *os.File
}

// Director is a director that the run command of the deploy file has started.
type Director struct {
	Config  Config
	command *exec.Cmd
	folder  string
	done    chan struct{}
	log     *os.File
}

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// RunCommand returns a command of the deploy file, which stands in the current folder's deploy folder.
func RunCommand(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, found := strings.Cut(line, " = ")
		if found && name == key {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", fmt.Errorf("deploy file has no %s", key)
}

// WriteConfig writes the configuration of a director into the folder.
func (c *Config) WriteConfig(folder string) (string, error) {
	document := map[string]any{
		"name": c.Name, "listen": c.Listen, "seed": Ref(), "feed": c.Feed,
		"limits":           map[string]any{"cores": c.Cores, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known": c.Known, "settings": c.Settings,
	}
	if c.Operator != "" {
		document["operator"] = c.Operator
	}
	text, err := json.Marshal(document)
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// Start starts a director. Its log goes to a file in a temporary folder, which Kill removes.
func Start(config Config) (*Director, error) {
	run, err := RunCommand("run")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	path, err := config.WriteConfig(folder)
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", run)
	command.Env = append(os.Environ(), "EDGE_NAME="+config.Name, "EDGE_LISTEN="+config.Listen, "EDGE_CONFIG="+path,
		"TMPDIR="+folder)
	if config.Operator != "" {
		command.Env = append(command.Env, "EDGE_OPERATOR="+config.Operator)
	}
	if config.Listening != nil {
		command.ExtraFiles = []*os.File{nil, config.Listening} // the descriptors 3 and 4
		command.Env = append(command.Env, "EDGE_FD=4")
	}
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return nil, err
	}
	d := &Director{Config: config, command: command, folder: folder, done: make(chan struct{}), log: logFile}
	go func() {
		_ = command.Wait()
		close(d.done)
	}()
	running.Store(d, true)
	return d, nil
}

// running holds the directors that were started and not killed.
var running sync.Map

func killAll() {
	running.Range(func(director, _ any) bool {
		director.(*Director).Kill()
		return true
	})
}

// Signal sends a signal to the director.
func (d *Director) Signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

// PID returns the director's process id.
func (d *Director) PID() int { return d.command.Process.Pid }

// Folder returns the director's temporary folder.
func (d *Director) Folder() string { return d.folder }

// Exited reports whether the director has ended.
func (d *Director) Exited() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// WaitExit waits for the director's end, and reports whether it came in time.
func (d *Director) WaitExit(limit time.Duration) bool {
	select {
	case <-d.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// ExitStatus returns the director's exit status after its end.
func (d *Director) ExitStatus() string { return d.command.ProcessState.String() }

// Log returns what the director has logged.
func (d *Director) Log() string {
	text, _ := os.ReadFile(d.log.Name())
	return string(text)
}

// Kill ends the director and removes its folder.
func (d *Director) Kill() {
	d.Signal(syscall.SIGKILL)
	<-d.done
	running.Delete(d)
	_ = d.log.Close()
	_ = os.RemoveAll(d.folder)
}

var errNotReady = errors.New("director was not ready within 10 s")

// WaitReady waits until the director answers a heartbeat with good.
func (d *Director) WaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client, err := Dial(d.Config.Listen)
		if err != nil {
			continue
		}
		good := client.Heartbeat(time.Second)
		_ = client.Close()
		if good {
			return nil
		}
	}
	return errNotReady
}
