// Command shaleyard is a director: it takes clients' requests, asks edge caches, parents and the origin as
// the decision module says, and answers each request once. This file holds what surrounds that: the
// environment, the configuration, signals and the exit.
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

func main() {
	if len(os.Args) > 1 {
		os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
	}
	err := run(os.Getenv, os.Stderr)
	var bad operatorFileError
	switch {
	case errors.As(err, &bad):
		fmt.Fprintln(os.Stderr, "shaleyard:", err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "shaleyard:", err)
		os.Exit(1)
	}
}

// operatorFileError is an operators' file that can't be used: the program ends with status 2 before anything starts.
type operatorFileError struct{ error }

func (e operatorFileError) Unwrap() error { return e.error }

func run(getenv func(string) string, logTo io.Writer) error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	// From here on no signal that the program knows ends it unasked, also while it starts.
	signals := notifySignals()
	defer signals.stop()
	operator := &config.OperatorFile{}
	if path := getenv("SHALEYARD_CONFIG"); path != "" {
		var err error
		if operator, err = config.LoadOperator(path); err != nil {
			return operatorFileError{fmt.Errorf("SHALEYARD_CONFIG: %w", err)}
		}
	}
	load := func() (*config.Config, error) {
		c, err := config.Load(getenv, files.Cur)
		if err == nil {
			operator.Apply(&c.Limits)
		}
		return c, err
	}
	c, err := load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(c.Limits.MemoryBytes)
	// One more than the cores: the loop sits in the kernel's wait, and timers and dials must not wait for
	// the runtime to notice that.
	runtime.GOMAXPROCS(int(math.Ceil(c.Limits.Cores)) + 1)
	p, err := newProgram(c, operator.Failover, newLogger(logTo, operator.Log.Level, c.Name))
	if err != nil {
		return err
	}
	if err := p.discovery.Bootstrap(c.Bootstrap); err != nil {
		return err
	}
	c.Bootstrap = config.Bootstrap{} // replayed; it would take up memory for good
	operators := &operatorAPI{program: p}
	if c.OperatorAddress != "" {
		if p.admin, err = admin.Listen(c.OperatorAddress, c.Limits.MaxOperatorConns, operators); err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		defer p.admin.Close()
		go p.admin.Serve()
	}
	p.eventLoop.Boot = func() {
		p.log.Info("listens on "+p.eventLoop.Address(), zap.Int("descriptors", c.Limits.Descriptors),
			zap.Int64("memory_mb", c.Limits.MemoryBytes>>20))
		operators.booted.Store(true)
		p.start()
		p.handleSignals(signals, load)
	}
	err = p.eventLoop.Run(c.ListenAddress)
	p.logCounters()
	p.log.Info("latest events", zap.String("cause", "exit"), zap.Uint64("recorded", p.flightRecorder.Total()),
		zap.Array("events", p.flightRecorder.Latest(c.Limits.FlightRecorderEventsAtExit)))
	return err
}
