// Command yardlab is the fleet laboratory: it starts directors as processes of their own between stand-ins,
// breaks what lies between them by a script, and judges the record. docs/laboratory.md tells how to use it.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"shaleyard/internal/checker"
	"shaleyard/internal/testbed"
)

// Exit codes.
const (
	exitPass       = 0
	exitViolations = 1
	exitUsage      = 2 // not usable as called
)

type cli struct {
	Run   runCommand   `cmd:"" help:"Play an experiment."`
	List  listCommand  `cmd:"" help:"List the experiments of a folder."`
	Check checkCommand `cmd:"" help:"Judge a record again."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) (code int) {
	var c cli
	parser, err := kong.New(&c, kong.Name("yardlab"), kong.Description("The fleet laboratory of shaleyard."),
		kong.Writers(out, errs), kong.Exit(func(n int) { panic(exitCode(n)) }))
	if err != nil {
		fmt.Fprintln(errs, "yardlab:", err)
		return exitUsage
	}
	defer func() {
		if r := recover(); r != nil {
			n, ok := r.(exitCode)
			if !ok {
				panic(r)
			}
			code = int(n)
		}
	}()
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "yardlab:", err)
		return exitUsage
	}
	err = ctx.Run(&console{out, errs})
	var v violationsError
	switch {
	case errors.As(err, &v):
		return exitViolations
	case err != nil:
		fmt.Fprintln(errs, "yardlab:", err)
		return exitUsage
	}
	return exitPass
}

type exitCode int

// violationsError says that a rule or a bound was broken; the verdict has been printed.
type violationsError struct{}

func (violationsError) Error() string { return "a rule or a bound is broken" }

type console struct{ out, errs io.Writer }

type runCommand struct {
	File      string  `arg:"" help:"The experiment." type:"existingfile"`
	Seed      *uint64 `help:"In place of the file's."`
	Directors int     `help:"In place of the file's."`
	Load      float64 `default:"1" help:"Times the clients' load: what a machine can't play says nothing of the program."`
	Binary    string  `help:"The program." default:"bin/shaleyard"`
	Baseline  string  `help:"Another build, which plays the same seed in turn." type:"existingfile"`
	Out       string  `help:"Folder for record.jsonl, result.json and the directors' logs; made if need be."`
}

// report is what report.json holds.
type report struct {
	Experiment string              `json:"experiment"`
	Seed       uint64              `json:"seed"`
	Directors  int                 `json:"directors"`
	Verdict    string              `json:"verdict"`
	Violations []checker.Violation `json:"broken"`
	Metrics    map[string]float64  `json:"figures"`
	Baseline   map[string]float64  `json:"baseline,omitempty"`
}

// Run plays the experiment, and the baseline after it.
func (c *runCommand) Run(o *console) error {
	x, err := testbed.LoadExperiment(c.File)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		x.Seed = *c.Seed
	}
	if c.Directors != 0 {
		if c.Directors < 1 || c.Directors > 400 {
			return fmt.Errorf("--directors: %d is not within 1 and 400", c.Directors)
		}
		x.Scale(c.Directors)
	}
	if !(c.Load > 0 && c.Load <= 100) {
		return fmt.Errorf("--load: %v is not within 0 and 100", c.Load)
	}
	x.Clients.PerSecond *= c.Load
	if _, err := os.Stat(c.Binary); err != nil {
		return fmt.Errorf("--binary: %w", err)
	}
	if c.Out == "" {
		if c.Out, err = os.MkdirTemp("", "yardlab-"); err != nil {
			return err
		}
		defer os.RemoveAll(c.Out)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	v, err := playExperiment(ctx, x, c.Binary, c.Out, logger)
	if err != nil {
		return err
	}
	r := report{Experiment: x.Name, Seed: x.Seed, Directors: x.Directors, Metrics: v.Metrics}
	r.Violations = append([]checker.Violation{}, v.Violations...)
	if c.Baseline != "" {
		b, err := playExperiment(ctx, x, c.Baseline, filepath.Join(c.Out, "baseline"), logger)
		if err != nil {
			return fmt.Errorf("baseline: %w", err)
		}
		r.Baseline = b.Metrics
	}
	r.Violations = append(r.Violations, x.CheckBounds(r.Metrics, r.Baseline)...)
	r.Verdict = "pass"
	if len(r.Violations) > 0 {
		r.Verdict = "fail"
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Out, "result.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	printReport(o.out, &r)
	if len(r.Violations) > 0 {
		return violationsError{}
	}
	return nil
}

func playExperiment(ctx context.Context, x *testbed.Experiment, binary, dir string, logger *zap.Logger) (*checker.Verdict, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	progress := func(at float64) {
		logger.Info("playing", zap.String("experiment", x.Name), zap.String("binary", binary), zap.Float64("at_s", at),
			zap.Float64("of_s", x.Seconds))
	}
	if err := testbed.Run(ctx, x, testbed.Options{Binary: binary, Dir: dir, Progress: progress}); err != nil {
		return nil, err
	}
	return checkHistory(filepath.Join(dir, "record.jsonl"))
}

func checkHistory(path string) (*checker.Verdict, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	v, err := checker.Check(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}

func printReport(w io.Writer, r *report) {
	fmt.Fprintf(w, "%s, seed %d, %d directors: %s\n", r.Experiment, r.Seed, r.Directors, r.Verdict)
	for _, n := range checker.MetricNames {
		fmt.Fprintf(w, "  %-28s %10.3f", n, r.Metrics[n])
		if r.Baseline != nil {
			fmt.Fprintf(w, "   baseline %10.3f", r.Baseline[n])
		}
		fmt.Fprintln(w)
	}
	const most = 20
	for i, b := range r.Violations {
		if i == most {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-most)
			break
		}
		fmt.Fprintf(w, "  %s at %.0f ms, %s: %s\n", b.Rule, b.AtMS, b.Who, b.Detail)
	}
}

type listCommand struct {
	Folder string `arg:"" optional:"" default:"experiments" type:"existingdir"`
}

// Run lists the experiments; one that can't be read is an error.
func (c *listCommand) Run(o *console) error {
	c.Folder = cmp.Or(c.Folder, "experiments")
	files, err := filepath.Glob(filepath.Join(c.Folder, "*.toml"))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("no experiments in %s", c.Folder)
	}
	slices.Sort(files)
	for _, f := range files {
		x, err := testbed.LoadExperiment(f)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.out, "%-20s %4d directors %4.0f s  %s\n", x.Name, x.Directors, x.Seconds, strings.TrimSpace(x.About))
	}
	return nil
}

type checkCommand struct {
	History string `arg:"" name:"record" type:"existingfile"`
}

// Run judges a record.
func (c *checkCommand) Run(o *console) error {
	v, err := checkHistory(c.History)
	if err != nil {
		return err
	}
	r := report{Experiment: c.History, Verdict: "pass", Violations: v.Violations, Metrics: v.Metrics}
	if len(v.Violations) > 0 {
		r.Verdict = "fail"
	}
	printReport(o.out, &r)
	if len(v.Violations) > 0 {
		return violationsError{}
	}
	return nil
}
