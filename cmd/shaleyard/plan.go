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

// planOptions are the options of the plan command.
type planOptions struct {
	settingsFile string // EDGE_CONFIG's file, or the settings alone
	operatorFile string // "": the defaults
	lostSites    string // separated by commas; "": each site, and each pair
	asJSON       bool
}

func parsePlanOptions(args []string, errs io.Writer) (planOptions, error) {
	var options planOptions
	flags := flag.NewFlagSet("shaleyard plan", flag.ContinueOnError)
	flags.SetOutput(errs)
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

// runPlan prints the failover plans for lost sites, worked out from the operators' file and a director's configuration,
// or its settings alone where the operators' file has the capacity of each site.
func runPlan(args []string, out, errs io.Writer) error {
	options, err := parsePlanOptions(args, errs)
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
	return printPlans(out, plans, options.asJSON)
}

// loadPlanner reads the files that the options name. An error on an override of the operators' file names its line.
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

// locateOverride adds the file and the line to an error on an override.
func locateOverride(err error, file string, text []byte) error {
	var override *failover.OverrideError
	if !errors.As(err, &override) {
		return err
	}
	return fmt.Errorf("%s:%d: %w", file, strictconfig.FindLine(text, override.Key), err)
}

func printPlans(out io.Writer, plans []*failover.Plan, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(plans)
	}
	for _, plan := range plans {
		plan.Print(out)
	}
	return nil
}
