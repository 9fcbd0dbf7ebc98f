package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/discovery"
	"shaleyard/internal/failover"
	"shaleyard/internal/overload"
	"shaleyard/internal/strictconfig"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// runPlan prints what is done when sites are lost, worked out from a director's configuration (or its settings
// alone, where the operators' file tells what each site carries) and the operators' file.
func runPlan(args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("shaleyard plan", flag.ContinueOnError)
	flags.SetOutput(errs)
	settings := flags.String("settings", "", "`FILE` that EDGE_CONFIG names, or the settings in it alone")
	operator := flags.String("config", os.Getenv("SHALEYARD_CONFIG"), "operators' `FILE`; none: the defaults")
	lost := flags.String("lost", "", "`SITES` that are lost, with commas between; none: each, and each pair")
	asJSON := flags.Bool("json", false, "one JSON array in place of a table")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *settings == "" || flags.NArg() > 0 {
		flags.Usage()
		return errors.New("plan: --settings FILE is needed, and nothing but options")
	}
	o, wishes := &config.OperatorFile{}, []byte(nil)
	if *operator != "" {
		var err error
		if o, err = config.LoadOperator(*operator); err != nil {
			return err
		}
		if wishes, err = os.ReadFile(*operator); err != nil {
			return err
		}
	}
	s, members, err := readSite(*settings)
	if err != nil {
		return err
	}
	planner, err := newPlanner(s, members, o.Failover)
	var wish *failover.OverrideError
	if errors.As(err, &wish) {
		return fmt.Errorf("%s:%d: %w", *operator, strictconfig.FindLine(wishes, wish.Key), err)
	}
	if err != nil {
		return err
	}
	plans := planner.AllPlans()
	if *lost != "" {
		plan, err := planner.Plan(strings.Split(*lost, ",")...)
		if err != nil {
			return err
		}
		plans = []*failover.Plan{plan}
	}
	if *asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(plans)
	}
	for _, p := range plans {
		p.Print(out)
	}
	return nil
}

func newPlanner(s *routing.Settings, members []routing.Endpoint, w failover.Overrides) (*failover.Planner, error) {
	t, err := failover.NewTopology(s, members, w)
	if err != nil {
		return nil, err
	}
	return failover.NewPlanner(t, w)
}

// readSite reads the settings, and the servers that the configuration knows.
func readSite(path string) (*routing.Settings, []routing.Endpoint, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	var whole struct {
		Settings json.RawMessage  `json:"settings"`
		Known    config.Bootstrap `json:"known"`
	}
	if err := json.Unmarshal(text, &whole); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(whole.Settings) == 0 {
		whole.Settings = text
	}
	s := &routing.Settings{}
	if err := json.Unmarshal(whole.Settings, s); err != nil {
		return nil, nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	if len(s.Classes) == 0 || len(s.Zones) == 0 {
		return nil, nil, fmt.Errorf("%s: no services or no zones (dcs) in it", path)
	}
	known := &memberList{}
	f := discovery.New(&config.Limits{MaxMembers: 4096}, s, "", overload.NewBackoff(overload.BackoffConfig{Directors: 1, CallDuration: time.Second,
		ApplyWithin: 2 * time.Second, NotifiedAfter: 7 * time.Second}, 0), nil, known, &timer.Queue{}, func() routing.Time { return 0 }, zap.NewNop())
	if err := f.Bootstrap(whole.Known); err != nil {
		return nil, nil, fmt.Errorf("%s: known: %w", path, err)
	}
	return s, known.routingMembers(), nil
}

// memberList keeps the list that a feed comes to, by name.
type memberList struct{ entries []director.Endpoint }

// Members takes a change of the list.
func (l *memberList) UpdateEndpoints(full bool, _ uint64, list []director.Endpoint) {
	if full {
		l.entries = l.entries[:0]
	}
	for _, m := range list {
		l.entries = slices.DeleteFunc(l.entries, func(o director.Endpoint) bool { return o.Name == m.Name })
		l.entries = append(l.entries, m)
	}
}

// routingMembers are the servers as the decision module knows them.
func (l *memberList) routingMembers() (members []routing.Endpoint) {
	for _, m := range l.entries {
		members = append(members, m.Endpoint)
	}
	return members
}

// Purge says nothing of sites.
func (*memberList) Purge(director.Purge) {}
