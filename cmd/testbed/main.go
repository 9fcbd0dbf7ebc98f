// Command testbed starts directors as processes of their own between stand-ins, injects faults between them by a
// script, and judges the recorded history. docs/testbed.md tells how to use it.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"shaleyard/internal/checker"
	"shaleyard/internal/testbed"
)

// Exit statuses.
const (
	exitPass       = 0
	exitViolations = 1
	exitUsage      = 2 // not usable as called
)

type cli struct {
	Run   runCommand   `cmd:"" name:"run" help:"Play an experiment."`
	List  listCommand  `cmd:"" name:"list" help:"List the experiments of a folder."`
	Check checkCommand `cmd:"" name:"check" help:"Judge a record again."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// exitCode is what kong panics with to end the program, as after --help.
type exitCode int

func run(args []string, out, errs io.Writer) (status int) {
	var commands cli
	parser, err := kong.New(&commands, kong.Name("testbed"),
		kong.Description("Plays experiments on a fleet of directors, and judges them."),
		kong.Writers(out, errs), kong.Exit(func(status int) { panic(exitCode(status)) }))
	if err != nil {
		fmt.Fprintln(errs, "testbed:", err)
		return exitUsage
	}
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		code, ok := r.(exitCode)
		if !ok {
			panic(r)
		}
		status = int(code)
	}()
	ctx, err := parser.Parse(args)
	if err == nil {
		err = ctx.Run(&console{out: out})
	}
	switch {
	case errors.Is(err, errViolations):
		return exitViolations
	case err != nil:
		fmt.Fprintln(errs, "testbed:", err)
		return exitUsage
	}
	return exitPass
}

// errViolations says that a rule or a bound was broken; the verdict has been printed.
var errViolations = errors.New("a rule or a bound is broken")

// console is where commands print to.
type console struct{ out io.Writer }

type listCommand struct {
	Folder string `arg:"" name:"folder" optional:"" default:"experiments" type:"existingdir"`
}

// Run lists the experiments; one that can't be read is an error.
func (c *listCommand) Run(o *console) error {
	folder := cmp.Or(c.Folder, "experiments")
	files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("no experiments in %s", folder)
	}
	slices.Sort(files)
	for _, file := range files {
		experiment, err := testbed.LoadExperiment(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.out, "%-20s %4d directors %4.0f s  %s\n",
			experiment.Name, experiment.Directors, experiment.Seconds, strings.TrimSpace(experiment.About))
	}
	return nil
}

type checkCommand struct {
	History string `arg:"" name:"record" type:"existingfile"`
}

// Run judges a history.
func (c *checkCommand) Run(o *console) error {
	verdict, err := checkHistory(c.History)
	if err != nil {
		return err
	}
	result := report{Experiment: c.History, Violations: verdict.Violations, Metrics: verdict.Metrics}
	return result.finish(o.out)
}

func checkHistory(path string) (*checker.Verdict, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	verdict, err := checker.Check(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return verdict, nil
}
