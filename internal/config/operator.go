package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"shaleyard/internal/failover"
	"shaleyard/internal/strictconfig"
)

// OperatorFile is the content of the operators' own file, such as deploy/shaleyard.toml. It holds what an installation
// sets in addition to the configuration that the platform gives each director. Without the file, the defaults apply.
type OperatorFile struct {
	Discovery OperatorDiscovery `toml:"list"`
	Pause     OperatorPause     `toml:"pause"`
	Log       OperatorLog       `toml:"log"`

	Failover failover.Overrides `toml:"plan"` // plan for the loss of whole sites
}

// OperatorDiscovery holds the times of the watch on the discovery service, in milliseconds. Each overrides the field of
// Limits that timeSettings gives for its key; 0 leaves the default.
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

// OperatorPause holds Limits.PauseThreshold and Limits.PauseSettleTime in milliseconds; 0 leaves the default.
type OperatorPause struct {
	ThresholdMS  float64 `toml:"limit_ms"`
	SettleTimeMS float64 `toml:"settle_ms"`
}

// OperatorLog holds the minimum level of log lines, and the milliseconds between two log lines with all counters.
type OperatorLog struct {
	Level              string  `toml:"level"`
	CountersIntervalMS float64 `toml:"counters_every_ms"`
}

// LoadOperator reads and validates the operators' file at the path. An error of a key names the file, the line and the
// key.
func LoadOperator(path string) (*OperatorFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperator(path, text)
}

// ParseOperator parses and validates the text of an operators' file. An error names the file, the line and the key;
// file is the name that errors give.
func ParseOperator(file string, text []byte) (*OperatorFile, error) {
	o := &OperatorFile{}
	if err := strictconfig.Decode(file, text, o); err != nil {
		return nil, err
	}
	for _, check := range []func() error{o.checkRanges, o.checkFailover, o.checkLogLevel, o.checkDiscoveryTimes} {
		if err := check(); err != nil {
			return nil, strictconfig.Locate(err, file, text)
		}
	}
	return o, nil
}

// checkRanges checks that each time is 0 or within its range. The comparison is written so that NaN fails it.
func (o *OperatorFile) checkRanges() error {
	for _, setting := range o.timeSettings() {
		value := *setting.value
		if value != 0 && !(value >= setting.low && value <= setting.high) {
			return keyErrorf(setting.key, "%v is not within %v and %v", value, setting.low, setting.high)
		}
	}
	return nil
}

func (o *OperatorFile) checkFailover() error {
	err := o.Failover.ValidateRanges()
	var override *failover.OverrideError
	if errors.As(err, &override) {
		return keyErrorf(override.Key, "%s", override.Reason)
	}
	return nil
}

func (o *OperatorFile) checkLogLevel() error {
	switch o.Log.Level {
	case "", "debug", "info", "warn", "error":
		return nil
	}
	return keyErrorf("log.level", "%q is none of debug, info, warn, error", o.Log.Level)
}

// checkDiscoveryTimes checks the times of the watch on the discovery service that depend on one another. WatchCallTime
// must be less than DrainApplyWithin, because the fleet's calls are spread over the difference. MaxEventDelay must not
// be less than DrainApplyWithin: an event that did not arrive must not count as known before a drain that was published
// at the same time must be applied.
func (o *OperatorFile) checkDiscoveryTimes() error {
	limits := Limits{}
	limits.setDiscoveryDefaults()
	o.Apply(&limits)
	if limits.WatchCallTime >= limits.DrainApplyWithin {
		return keyErrorf("list.call_ms", "a call of %v leaves nothing of the %v to heed a drain", limits.WatchCallTime,
			limits.DrainApplyWithin)
	}
	if limits.MaxEventDelay < limits.DrainApplyWithin {
		return keyErrorf(
			"list.late_ms",
			"%v is less than the %v to heed a drain",
			limits.MaxEventDelay,
			limits.DrainApplyWithin,
		)
	}
	return nil
}

// timeSetting is one time in the operators' file: its key, its value and range in milliseconds, and the limit that it
// sets.
type timeSetting struct {
	key       string
	value     *float64
	low, high float64
	limit     func(*Limits) *time.Duration
}

// timeSettings returns all times of the file.
func (o *OperatorFile) timeSettings() []timeSetting {
	list, pause := &o.Discovery, &o.Pause
	return []timeSetting{
		{"list.heed_ms", &list.DrainApplyWithinMS, 100, 60_000,
			func(limits *Limits) *time.Duration { return &limits.DrainApplyWithin }},
		{"list.purge_ms", &list.PurgeApplyWithinMS, 10, 60_000,
			func(limits *Limits) *time.Duration { return &limits.PurgeApplyWithin }},
		{"list.start_ms", &list.InitialJitterWindowMS, 1, 60_000,
			func(limits *Limits) *time.Duration { return &limits.InitialJitterWindow }},
		{"list.late_ms", &list.MaxEventDelayMS, 100, 600_000,
			func(limits *Limits) *time.Duration { return &limits.MaxEventDelay }},
		{"list.call_ms", &list.CallTimeMS, 1, 60_000,
			func(limits *Limits) *time.Duration { return &limits.WatchCallTime }},
		{"list.retry_ms", &list.MinBackoffMS, 10, 60_000,
			func(limits *Limits) *time.Duration { return &limits.MinWatchBackoff }},
		{"list.silence_ms", &list.SilenceTimeoutMS, 1_050, 60_000,
			func(limits *Limits) *time.Duration { return &limits.WatchSilenceTimeout }},
		{"list.wait_ms", &list.InitialListTimeoutMS, 1, 600_000,
			func(limits *Limits) *time.Duration { return &limits.InitialListTimeout }},
		{"pause.limit_ms", &pause.ThresholdMS, 60, 60_000,
			func(limits *Limits) *time.Duration { return &limits.PauseThreshold }},
		{"pause.settle_ms", &pause.SettleTimeMS, 1, 1_000,
			func(limits *Limits) *time.Duration { return &limits.PauseSettleTime }},
		{"log.counters_every_ms", &o.Log.CountersIntervalMS, 100, 3_600_000,
			func(limits *Limits) *time.Duration { return &limits.CountersInterval }},
	}
}

// Apply sets the limits for which the file has a time, and leaves the others.
func (o *OperatorFile) Apply(limits *Limits) {
	for _, setting := range o.timeSettings() {
		if *setting.value != 0 {
			*setting.limit(limits) = time.Duration(*setting.value * float64(time.Millisecond))
		}
	}
}

// Describe returns a line for each time that the file sets, with the key and the time with its unit, and one for the
// log level if the file sets it.
func (o *OperatorFile) Describe() (lines []string) {
	var limits Limits
	o.Apply(&limits)
	for _, setting := range o.timeSettings() {
		if *setting.value != 0 {
			lines = append(lines, fmt.Sprintf("%s: %v", setting.key, *setting.limit(&limits)))
		}
	}
	if o.Log.Level != "" {
		lines = append(lines, "log.level: "+o.Log.Level)
	}
	return lines
}
