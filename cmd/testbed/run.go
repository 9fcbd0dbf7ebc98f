package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"go.uber.org/zap"

	"shaleyard/internal/checker"
	"shaleyard/internal/testbed"
)

const (
	maxDirectors = 400
	maxLoad      = 100 // multiple of the experiment's load

	maxPrintedViolations = 20
)

type runCommand struct {
	File      string  `arg:"" name:"file" help:"The experiment." type:"existingfile"`
	Seed      *uint64 `name:"seed" help:"Random seed; overrides the experiment's."`
	Directors int     `name:"directors" help:"Number of directors; load and capacities scale with it."`
	Load      float64 `name:"load" default:"1" help:"Load factor; a run that overloads the machine proves nothing."`
	Binary    string  `name:"binary" help:"Director program to run." default:"bin/shaleyard"`
	Baseline  string  `name:"baseline" help:"Another build, run afterwards with the same seed." type:"existingfile"`
	Out       string  `name:"out" help:"Folder for record.jsonl, result.json and logs of directors; made if missing."`
}

// Run plays the experiment, then plays it with the baseline if there is one. It writes result.json and prints the
// report. It returns errViolations if a rule or a bound was violated. Without an output folder it uses a temporary
// one, which it removes.
func (c *runCommand) Run(o *console) error {
	experiment, err := c.experiment()
	if err != nil {
		return err
	}
	out := c.Out
	if out == "" {
		if out, err = os.MkdirTemp("", "testbed-"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(out) }()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	verdict, err := playExperiment(ctx, experiment, c.Binary, out, logger)
	if err != nil {
		return err
	}
	result := report{
		Experiment: experiment.Name,
		Seed:       experiment.Seed,
		Directors:  experiment.Directors,
		Metrics:    verdict.Metrics,
	}
	if c.Baseline != "" {
		baseline, err := playExperiment(ctx, experiment, c.Baseline, filepath.Join(out, "baseline"), logger)
		if err != nil {
			return fmt.Errorf("baseline: %w", err)
		}
		result.Baseline = baseline.Metrics
	}
	result.Violations = append([]checker.Violation{}, verdict.Violations...)
	result.Violations = append(result.Violations, experiment.CheckBounds(result.Metrics, result.Baseline)...)
	result.setVerdict()
	if err := result.write(filepath.Join(out, "result.json")); err != nil {
		return err
	}
	return result.finish(o.out)
}

// experiment loads the experiment file and applies the options that override its values. An error about an option names
// it.
func (c *runCommand) experiment() (*testbed.Experiment, error) {
	experiment, err := testbed.LoadExperiment(c.File)
	if err != nil {
		return nil, err
	}
	if c.Seed != nil {
		experiment.Seed = *c.Seed
	}
	if c.Directors != 0 {
		if c.Directors < 1 || c.Directors > maxDirectors {
			return nil, fmt.Errorf("--directors: %d is not within 1 and %d", c.Directors, maxDirectors)
		}
		experiment.Scale(c.Directors)
	}
	if !(c.Load > 0 && c.Load <= maxLoad) {
		return nil, fmt.Errorf("--load: %v is not greater than 0 and at most %d", c.Load, maxLoad)
	}
	experiment.Clients.PerSecond *= c.Load
	if _, err := os.Stat(c.Binary); err != nil {
		return nil, fmt.Errorf("--binary: %w", err)
	}
	return experiment, nil
}

// playExperiment runs an experiment with a director binary, writing its files to dir, and checks its history.
func playExperiment(
	ctx context.Context, experiment *testbed.Experiment, binary, dir string, logger *zap.Logger,
) (*checker.Verdict, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	progress := func(at float64) {
		logger.Info(
			"playing",
			zap.String("experiment", experiment.Name),
			zap.String("binary", binary),
			zap.Float64("at_s", at),
			zap.Float64("of_s", experiment.Seconds),
		)
	}
	if err := testbed.Run(ctx, experiment, testbed.Options{Binary: binary, Dir: dir, Progress: progress}); err != nil {
		return nil, err
	}
	return checkHistory(filepath.Join(dir, "record.jsonl"))
}

// report is the result of a run or a check. A run writes it to result.json and prints it. A check only prints it, and
// leaves Seed and Directors 0.
type report struct {
	Experiment string              `json:"experiment"`
	Seed       uint64              `json:"seed"`
	Directors  int                 `json:"directors"`
	Verdict    string              `json:"verdict"` // pass or fail
	Violations []checker.Violation `json:"broken"`
	Metrics    map[string]float64  `json:"figures"`
	Baseline   map[string]float64  `json:"baseline,omitempty"`
}

// setVerdict sets the verdict to fail if there are violations, otherwise to pass.
func (r *report) setVerdict() {
	r.Verdict = "pass"
	if len(r.Violations) > 0 {
		r.Verdict = "fail"
	}
}

// write writes the report to a file as indented JSON.
func (r *report) write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// finish sets the verdict, prints the report and returns errViolations if there are violations.
func (r *report) finish(w io.Writer) error {
	r.setVerdict()
	r.print(w)
	if len(r.Violations) > 0 {
		return errViolations
	}
	return nil
}

// print writes the report as text: a summary line, all metrics, and the first maxPrintedViolations violations.
func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d, %d directors: %s\n", r.Experiment, r.Seed, r.Directors, r.Verdict)
	for _, name := range checker.MetricNames {
		fmt.Fprintf(w, "  %-28s %10.3f", name, r.Metrics[name])
		if r.Baseline != nil {
			fmt.Fprintf(w, "   baseline %10.3f", r.Baseline[name])
		}
		fmt.Fprintln(w)
	}
	for i, violation := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-maxPrintedViolations)
			break
		}
		fmt.Fprintf(w, "  %s at %.0f ms, %s: %s\n", violation.Rule, violation.AtMS, violation.Who, violation.Detail)
	}
}
