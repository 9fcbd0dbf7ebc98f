package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// TestPlanCommandOutput compares the output of `shaleyard plan` byte for byte with golden files, for several
// deployments, lost sites and operators' files. The JSON form has numbers with all digits, so that the test also
// detects a change in the order of floating-point operations.
func TestPlanCommandOutput(t *testing.T) {
	t.Setenv("SHALEYARD_CONFIG", "")
	for _, test := range []struct {
		name     string
		settings string
		config   string
		options  []string
	}{
		{name: "ring-all", settings: "ring.json"},
		{name: "ring-two-hubs-json", settings: "ring.json", options: []string{"--lost", "west,middle", "--json"}},
		{name: "ring-overrides-branch", settings: "ring.json", config: "ring-overrides.toml",
			options: []string{"--lost", "edge-1"}},
		{name: "ring-overrides-all-json", settings: "ring.json", config: "ring-overrides.toml",
			options: []string{"--json"}},
		{name: "ring-without-plan-table", settings: "ring.json", config: "no-plan.toml",
			options: []string{"--lost", "west,east"}},
		{name: "ring-pin-too-large", settings: "ring.json", config: "pin-too-large.toml"},
		{name: "ring-pin-loop", settings: "ring.json", config: "pin-loop.toml"},
		{name: "ring-pins-exceed-one", settings: "ring.json", config: "pins-exceed-one.toml"},
		{name: "ring-forbidden-pin", settings: "ring.json", config: "forbidden-pin.toml"},
		{name: "ring-unknown-class", settings: "ring.json", config: "unknown-class.toml"},
		{name: "ring-unknown-site", settings: "ring.json", options: []string{"--lost", "west,moon"}},
		{name: "wide-hub", settings: "wide.json", options: []string{"--lost", "hub-a", "--json"}},
		{name: "wide-two-hubs", settings: "wide.json", options: []string{"--lost", "hub-c,hub-a", "--json"}},
		{name: "wide-all-hubs", settings: "wide.json", options: []string{"--lost", "hub-a,hub-b,hub-c"}},
		{name: "wide-branch", settings: "wide.json", options: []string{"--lost", "edge-2", "--json"}},
		{name: "wide-branch-and-hub", settings: "wide.json", options: []string{"--lost", "edge-1,hub-b"}},
		{name: "wide-overrides", settings: "wide.json", config: "wide-overrides.toml",
			options: []string{"--lost", "hub-a", "--json"}},
		{name: "settings-alone", settings: "settings-alone.json"},
		{name: "settings-alone-capacities", settings: "settings-alone.json", config: "capacities.toml",
			options: []string{"--json"}},
		{name: "single-hub-all", settings: "single-hub.json"},
		{name: "single-hub-overrides", settings: "single-hub.json", config: "small-origin.toml",
			options: []string{"--json"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			folder := filepath.Join("testdata", "golden", "plan")
			args := []string{"plan", "--settings", filepath.Join(folder, test.settings)}
			if test.config != "" {
				args = append(args, "--config", filepath.Join(folder, test.config))
			}
			var out, errs strings.Builder
			status := runCommand(append(args, test.options...), &out, &errs)
			got := fmt.Sprintf("status %d\n%s%s", status, out.String(), errs.String())
			wantGolden(t, filepath.Join("plan", test.name+".txt"), got)
		})
	}
}
