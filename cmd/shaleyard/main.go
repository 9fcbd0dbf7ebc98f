// Command shaleyard is a director: it takes clients' requests, has edge caches, parents and the origin answer them as
// the decision module in package routing says, and answers each request once. The other packages do the work; this one
// wires them together and handles what surrounds them: command line, environment, configuration, signals, operators'
// calls, logs and the exit status.
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

// The exit statuses.
const (
	exitOK      = 0
	exitFailure = 1 // the configuration can't be used, or the process could not go on
	exitUsage   = 2 // the command line, or a file of the operators, can't be used
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

// exitStatus is the status for the error that ended the director, or for nil.
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

// operatorFileError reports an operators' file that can't be used. It occurs before anything is started.
type operatorFileError struct{ error }

// Unwrap returns the cause.
func (e operatorFileError) Unwrap() error { return e.error }

// run is the director, from its start to the end of its event loop.
func run(getenv func(string) string, logTo io.Writer) error {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	// From here on no signal that the program handles ends it by default, also while it starts.
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
	conf.Bootstrap = config.Bootstrap{} // it has been applied, and would take up memory for good

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

// loadOperatorFile reads the file that SHALEYARD_CONFIG names; without one the defaults hold.
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

// loadConfig reads the file that EDGE_CONFIG names, and puts what the operators' file sets in place of the defaults.
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

// setRuntimeLimits tells the Go runtime of the memory and the cores that the process may use.
func setRuntimeLimits(limits *config.Limits) {
	debug.SetMemoryLimit(limits.MemoryBytes)
	// One more than the cores: the event loop blocks in epoll_wait, and timers and dials must not wait until the
	// runtime notices that.
	runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)) + 1)
}
