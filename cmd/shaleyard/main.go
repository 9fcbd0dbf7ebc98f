// Command shaleyard is a director, a proxy between clients and edge caches. It accepts clients' requests, forwards them
// to edge caches, parents and the origin as package routing decides, and answers each request exactly once. This
// package wires the other packages together, and handles the command line, environment, configuration, signals,
// operators' calls, logs and the exit status.
package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"shaleyard/internal/admin"
	"shaleyard/internal/config"
)

// Exit statuses of the process.
const (
	exitOK      = 0
	exitFailure = 1 // the configuration is invalid, the start failed, or the event loop failed
	exitUsage   = 2 // the command line or an operators' file is invalid
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
	}
	err := run(os.Getenv, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "shaleyard:", err)
	}
	os.Exit(exitStatus(err))
}

// exitStatus returns the exit status for the error that ended the director, or exitOK for nil.
func exitStatus(err error) int {
	var badFile operatorFileError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &badFile):
		return exitUsage
	default:
		return exitFailure
	}
}

// operatorFileError is the error for an operators' file that can't be read or is invalid. It occurs only before any
// part of the director has started.
type operatorFileError struct{ error }

// Unwrap returns the error of reading the file.
func (e operatorFileError) Unwrap() error { return e.error }

// run starts the director and serves until its event loop ends. It returns the error that prevented the start or ended
// the event loop, or nil after a graceful shutdown. Logs are written to logTo.
func run(getenv func(string) string, logTo io.Writer) error {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return fmt.Errorf("get the descriptor limit: %w", err)
	}
	// From here on, a signal that the program handles no longer ends the process by its default action, even if it
	// arrives during the start.
	received := notifySignals()
	defer received.stop()

	operatorFile, err := loadOperatorFile(getenv)
	if err != nil {
		return err
	}
	load := func() (*config.Config, error) { return loadConfig(getenv, descriptors.Cur, operatorFile) }
	conf, err := load()
	if err != nil {
		return err
	}
	setRuntimeLimits(&conf.Limits)
	prog, err := newProgram(conf, operatorFile.Failover, newLogger(logTo, operatorFile.Log.Level, conf.Name))
	if err != nil {
		return err
	}
	if err := prog.discovery.Bootstrap(conf.Bootstrap); err != nil {
		return err
	}
	conf.Bootstrap = config.Bootstrap{} // already applied; frees its memory

	operators := &operatorAPI{program: prog}
	if conf.OperatorAddress != "" {
		server, err := admin.Listen(conf.OperatorAddress, conf.Limits.MaxOperatorConns, operators)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		defer server.Close()
		go server.Serve()
	}
	prog.eventLoop.Boot = func() {
		prog.log.Info("listens on "+prog.eventLoop.Address(), zap.Int("descriptors", conf.Limits.Descriptors),
			zap.Int64("memory_mb", conf.Limits.MemoryBytes>>20))
		operators.booted.Store(true)
		prog.start()
		prog.handleSignals(received, load)
	}
	err = prog.eventLoop.Run(conf.ListenAddress)
	prog.reporter.logCounters()
	prog.reporter.logLatestEvents("exit", conf.Limits.FlightRecorderEventsAtExit)
	return err
}

// loadOperatorFile reads the operators' file that SHALEYARD_CONFIG names. If SHALEYARD_CONFIG is empty, it returns an
// empty file, which leaves all defaults in place.
func loadOperatorFile(getenv func(string) string) (*config.OperatorFile, error) {
	path := getenv("SHALEYARD_CONFIG")
	if path == "" {
		return &config.OperatorFile{}, nil
	}
	operatorFile, err := config.LoadOperator(path)
	if err != nil {
		return nil, operatorFileError{fmt.Errorf("SHALEYARD_CONFIG: %w", err)}
	}
	return operatorFile, nil
}

// loadConfig reads the configuration file that EDGE_CONFIG names, and overrides default limits with those that the
// operators' file sets. The number of descriptors is the limit of the process.
func loadConfig(
	getenv func(string) string,
	descriptors uint64,
	operatorFile *config.OperatorFile,
) (*config.Config, error) {
	conf, err := config.Load(getenv, descriptors)
	if err != nil {
		return nil, err
	}
	operatorFile.Apply(&conf.Limits)
	return conf, nil
}

// setRuntimeLimits sets the Go runtime's memory limit and GOMAXPROCS from the memory and cores in limits.
func setRuntimeLimits(limits *config.Limits) {
	debug.SetMemoryLimit(limits.MemoryBytes)
	// GOMAXPROCS is one more than the cores, because the event loop blocks in epoll_wait. Timers and dials must not be
	// delayed until the runtime detects that its thread is blocked.
	runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)) + 1)
}
