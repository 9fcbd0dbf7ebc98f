// Command testbed runs directors as separate processes against stand-ins for their peers, injects the faults that an
// experiment file schedules, and checks the recorded history. docs/testbed.md describes its use.
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
	exitUsage      = 2 // invalid arguments or files, or a run that failed
)

type cli struct {
	Run   runCommand   `cmd:"" name:"run" help:"Play an experiment."`
	List  listCommand  `cmd:"" name:"list" help:"List the experiments of a folder."`
	Check checkCommand `cmd:"" name:"check" help:"Judge a record again."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// exitCode is the value of the panic by which kong's exit function leaves the parser, for instance after --help. run
// recovers it and returns it as the exit status.
type exitCode int

// run parses the arguments, runs the command and returns the exit status. It prints errors other than errViolations to
// stderr.
func run(args []string, stdout, stderr io.Writer) (status int) {
	var commands cli
	parser, err := kong.New(&commands, kong.Name("testbed"),
		kong.Description("Plays experiments on a fleet of directors, and judges them."),
		kong.Writers(stdout, stderr), kong.Exit(func(status int) { panic(exitCode(status)) }))
	if err != nil {
		fmt.Fprintln(stderr, "testbed:", err)
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
		err = ctx.Run(&console{out: stdout})
	}
	switch {
	case errors.Is(err, errViolations):
		return exitViolations
	case err != nil:
		fmt.Fprintln(stderr, "testbed:", err)
		return exitUsage
	}
	return exitPass
}

// errViolations reports that the history violates a rule or a metric violates a bound. The report has been printed.
var errViolations = errors.New("a rule or a bound was violated")

// console holds the writer that commands print their results to.
type console struct{ out io.Writer }

type listCommand struct {
	Folder string `arg:"" name:"folder" optional:"" default:"experiments" type:"existingdir"`
}

// Run prints one line per experiment of the folder. An invalid experiment or an empty folder is an error.
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

// Run checks a recorded history and prints the report. It returns errViolations if the history violates a rule.
func (c *checkCommand) Run(o *console) error {
	verdict, err := checkHistory(c.History)
	if err != nil {
		return err
	}
	result := report{Experiment: c.History, Violations: verdict.Violations, Metrics: verdict.Metrics}
	return result.finish(o.out)
}

// checkHistory reads and checks the history in a file.
func checkHistory(path string) (*checker.Verdict, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only, so an error of Close loses no data
	verdict, err := checker.Check(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return verdict, nil
}
