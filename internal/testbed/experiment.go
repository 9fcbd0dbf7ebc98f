package testbed

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"shaleyard/internal/checker"
	"shaleyard/internal/strictconfig"
)

// Experiment is a script: a fleet, what it stands between, which faults are injected when, and which bounds must hold.
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
	Queue          int     `toml:"queue"`            // calls that wait; further ones are rejected. 0: a second's worth
	// its mode as the directors start: well (or empty), down, hang, half
	Begin string `toml:"begin"`
}

// ServerSpec is a group of caches or parents.
type ServerSpec struct {
	Count          int     `toml:"count"`
	Weight         float64 `toml:"weight"`     // transfers at full rate that the link carries
	MaxConns       int     `toml:"conns"`      // connections accepted; 0: any number
	FillSlots      int     `toml:"fill_slots"` // fills at once; 0: any number
	ColdFrom       float64 `toml:"cold_from"`  // fraction of its capacity that a cold server starts with
	RampMS         float64 `toml:"ramp_ms"`    // until it has all of it
	FallMS         float64 `toml:"fall_ms"`    // window over which work counts for its collapse
	Multiple       float64 `toml:"multiple"`   // of its present capacity at which it collapses
	LatencyMS      float64 `toml:"latency_ms"`
	Cold           bool    `toml:"cold"`  // starts with the run, empty; otherwise it has been up for long
	CoalescesFills bool    `toml:"joins"` // requests may join a fill under way
}

// OriginSpec is the origin, which holds all objects.
type OriginSpec struct {
	PerSecond float64 `toml:"per_second"` // fetches that it can do; further ones are rejected
	LatencyMS float64 `toml:"latency_ms"`
}

// ClientSpec is the load of all clients together.
type ClientSpec struct {
	PerSecond   float64 `toml:"per_second"`
	Objects     int     `toml:"objects"`
	Zipf        float64 `toml:"zipf"`
	Repayments  float64 `toml:"repayments"` // share of requests
	MaxAttempts int     `toml:"tries"`      // at one request by its client
	Skew        float64 `toml:"skew"`       // multiple of the mean load that director 0 gets; 0: the mean
	TransferMS  float64 `toml:"transfer_ms"`
	// share of requests whose client closes its connection or cancels, by turns
	LeaveShare   float64 `toml:"leave"`
	LeaveAfterMS float64 `toml:"leave_ms"`   // on average, if it has no answer by then
	SizeSigma    float64 `toml:"size_sigma"` // of the logarithm of objects' sizes; 0: all have the mean
}

// FaultEvent is a fault that is injected at a time, and taken back after some seconds where it can be.
type FaultEvent struct {
	At              float64 `toml:"at"` // seconds of load
	Action          string  `toml:"do"`
	Share           float64 `toml:"share"`  // of the directors or servers that are drawn for it by the seed; 0: all
	Duration        float64 `toml:"for"`    // seconds; 0: for good
	Factor          float64 `toml:"factor"` // of capacity, or of load
	ForgottenEvents int     `toml:"back"`   // events that the list service forgets
	ReplaceOver     float64 `toml:"over"`   // seconds over which the servers are replaced in turn
	DelayMS         float64 `toml:"delay_ms"`
	Link            string  `toml:"link"`  // list, caches, parents or clients: between those and the drawn directors
	Site            string  `toml:"site"`  // branch-1 or hub-1 and so on: only its directors or servers
	ListDelay       float64 `toml:"late"`  // seconds by which the list tells of a site late
	OnlyDirector    int     `toml:"only"`  // the one director that it is done to, counted from 1; 0: the share
	Count           int     `toml:"count"` // connections to each director; purges within the duration
	RetainCopies    float64 `toml:"keep"`  // seconds for which servers keep copies from before a purge; 0: 2
	// Of list-flap: how streams end (break, half, silent), drawn evenly, and the ages in seconds between which they do.
	StreamEnds   []string `toml:"ends"`
	MinStreamAge float64  `toml:"age_from"`
	MaxStreamAge float64  `toml:"age_to"`
}

// Bound limits a metric.
type Bound struct {
	Metric string   `toml:"figure"`
	Max    *float64 `toml:"most"`
	Min    *float64 `toml:"least"`
	// BaselineTimes limits the metric by a multiple of the baseline's, where one was played: as maximum, or with a
	// minus sign as minimum.
	BaselineTimes float64 `toml:"baseline_times"`
}

// What faults are injected into.
const (
	targetDirectors = "directors"
	targetList      = "list"
	targetCaches    = "caches"
	targetParents   = "parents"
	targetOrigin    = "origin"
	targetSite      = "site"
	targetLink      = "link"
	targetNone      = ""
)

// faultTargets are the actions of fault events, and what each is done to.
var faultTargets = map[string]string{
	"idle":            targetDirectors,
	"kill":            targetDirectors,
	"start":           targetDirectors,
	"stop":            targetDirectors,
	"cont":            targetDirectors,
	"term":            targetDirectors,
	"list-flap":       targetDirectors,
	"list-well":       targetList,
	"list-down":       targetList,
	"list-hang":       targetList,
	"list-half":       targetList,
	"list-slow":       targetList,
	"list-older":      targetList,
	"list-break":      targetList,
	"replace":         targetCaches,
	"replace-parents": targetParents,
	"drain":           targetCaches,
	"kill-caches":     targetCaches,
	"silence-caches":  targetCaches,
	"origin-slow":     targetOrigin,
	"purge":           targetNone,
	"burst":           targetNone,
	"site-kill":       targetSite,
	"site-silent":     targetSite,
	"site-busy":       targetSite,
	"cut":             targetLink,
	"silence":         targetLink,
	"one-way":         targetLink,
	"delay":           targetLink,
	"reset":           targetLink,
	"drip":            targetLink,
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
	experiment := defaultExperiment()
	experiment.Name = strings.TrimSuffix(filepath.Base(file), ".toml")
	if err := strictconfig.Decode(file, text, experiment); err != nil {
		return nil, err
	}
	if invalid := experiment.firstInvalid(); invalid != nil {
		return nil, fmt.Errorf("%s:%d: %w", file, strictconfig.FindLine(text, invalid.key), invalid)
	}
	return experiment, nil
}

func defaultExperiment() *Experiment {
	return &Experiment{
		Directors: 24,
		Branches:  1,
		Hubs:      1,
		Seconds:   10,
		Seed:      1,
		Sockets:   1024,
		Caches: ServerSpec{Count: 6, Weight: 40, ColdFrom: 0.25, RampMS: 4000, FallMS: 1000, Multiple: 2, LatencyMS: 2,
			CoalescesFills: true},
		Parents: ServerSpec{Count: 2, Weight: 60, ColdFrom: 0.25, RampMS: 4000, FallMS: 1000, Multiple: 2, LatencyMS: 5,
			CoalescesFills: true},
		Origin: OriginSpec{PerSecond: 400, LatencyMS: 30},
		Clients: ClientSpec{PerSecond: 200, Objects: 400, Zipf: 1.1, Repayments: 0.1, MaxAttempts: 3, TransferMS: 20,
			LeaveAfterMS: 50},
	}
}

// siteNames are the names of all sites: hubs, then branches.
func (x *Experiment) siteNames() []string {
	names := make([]string, 0, x.Hubs+x.Branches)
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
	factor := float64(directors) / float64(x.Directors)
	x.Directors = directors
	x.Discovery.CallsPerSecond *= factor
	x.Clients.PerSecond *= factor
	x.Origin.PerSecond *= factor
	for _, spec := range []*ServerSpec{&x.Caches, &x.Parents} {
		spec.Weight *= factor
		spec.MaxConns = int(float64(spec.MaxConns) * factor)
		spec.FillSlots = int(float64(spec.FillSlots) * factor)
	}
}

// CheckBounds holds metrics against the experiment's bounds; those that need a baseline count only where there is one.
func (x *Experiment) CheckBounds(metrics, baseline map[string]float64) []checker.Violation {
	var violations []checker.Violation
	for _, bound := range x.Bounds {
		for _, detail := range bound.violations(metrics[bound.Metric], baseline) {
			violations = append(violations, checker.Violation{Rule: "bound", Who: bound.Metric, Detail: detail})
		}
	}
	return violations
}

// violations says how a value breaks the bound. The baseline may be nil.
func (b Bound) violations(value float64, baseline map[string]float64) []string {
	var details []string
	if b.Max != nil && value > *b.Max {
		details = append(details, fmt.Sprintf("%.3f, %.3f at most", value, *b.Max))
	}
	if b.Min != nil && value < *b.Min {
		details = append(details, fmt.Sprintf("%.3f, %.3f at least", value, *b.Min))
	}
	if baseline == nil || b.BaselineTimes == 0 {
		return details
	}
	limit := b.BaselineTimes * baseline[b.Metric]
	switch {
	case limit >= 0 && value > limit:
		details = append(details, fmt.Sprintf("%.3f, %.3f at most by the baseline", value, limit))
	case limit < 0 && value < -limit:
		details = append(details, fmt.Sprintf("%.3f, %.3f at least by the baseline", value, -limit))
	}
	return details
}
