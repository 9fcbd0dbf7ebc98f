package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"shaleyard/internal/config"
	"shaleyard/internal/failover"
	"shaleyard/internal/strictconfig"
)

// planOptions holds the options of the plan command.
type planOptions struct {
	settingsFile string // file that EDGE_CONFIG names, or a file of its settings alone
	operatorFile string // empty: all defaults
	lostSites    string // separated by commas; empty: each single site and each pair of sites
	asJSON       bool
}

// parsePlanOptions parses the arguments after the word plan. It prints errors of options and the usage to stderr.
func parsePlanOptions(args []string, stderr io.Writer) (planOptions, error) {
	var options planOptions
	flags := flag.NewFlagSet("shaleyard plan", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&options.settingsFile, "settings", "", "`FILE` that EDGE_CONFIG names, or the settings in it alone")
	flags.StringVar(
		&options.operatorFile,
		"config",
		os.Getenv("SHALEYARD_CONFIG"),
		"operators' `FILE`; none: the defaults",
	)
	flags.StringVar(
		&options.lostSites,
		"lost",
		"",
		"`SITES` that are lost, with commas between; none: each, and each pair",
	)
	flags.BoolVar(&options.asJSON, "json", false, "one JSON array in place of a table")
	if err := flags.Parse(args); err != nil {
		return options, err
	}
	if options.settingsFile == "" || flags.NArg() > 0 {
		flags.Usage()
		return options, errors.New("plan: --settings FILE is needed, and nothing but options")
	}
	return options, nil
}

// runPlan prints the failover plans for lost sites. It computes them from a director's configuration and the operators'
// file. The settings of the configuration are enough if the operators' file sets the capacity of each site.
func runPlan(args []string, stdout, stderr io.Writer) error {
	options, err := parsePlanOptions(args, stderr)
	if err != nil {
		return err
	}
	planner, err := loadPlanner(options)
	if err != nil {
		return err
	}
	plans := planner.AllPlans()
	if options.lostSites != "" {
		plan, err := planner.Plan(strings.Split(options.lostSites, ",")...)
		if err != nil {
			return err
		}
		plans = []*failover.Plan{plan}
	}
	return printPlans(stdout, plans, options.asJSON)
}

// loadPlanner returns a planner for the files that the options name. An error that an override in the operators' file
// causes names the override's line.
func loadPlanner(options planOptions) (*failover.Planner, error) {
	operatorFile, operatorText := &config.OperatorFile{}, []byte(nil)
	if options.operatorFile != "" {
		var err error
		if operatorFile, err = config.LoadOperator(options.operatorFile); err != nil {
			return nil, err
		}
		if operatorText, err = os.ReadFile(options.operatorFile); err != nil {
			return nil, err
		}
	}
	settings, endpoints, err := readSite(options.settingsFile)
	if err != nil {
		return nil, err
	}
	overrides := operatorFile.Failover
	topology, err := failover.NewTopology(settings, endpoints, overrides)
	if err != nil {
		return nil, locateOverride(err, options.operatorFile, operatorText)
	}
	planner, err := failover.NewPlanner(topology, overrides)
	if err != nil {
		return nil, locateOverride(err, options.operatorFile, operatorText)
	}
	return planner, nil
}

// locateOverride wraps an error that an override causes with the override's file and line. It returns other errors
// unchanged.
func locateOverride(err error, file string, text []byte) error {
	var override *failover.OverrideError
	if !errors.As(err, &override) {
		return err
	}
	return fmt.Errorf("%s:%d: %w", file, strictconfig.FindLine(text, override.Key), err)
}

// printPlans prints the plans as tables, or as one JSON array.
func printPlans(stdout io.Writer, plans []*failover.Plan, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(plans)
	}
	for _, plan := range plans {
		plan.Print(stdout)
	}
	return nil
}
