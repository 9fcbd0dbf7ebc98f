package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"shaleyard/internal/failover"
	"shaleyard/internal/strictconfig"
)

// OperatorFile is the operators' own file, deploy/shaleyard.toml: what an installation sets beside the configuration
// that the platform hands each director. Without one the program runs by the defaults.
type OperatorFile struct {
	Discovery OperatorDiscovery `toml:"list"`
	Pause     OperatorPause     `toml:"pause"`
	Log       OperatorLog       `toml:"log"`

	Failover failover.Overrides `toml:"plan"` // for the loss of whole sites
}

// OperatorDiscovery sets the pace of calls of the list service. Times are milliseconds.
type OperatorDiscovery struct {
	DrainApplyWithinMS    float64 `toml:"heed_ms"`
	PurgeApplyWithinMS    float64 `toml:"purge_ms"`
	InitialJitterWindowMS float64 `toml:"start_ms"`
	MaxEventDelayMS       float64 `toml:"late_ms"`
	CallTimeMS            float64 `toml:"call_ms"`
	MinBackoffMS          float64 `toml:"retry_ms"`
	SilenceTimeoutMS      float64 `toml:"silence_ms"`
	InitialListTimeoutMS  float64 `toml:"wait_ms"`
}

// OperatorPause sets when the process counts as having stood still. Times are milliseconds.
type OperatorPause struct {
	ThresholdMS  float64 `toml:"limit_ms"`
	SettleTimeMS float64 `toml:"settle_ms"`
}

// OperatorLog sets what is logged.
type OperatorLog struct {
	Level              string  `toml:"level"`
	CountersIntervalMS float64 `toml:"counters_every_ms"`
}

// LoadOperator reads the file. An error names the file, the line and the key.
func LoadOperator(path string) (*OperatorFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperator(path, text)
}

// ParseOperator checks the text of an operators' file; its name is for errors.
func ParseOperator(file string, text []byte) (*OperatorFile, error) {
	o := &OperatorFile{}
	if err := strictconfig.Decode(file, text, o); err != nil {
		return nil, err
	}
	for _, b := range o.timeSettings() {
		if *b.value != 0 && !(*b.value >= b.low && *b.value <= b.high) {
			return nil, fmt.Errorf("%s:%d: %s: %v is not within %v and %v", file, strictconfig.FindLine(text, b.key), b.key, *b.value, b.low, b.high)
		}
	}
	var wish *failover.OverrideError
	if err := o.Failover.ValidateRanges(); errors.As(err, &wish) {
		return nil, fmt.Errorf("%s:%d: %w", file, strictconfig.FindLine(text, wish.Key), err)
	}
	switch o.Log.Level {
	case "", "debug", "info", "warn", "error":
	default:
		return nil, fmt.Errorf("%s:%d: log.level: %q is none of debug, info, warn, error", file, strictconfig.FindLine(text, "log.level"), o.Log.Level)
	}
	// The times of the list hang together: a call that takes as long as its news may be late leaves no time to
	// spread it over.
	l := Limits{DrainApplyWithin: 2 * time.Second, WatchCallTime: 500 * time.Millisecond, MaxEventDelay: 7 * time.Second}
	o.Apply(&l)
	if l.WatchCallTime >= l.DrainApplyWithin {
		return nil, fmt.Errorf("%s:%d: list.call_ms: a call of %v leaves nothing of the %v to heed a drain", file,
			strictconfig.FindLine(text, "list.call_ms"), l.WatchCallTime, l.DrainApplyWithin)
	}
	if l.MaxEventDelay < l.DrainApplyWithin {
		return nil, fmt.Errorf("%s:%d: list.late_ms: %v is less than the %v to heed a drain", file,
			strictconfig.FindLine(text, "list.late_ms"), l.MaxEventDelay, l.DrainApplyWithin)
	}
	return o, nil
}

type timeSetting struct {
	key       string
	value     *float64
	low, high float64
	limit     func(*Limits) *time.Duration
}

// timeSettings are all times of the file, with their range in milliseconds and the limit that each sets.
func (o *OperatorFile) timeSettings() []timeSetting {
	return []timeSetting{
		{"list.heed_ms", &o.Discovery.DrainApplyWithinMS, 100, 60_000, func(l *Limits) *time.Duration { return &l.DrainApplyWithin }},
		{"list.purge_ms", &o.Discovery.PurgeApplyWithinMS, 10, 60_000, func(l *Limits) *time.Duration { return &l.PurgeApplyWithin }},
		{"list.start_ms", &o.Discovery.InitialJitterWindowMS, 1, 60_000, func(l *Limits) *time.Duration { return &l.InitialJitterWindow }},
		{"list.late_ms", &o.Discovery.MaxEventDelayMS, 100, 600_000, func(l *Limits) *time.Duration { return &l.MaxEventDelay }},
		{"list.call_ms", &o.Discovery.CallTimeMS, 1, 60_000, func(l *Limits) *time.Duration { return &l.WatchCallTime }},
		{"list.retry_ms", &o.Discovery.MinBackoffMS, 10, 60_000, func(l *Limits) *time.Duration { return &l.MinWatchBackoff }},
		{"list.silence_ms", &o.Discovery.SilenceTimeoutMS, 1_050, 60_000, func(l *Limits) *time.Duration { return &l.WatchSilenceTimeout }},
		{"list.wait_ms", &o.Discovery.InitialListTimeoutMS, 1, 600_000, func(l *Limits) *time.Duration { return &l.InitialListTimeout }},
		{"pause.limit_ms", &o.Pause.ThresholdMS, 60, 60_000, func(l *Limits) *time.Duration { return &l.PauseThreshold }},
		{"pause.settle_ms", &o.Pause.SettleTimeMS, 1, 1_000, func(l *Limits) *time.Duration { return &l.PauseSettleTime }},
		{"log.counters_every_ms", &o.Log.CountersIntervalMS, 100, 3_600_000, func(l *Limits) *time.Duration { return &l.CountersInterval }},
	}
}

// Apply puts what is set in place of the defaults.
func (o *OperatorFile) Apply(l *Limits) {
	for _, b := range o.timeSettings() {
		if *b.value != 0 {
			*b.limit(l) = time.Duration(*b.value * float64(time.Millisecond))
		}
	}
}

// Describe tells what each time comes to, for those that the file sets.
func (o *OperatorFile) Describe() (lines []string) {
	var l Limits
	o.Apply(&l)
	for _, b := range o.timeSettings() {
		if *b.value != 0 {
			lines = append(lines, fmt.Sprintf("%s: %v", b.key, *b.limit(&l)))
		}
	}
	if o.Log.Level != "" {
		lines = append(lines, "log.level: "+o.Log.Level)
	}
	return lines
}
