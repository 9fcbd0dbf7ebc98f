package testbed

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"shaleyard/internal/checker"
	"shaleyard/internal/strictconfig"
)

// Experiment is one experiment file: the fleet of directors, the stand-ins around it, the faults that are injected and
// their times, and the bounds on the run's metrics.
type Experiment struct {
	Name      string  `toml:"name"`
	About     string  `toml:"about"`
	Directors int     `toml:"directors"`
	Branches  int     `toml:"branches"` // number of branches; directors, caches and clients are spread over them
	Hubs      int     `toml:"hubs"`     // number of hubs; parents are spread over them, and each branch has one hub
	Seconds   float64 `toml:"seconds"`  // duration of the load; the run ends seconds later, with the last answer
	Seed      uint64  `toml:"seed"`
	Sockets   int     `toml:"sockets"` // limit on a director's open file descriptors

	Discovery   DiscoverySpec `toml:"list"`
	Caches      ServerSpec    `toml:"caches"`
	Parents     ServerSpec    `toml:"parents"`
	Origin      OriginSpec    `toml:"origin"`
	Clients     ClientSpec    `toml:"clients"`
	FaultEvents []FaultEvent  `toml:"step"`
	Bounds      []Bound       `toml:"bound"`
}

// DiscoverySpec configures the discovery service: one server of fixed capacity that all directors call.
type DiscoverySpec struct {
	CallsPerSecond float64 `toml:"calls_per_second"` // capacity; 0: one call per director in 1.5 s
	Queue          int     `toml:"queue"`            // calls that may wait, others are reset; 0: those of one second
	// Begin is the service's mode when the directors start: well (or empty), down, hang or half.
	Begin string `toml:"begin"`
}

// ServerSpec configures the group of caches or the group of parents.
type ServerSpec struct {
	Count     int     `toml:"count"`
	Weight    float64 `toml:"weight"`     // concurrent transfers that the server's link carries at full rate
	MaxConns  int     `toml:"conns"`      // limit on open connections; 0: no limit
	FillSlots int     `toml:"fill_slots"` // limit on concurrent fills; 0: no limit
	ColdFrom  float64 `toml:"cold_from"`  // fraction of its capacity that a cold server starts with
	RampMS    float64 `toml:"ramp_ms"`    // time in which a cold server's capacity rises to the full one
	FallMS    float64 `toml:"fall_ms"`    // window in which arriving work is compared with a cold server's capacity
	Multiple  float64 `toml:"multiple"`   // of a cold server's present capacity; more work collapses the server
	LatencyMS float64 `toml:"latency_ms"`
	// Cold makes the servers start empty and at ColdFrom of their capacity. Otherwise they start at full capacity and,
	// if neither group is cold, with copies of the more popular half of the objects.
	Cold           bool `toml:"cold"`
	CoalescesFills bool `toml:"joins"` // a request may wait for a fill of the same object that is in progress
}

// OriginSpec configures the origin, which holds all objects.
type OriginSpec struct {
	PerSecond float64 `toml:"per_second"` // limit on calls within a second; calls above it are rejected
	LatencyMS float64 `toml:"latency_ms"`
}

// ClientSpec configures the load that all clients generate together.
type ClientSpec struct {
	PerSecond   float64 `toml:"per_second"`  // mean rate of requests
	Objects     int     `toml:"objects"`     // number of different objects
	Zipf        float64 `toml:"zipf"`        // exponent of the objects' popularity
	Repayments  float64 `toml:"repayments"`  // share of requests that are repayments
	MaxAttempts int     `toml:"tries"`       // a client's attempts at one request, the first included
	Skew        float64 `toml:"skew"`        // multiple of the mean load that director 0 gets; 0: the mean
	TransferMS  float64 `toml:"transfer_ms"` // time to transfer an object of mean size at full rate
	// LeaveShare is the share of attempts that the client gives up early: one half by closing the connection, the other
	// half by cancelling the request.
	LeaveShare   float64 `toml:"leave"`
	LeaveAfterMS float64 `toml:"leave_ms"`   // mean time after which the client gives up an attempt without an answer
	SizeSigma    float64 `toml:"size_sigma"` // standard deviation of the logarithm of object sizes; 0: all are equal
}

// FaultEvent is a fault that is injected at a time of the run and, if it has a duration and can be undone, undone after
// it.
type FaultEvent struct {
	At              float64 `toml:"at"`       // seconds since the start of the load
	Action          string  `toml:"do"`       // a key of faultTargets
	Share           float64 `toml:"share"`    // share of the directors or servers affected, drawn by the seed; 0: all
	Duration        float64 `toml:"for"`      // seconds; 0: the fault is never undone
	Factor          float64 `toml:"factor"`   // multiple of the normal capacity or load; 0: 1
	ForgottenEvents int     `toml:"back"`     // latest events that the discovery service loses with list-older; 0: 1
	ReplaceOver     float64 `toml:"over"`     // seconds over which the replacements of the servers are spread
	DelayMS         float64 `toml:"delay_ms"` // added to each message on a link (delay), or between two bytes (drip)
	Link            string  `toml:"link"`     // list, caches, parents or clients: their links to the affected directors
	Site            string  `toml:"site"`     // a branch-N or hub-N: affects only directors or servers of this site
	ListDelay       float64 `toml:"late"`     // seconds until discovery publishes that servers were killed or are back
	OnlyDirector    int     `toml:"only"`     // number of the only affected director, from 1; 0: Share applies
	Count           int     `toml:"count"`    // idle connections to each director, or purges within the duration
	RetainCopies    float64 `toml:"keep"`     // seconds for which servers keep copies from before a purge; 0: 2
	// StreamEnds is how list-flap ends streams: any of break, half and silent, drawn with equal probability. A stream
	// ends at an age between MinStreamAge and MaxStreamAge seconds.
	StreamEnds   []string `toml:"ends"`
	MinStreamAge float64  `toml:"age_from"`
	MaxStreamAge float64  `toml:"age_to"`
}

// Bound is a limit on a metric of the run.
type Bound struct {
	Metric string   `toml:"figure"`
	Max    *float64 `toml:"most"`
	Min    *float64 `toml:"least"`
	// BaselineTimes limits the metric by a multiple of the baseline run's value, if there is a baseline run. A positive
	// BaselineTimes sets a maximum; a negative one sets a minimum of its absolute value times the baseline's.
	BaselineTimes float64 `toml:"baseline_times"`
}

// Kinds of targets that fault events affect.
const (
	targetDirectors = "directors"
	targetList      = "list"
	targetCaches    = "caches"
	targetParents   = "parents"
	targetOrigin    = "origin"
	targetSite      = "site"
	targetLink      = "link"
	targetNone      = "" // purge and burst, which draw no target
)

// faultTargets holds the target that each action of a fault event affects. Its keys are all known actions.
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
	"list-stop":       targetList,
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

// LoadExperiment reads and checks an experiment file. An error about its content names the file, the line and the key.
func LoadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseExperiment(path, text)
}

// ParseExperiment parses and checks the text of an experiment file. The experiment's default name is the base name of
// file without .toml. An error names file, the line and the key.
func ParseExperiment(file string, text []byte) (*Experiment, error) {
	experiment := defaultExperiment()
	experiment.Name = strings.TrimSuffix(filepath.Base(file), ".toml")
	if err := strictconfig.Decode(file, text, experiment); err != nil {
		return nil, err
	}
	if invalid := experiment.validate(); invalid != nil {
		return nil, fmt.Errorf("%s:%d: %w", file, strictconfig.FindLine(text, invalid.key), invalid)
	}
	return experiment, nil
}

// defaultExperiment returns the values of all keys that an experiment file doesn't set.
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

// siteNames returns the names of all sites: the hubs, then the branches.
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

// Scale changes the number of directors. It scales the load and the capacities of the discovery service, the caches,
// the parents and the origin by the same factor.
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

// CheckBounds returns the violations of the experiment's bounds by the metrics. If baseline is nil, it skips the limits
// that refer to a baseline.
func (x *Experiment) CheckBounds(metrics, baseline map[string]float64) []checker.Violation {
	var violations []checker.Violation
	for _, bound := range x.Bounds {
		for _, detail := range bound.violations(metrics[bound.Metric], baseline) {
			violations = append(violations, checker.Violation{Rule: "bound", Who: bound.Metric, Detail: detail})
		}
	}
	return violations
}

// violations returns a description of each limit of the bound that value breaks. The baseline may be nil.
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
