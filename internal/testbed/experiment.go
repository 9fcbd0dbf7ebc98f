package testbed

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"shaleyard/internal/checker"
	"shaleyard/internal/strictconfig"
)

// Experiment is a script: a fleet, what it stands between, what is broken when, and what must hold.
type Experiment struct {
	Name      string  `toml:"name"`
	About     string  `toml:"about"`
	Directors int     `toml:"directors"`
	Branches  int     `toml:"branches"` // directors, caches and clients are spread over them
	Hubs      int     `toml:"hubs"`     // parents are spread over them; each branch is attached to one
	Seconds   float64 `toml:"seconds"`  // of load; the run ends when all is answered, some seconds later
	Seed      uint64  `toml:"seed"`
	Sockets   int     `toml:"sockets"` // descriptors that a director may hold

	Discovery   DiscoverySpec `toml:"list"`
	Caches      ServerSpec    `toml:"caches"`
	Parents     ServerSpec    `toml:"parents"`
	Origin      OriginSpec    `toml:"origin"`
	Clients     ClientSpec    `toml:"clients"`
	FaultEvents []FaultEvent  `toml:"step"`
	Bounds      []Bound       `toml:"bound"`
}

// DiscoverySpec is the list service: one server of fixed capacity for all directors.
type DiscoverySpec struct {
	CallsPerSecond float64 `toml:"calls_per_second"` // 0: as many as there are directors in 1.5 s
	Queue          int     `toml:"queue"`            // calls that wait; more are turned away. 0: a second's worth
	Begin          string  `toml:"begin"`            // how it is as the directors start: well (or ""), down, hang, half
}

// ServerSpec is a group of caches or parents.
type ServerSpec struct {
	Count          int     `toml:"count"`
	Weight         float64 `toml:"weight"`     // transfers at full pace that the link carries
	MaxConns       int     `toml:"conns"`      // connections accepted; 0: any number
	FillSlots      int     `toml:"fill_slots"` // fills at once; 0: any number
	ColdFrom       float64 `toml:"cold_from"`
	RampMS         float64 `toml:"ramp_ms"`
	FallMS         float64 `toml:"fall_ms"`
	Multiple       float64 `toml:"multiple"`
	LatencyMS      float64 `toml:"latency_ms"`
	Cold           bool    `toml:"cold"`  // starts with the run, empty; else it has been up for long
	CoalescesFills bool    `toml:"joins"` // requests may join a fill under way
}

// OriginSpec is the origin: everything is there.
type OriginSpec struct {
	PerSecond float64 `toml:"per_second"` // fetches it can do; more are turned away
	LatencyMS float64 `toml:"latency_ms"`
}

// ClientSpec is the load of all clients together.
type ClientSpec struct {
	PerSecond    float64 `toml:"per_second"`
	Objects      int     `toml:"objects"`
	Zipf         float64 `toml:"zipf"`
	Repayments   float64 `toml:"repayments"` // share of requests
	MaxAttempts  int     `toml:"tries"`      // of one request by its client, with the first
	Skew         float64 `toml:"skew"`       // times the mean load that director 0 gets; 0: the mean
	TransferMS   float64 `toml:"transfer_ms"`
	LeaveShare   float64 `toml:"leave"`      // share of requests whose client closes its connection or cancels, by turns
	LeaveAfterMS float64 `toml:"leave_ms"`   // after so long on average, if it has no answer by then
	SizeSigma    float64 `toml:"size_sigma"` // of the logarithm of objects' sizes; 0: all have the mean
}

// FaultEvent is something that is done at a time, and undone after For seconds where it can be.
type FaultEvent struct {
	At              float64 `toml:"at"`
	Action          string  `toml:"do"`
	Share           float64 `toml:"share"`  // of the directors or servers that it is done to, drawn by the seed; 0: all
	Duration        float64 `toml:"for"`    // seconds; 0: for good
	Factor          float64 `toml:"factor"` // of capacity, or of load
	ForgottenEvents int     `toml:"back"`   // events that the list service forgets
	ReplaceOver     float64 `toml:"over"`   // seconds over which the servers are replaced in turn
	DelayMS         float64 `toml:"delay_ms"`
	Link            string  `toml:"link"`  // list, caches, parents or clients: between those and the drawn directors
	Site            string  `toml:"site"`  // branch-1 or hub-1 and so on: only its directors or servers
	ListDelay       float64 `toml:"late"`  // seconds by which the list tells of a site late
	OnlyDirector    int     `toml:"only"`  // the one director that it is done to, counted from 1; 0: the share
	Count           int     `toml:"count"` // connections to each director; purges within For seconds
	RetainCopies    float64 `toml:"keep"`  // seconds for which servers keep copies from before a purge; 0: 2
	// Of list-flap: how streams end (break, half, silent), drawn evenly, and the ages in seconds between which they do.
	StreamEnds   []string `toml:"ends"`
	MinStreamAge float64  `toml:"age_from"`
	MaxStreamAge float64  `toml:"age_to"`
}

// Bound is what a figure must keep to.
type Bound struct {
	Metric string   `toml:"figure"`
	Max    *float64 `toml:"most"`
	Min    *float64 `toml:"least"`
	// BaselineTimes bounds a figure by so many times the baseline's, where one was played: as most, or with a
	// minus sign as least.
	BaselineTimes float64 `toml:"baseline_times"`
}

// faultTargets are the steps that there are, and what they are done to.
var faultTargets = map[string]string{
	"idle": "directors", "kill": "directors", "start": "directors", "stop": "directors", "cont": "directors", "term": "directors",
	"list-well": "list", "list-down": "list", "list-hang": "list", "list-half": "list", "list-slow": "list",
	"list-older": "list", "list-break": "list", "list-flap": "directors",
	"replace": "caches", "replace-parents": "parents", "drain": "caches", "kill-caches": "caches",
	"silence-caches": "caches", "origin-slow": "origin", "purge": "", "burst": "",
	"site-kill": "site", "site-silent": "site", "site-busy": "site",
	"cut": "link", "silence": "link", "one-way": "link", "delay": "link", "reset": "link", "drip": "link",
}

// LoadExperiment reads an experiment. An error names the file, the line and the key.
func LoadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseExperiment(path, text)
}

// ParseExperiment checks the text of an experiment; the name of its file is for errors.
func ParseExperiment(file string, text []byte) (*Experiment, error) {
	x := &Experiment{Name: strings.TrimSuffix(filepath.Base(file), ".toml"), Directors: 24, Branches: 1, Hubs: 1, Seconds: 10, Seed: 1, Sockets: 1024,
		Caches: ServerSpec{Count: 6, Weight: 40, ColdFrom: 0.25, RampMS: 4000, FallMS: 1000, Multiple: 2, LatencyMS: 2,
			CoalescesFills: true},
		Parents: ServerSpec{Count: 2, Weight: 60, ColdFrom: 0.25, RampMS: 4000, FallMS: 1000, Multiple: 2, LatencyMS: 5,
			CoalescesFills: true},
		Origin:  OriginSpec{PerSecond: 400, LatencyMS: 30},
		Clients: ClientSpec{PerSecond: 200, Objects: 400, Zipf: 1.1, Repayments: 0.1, MaxAttempts: 3, TransferMS: 20, LeaveAfterMS: 50}}
	if err := strictconfig.Decode(file, text, x); err != nil {
		return nil, err
	}
	if key, why := x.firstInvalid(); key != "" {
		return nil, fmt.Errorf("%s:%d: %s: %s", file, strictconfig.FindLine(text, key), key, why)
	}
	return x, nil
}

// firstInvalid names the first key whose value is out of range.
func (x *Experiment) firstInvalid() (key, why string) {
	type limit struct {
		key              string
		value, low, high float64
	}
	limits := []limit{{"directors", float64(x.Directors), 1, 400}, {"seconds", x.Seconds, 1, 900},
		{"branches", float64(x.Branches), 1, float64(x.Directors)}, {"hubs", float64(x.Hubs), 1, float64(x.Parents.Count)},
		{"list.calls_per_second", x.Discovery.CallsPerSecond, 0, 1e5}, {"list.queue", float64(x.Discovery.Queue), 0, 1e5},
		{"origin.per_second", x.Origin.PerSecond, 1, 1e6}, {"origin.latency_ms", x.Origin.LatencyMS, 0, 1e4},
		{"clients.per_second", x.Clients.PerSecond, 0, 1e5}, {"clients.objects", float64(x.Clients.Objects), 1, 1e6},
		{"clients.zipf", x.Clients.Zipf, 1.01, 4}, {"clients.repayments", x.Clients.Repayments, 0, 1},
		{"clients.tries", float64(x.Clients.MaxAttempts), 1, 10}, {"clients.skew", x.Clients.Skew, 0, 50},
		{"clients.transfer_ms", x.Clients.TransferMS, 1, 1e4}, {"clients.leave", x.Clients.LeaveShare, 0, 1},
		{"clients.leave_ms", x.Clients.LeaveAfterMS, 1, 1e4}, {"clients.size_sigma", x.Clients.SizeSigma, 0, 2},
		{"sockets", float64(x.Sockets), 64, 1 << 16}}
	for _, g := range []struct {
		name string
		s    ServerSpec
	}{{"caches", x.Caches}, {"parents", x.Parents}} {
		limits = append(limits, limit{g.name + ".count", float64(g.s.Count), 1, 200},
			limit{g.name + ".weight", g.s.Weight, 0.1, 1e5}, limit{g.name + ".conns", float64(g.s.MaxConns), 0, 1e5},
			limit{g.name + ".fill_slots", float64(g.s.FillSlots), 0, 1e5}, limit{g.name + ".cold_from", g.s.ColdFrom, 0.01, 1},
			limit{g.name + ".ramp_ms", g.s.RampMS, 0, 1e5}, limit{g.name + ".fall_ms", g.s.FallMS, 100, 1e5},
			limit{g.name + ".multiple", g.s.Multiple, 0.5, 100}, limit{g.name + ".latency_ms", g.s.LatencyMS, 0, 1e4})
	}
	for i, s := range x.FaultEvents {
		at := func(k string) string { return fmt.Sprintf("step[%d].%s", i, k) }
		on, known := faultTargets[s.Action]
		if !known {
			return at("do"), fmt.Sprintf("%q is nothing that can be done", s.Action)
		}
		if on == "link" && !slices.Contains([]string{"list", "caches", "parents", "clients"}, s.Link) {
			return at("link"), fmt.Sprintf("%q is no link", s.Link)
		}
		switch sites := x.siteNames(); {
		case on == "site" && s.Site == "":
			return at("do"), fmt.Sprintf("%s needs a site", s.Action)
		case s.Site != "" && !slices.Contains(sites, s.Site):
			return at("site"), fmt.Sprintf("%q is none of %s", s.Site, strings.Join(sites, ", "))
		case s.Site != "" && on != "site" && on != "directors" && on != "link":
			return at("site"), fmt.Sprintf("%s is not done to a site", s.Action)
		}
		limits = append(limits, limit{at("late"), s.ListDelay, 0, 60}, limit{at("only"), float64(s.OnlyDirector), 0, float64(x.Directors)},
			limit{at("at"), s.At, 0, x.Seconds}, limit{at("share"), s.Share, 0, 1},
			limit{at("for"), s.Duration, 0, 600}, limit{at("factor"), s.Factor, 0, 100}, limit{at("back"), float64(s.ForgottenEvents), 0, 1e4},
			limit{at("over"), s.ReplaceOver, 0, 600}, limit{at("delay_ms"), s.DelayMS, 0, 1e4},
			limit{at("count"), float64(s.Count), 0, 1e4}, limit{at("keep"), s.RetainCopies, 0, purgeRetention.Seconds()},
			limit{at("age_from"), s.MinStreamAge, 0, 60}, limit{at("age_to"), s.MaxStreamAge, s.MinStreamAge, 60})
		if s.Action == "list-flap" && (len(s.StreamEnds) == 0 || s.MaxStreamAge == 0) {
			return at("do"), "list-flap needs ends and age_to"
		}
		for _, e := range s.StreamEnds {
			if !slices.Contains([]string{"break", "half", "silent"}, e) {
				return at("ends"), fmt.Sprintf("%q is no end of a stream", e)
			}
		}
	}
	for _, l := range limits {
		if !(l.value >= l.low && l.value <= l.high) {
			return l.key, fmt.Sprintf("%v is not within %v and %v", l.value, l.low, l.high)
		}
	}
	if b := x.Discovery.Begin; !slices.Contains([]string{"", "well", "down", "hang", "half"}, b) {
		return "list.begin", fmt.Sprintf("%q is no state of the service", b)
	}
	for i, b := range x.Bounds {
		if !slices.Contains(checker.MetricNames, b.Metric) {
			return fmt.Sprintf("bound[%d].figure", i), fmt.Sprintf("%q is no figure", b.Metric)
		}
	}
	return "", ""
}

// siteNames are the names of all siteNames.
func (x *Experiment) siteNames() (names []string) {
	for i := range x.Hubs {
		names = append(names, hubName(i))
	}
	for i := range x.Branches {
		names = append(names, branchName(i))
	}
	return names
}

// Scale plays the experiment with another number of directors: the load, and what the servers bear, go with it.
func (x *Experiment) Scale(directors int) {
	by := float64(directors) / float64(x.Directors)
	x.Directors = directors
	x.Discovery.CallsPerSecond *= by
	x.Clients.PerSecond *= by
	x.Origin.PerSecond *= by
	for _, s := range []*ServerSpec{&x.Caches, &x.Parents} {
		s.Weight *= by
		s.MaxConns = int(float64(s.MaxConns) * by)
		s.FillSlots = int(float64(s.FillSlots) * by)
	}
}

// CheckBounds holds figures against the experiment's bounds; those that need a baseline count only where there is one.
func (x *Experiment) CheckBounds(figures, baseline map[string]float64) (broken []checker.Violation) {
	for _, b := range x.Bounds {
		got := figures[b.Metric]
		say := func(format string, a ...any) {
			broken = append(broken, checker.Violation{Rule: "bound", Who: b.Metric, Detail: fmt.Sprintf(format, a...)})
		}
		if b.Max != nil && got > *b.Max {
			say("%.3f, %.3f at most", got, *b.Max)
		}
		if b.Min != nil && got < *b.Min {
			say("%.3f, %.3f at least", got, *b.Min)
		}
		if baseline == nil || b.BaselineTimes == 0 {
			continue
		}
		switch limit := b.BaselineTimes * baseline[b.Metric]; {
		case limit >= 0 && got > limit:
			say("%.3f, %.3f at most by the baseline", got, limit)
		case limit < 0 && got < -limit:
			say("%.3f, %.3f at least by the baseline", got, -limit)
		}
	}
	return broken
}
