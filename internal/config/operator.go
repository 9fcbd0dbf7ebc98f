package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"shaleyard/internal/failover"
	"shaleyard/internal/strictconfig"
)

// Operator is the operators' own file, deploy/shaleyard.toml: what an installation sets beside the configuration
// that the platform hands each director. Without one the program runs by the defaults.
type Operator struct {
	List  OperatorList  `toml:"list"`
	Pause OperatorPause `toml:"pause"`
	Log   OperatorLog   `toml:"log"`

	Plan failover.Wishes `toml:"plan"` // for the loss of whole sites
}

// OperatorList sets the pace of calls of the list service. Times are milliseconds.
type OperatorList struct {
	HeedMS    float64 `toml:"heed_ms"`
	PurgeMS   float64 `toml:"purge_ms"`
	StartMS   float64 `toml:"start_ms"`
	LateMS    float64 `toml:"late_ms"`
	CallMS    float64 `toml:"call_ms"`
	RetryMS   float64 `toml:"retry_ms"`
	SilenceMS float64 `toml:"silence_ms"`
	WaitMS    float64 `toml:"wait_ms"`
}

// OperatorPause sets when the process counts as having stood still. Times are milliseconds.
type OperatorPause struct {
	LimitMS  float64 `toml:"limit_ms"`
	SettleMS float64 `toml:"settle_ms"`
}

// OperatorLog sets what is logged.
type OperatorLog struct {
	Level         string  `toml:"level"`
	CountersEvery float64 `toml:"counters_every_ms"`
}

// LoadOperator reads the file. An error names the file, the line and the key.
func LoadOperator(path string) (*Operator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperator(path, text)
}

// ParseOperator checks the text of an operators' file; its name is for errors.
func ParseOperator(file string, text []byte) (*Operator, error) {
	o := &Operator{}
	if err := strictconfig.Decode(file, text, o); err != nil {
		return nil, err
	}
	for _, b := range o.bounds() {
		if *b.value != 0 && !(*b.value >= b.low && *b.value <= b.high) {
			return nil, fmt.Errorf("%s:%d: %s: %v is not within %v and %v", file, strictconfig.Line(text, b.key), b.key, *b.value, b.low, b.high)
		}
	}
	var wish *failover.WishError
	if err := o.Plan.CheckRanges(); errors.As(err, &wish) {
		return nil, fmt.Errorf("%s:%d: %w", file, strictconfig.Line(text, wish.Key), err)
	}
	switch o.Log.Level {
	case "", "debug", "info", "warn", "error":
	default:
		return nil, fmt.Errorf("%s:%d: log.level: %q is none of debug, info, warn, error", file, strictconfig.Line(text, "log.level"), o.Log.Level)
	}
	// The times of the list hang together: a call that takes as long as its news may be late leaves no time to
	// spread it over.
	l := Limits{FeedHeed: 2 * time.Second, FeedCall: 500 * time.Millisecond, FeedLate: 7 * time.Second}
	o.Apply(&l)
	if l.FeedCall >= l.FeedHeed {
		return nil, fmt.Errorf("%s:%d: list.call_ms: a call of %v leaves nothing of the %v to heed a drain", file,
			strictconfig.Line(text, "list.call_ms"), l.FeedCall, l.FeedHeed)
	}
	if l.FeedLate < l.FeedHeed {
		return nil, fmt.Errorf("%s:%d: list.late_ms: %v is less than the %v to heed a drain", file,
			strictconfig.Line(text, "list.late_ms"), l.FeedLate, l.FeedHeed)
	}
	return o, nil
}

type bound struct {
	key       string
	value     *float64
	low, high float64
	into      func(*Limits) *time.Duration
}

// bounds are all times of the file, with their range in milliseconds and the limit that each sets.
func (o *Operator) bounds() []bound {
	return []bound{
		{"list.heed_ms", &o.List.HeedMS, 100, 60_000, func(l *Limits) *time.Duration { return &l.FeedHeed }},
		{"list.purge_ms", &o.List.PurgeMS, 10, 60_000, func(l *Limits) *time.Duration { return &l.FeedPurge }},
		{"list.start_ms", &o.List.StartMS, 1, 60_000, func(l *Limits) *time.Duration { return &l.FeedStart }},
		{"list.late_ms", &o.List.LateMS, 100, 600_000, func(l *Limits) *time.Duration { return &l.FeedLate }},
		{"list.call_ms", &o.List.CallMS, 1, 60_000, func(l *Limits) *time.Duration { return &l.FeedCall }},
		{"list.retry_ms", &o.List.RetryMS, 10, 60_000, func(l *Limits) *time.Duration { return &l.FeedRetry }},
		{"list.silence_ms", &o.List.SilenceMS, 1_050, 60_000, func(l *Limits) *time.Duration { return &l.FeedSilence }},
		{"list.wait_ms", &o.List.WaitMS, 1, 600_000, func(l *Limits) *time.Duration { return &l.FeedWait }},
		{"pause.limit_ms", &o.Pause.LimitMS, 60, 60_000, func(l *Limits) *time.Duration { return &l.PauseLimit }},
		{"pause.settle_ms", &o.Pause.SettleMS, 1, 1_000, func(l *Limits) *time.Duration { return &l.PauseSettle }},
		{"log.counters_every_ms", &o.Log.CountersEvery, 100, 3_600_000, func(l *Limits) *time.Duration { return &l.ReportEvery }},
	}
}

// Apply puts what is set in place of the defaults.
func (o *Operator) Apply(l *Limits) {
	for _, b := range o.bounds() {
		if *b.value != 0 {
			*b.into(l) = time.Duration(*b.value * float64(time.Millisecond))
		}
	}
}

// Describe tells what each time comes to, for those that the file sets.
func (o *Operator) Describe() (lines []string) {
	var l Limits
	o.Apply(&l)
	for _, b := range o.bounds() {
		if *b.value != 0 {
			lines = append(lines, fmt.Sprintf("%s: %v", b.key, *b.into(&l)))
		}
	}
	if o.Log.Level != "" {
		lines = append(lines, "log.level: "+o.Log.Level)
	}
	return lines
}
