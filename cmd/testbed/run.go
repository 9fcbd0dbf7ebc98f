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
	maxLoad      = 100

	maxPrintedViolations = 20
)

type runCommand struct {
	File      string  `arg:"" name:"file" help:"The experiment." type:"existingfile"`
	Seed      *uint64 `name:"seed" help:"In place of the file's."`
	Directors int     `name:"directors" help:"In place of the file's."`
	Load      float64 `name:"load" default:"1" help:"Multiple of the load; more than a machine can play shows nothing."`
	Binary    string  `name:"binary" help:"The program." default:"bin/shaleyard"`
	Baseline  string  `name:"baseline" help:"Another build, which plays the same seed in turn." type:"existingfile"`
	Out       string  `name:"out" help:"Folder for record.jsonl, result.json and the directors' logs; made if need be."`
}

// Run plays the experiment, and the baseline after it.
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
	result.judge()
	if err := result.write(filepath.Join(out, "result.json")); err != nil {
		return err
	}
	return result.finish(o.out)
}

// experiment is that of the file, with what the options put in place of its values.
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
		return nil, fmt.Errorf("--load: %v is not within 0 and %d", c.Load, maxLoad)
	}
	experiment.Clients.PerSecond *= c.Load
	if _, err := os.Stat(c.Binary); err != nil {
		return nil, fmt.Errorf("--binary: %w", err)
	}
	return experiment, nil
}

// playExperiment runs an experiment with a build and checks its history.
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

// report is what result.json holds.
type report struct {
	Experiment string              `json:"experiment"`
	Seed       uint64              `json:"seed"`
	Directors  int                 `json:"directors"`
	Verdict    string              `json:"verdict"` // pass or fail
	Violations []checker.Violation `json:"broken"`
	Metrics    map[string]float64  `json:"figures"`
	Baseline   map[string]float64  `json:"baseline,omitempty"`
}

func (r *report) judge() {
	r.Verdict = "pass"
	if len(r.Violations) > 0 {
		r.Verdict = "fail"
	}
}

func (r *report) write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// finish prints the report; the error is errViolations, if there are any.
func (r *report) finish(w io.Writer) error {
	r.judge()
	r.print(w)
	if len(r.Violations) > 0 {
		return errViolations
	}
	return nil
}

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
