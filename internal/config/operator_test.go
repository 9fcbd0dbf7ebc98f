package config

import (
	"strings"
	"testing"
	"time"
)

func TestOperatorFileSetsLimits(t *testing.T) {
	o, err := LoadOperator("../../deploy/shaleyard.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse([]byte(`{"name":"n","listen":"127.0.0.1:0","feed":"127.0.0.1:1","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":{"balancers":1,"dcs":["a"],
		"services":[{"name":"x","aim":1000000,"deadline":1000000}],"ceilings":{"maxAttempts":1}}}`), 256)
	if err != nil {
		t.Fatal(err)
	}
	before := c.Limits
	o.Apply(&c.Limits)
	if c.Limits != before { // what stands in the file are the defaults
		t.Errorf("the deploy file changes the limits:\n%+v\n%+v", before, c.Limits)
	}
	o, err = ParseOperator("x.toml", []byte("[list]\nlate_ms = 9000\n[pause]\nlimit_ms = 250.5\n"))
	if err != nil {
		t.Fatal(err)
	}
	o.Apply(&c.Limits)
	if c.Limits.MaxEventDelay != 9*time.Second || c.Limits.PauseThreshold != 250500*time.Microsecond || c.Limits.DrainApplyWithin != before.DrainApplyWithin {
		t.Errorf("late %v, pause %v, heed %v", c.Limits.MaxEventDelay, c.Limits.PauseThreshold, c.Limits.DrainApplyWithin)
	}
	if got := strings.Join(o.Describe(), "; "); got != "list.late_ms: 9s; pause.limit_ms: 250.5ms" {
		t.Errorf("described as %q", got)
	}
}

func TestBadOperatorFileIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		"[list]\nhaste = 1\n":                     "x.toml:2: list.haste: no such key",
		"[list]\n\nlate_ms = 5.0\n":               "x.toml:3: list.late_ms: 5 is not within",
		"[pause]\nlimit_ms = -1\n":                "x.toml:2: pause.limit_ms: -1 is not within",
		"[log]\nlevel = \"loud\"\n":               "x.toml:2: log.level: \"loud\"",
		"[list]\nsilence_ms = \"long\"\n":         "x.toml:2: list.silence_ms",
		"[list]\ncall_ms = 2500\n":                "x.toml:2: list.call_ms: a call of 2.5s leaves nothing",
		"[list]\nheed_ms = 9000\nlate_ms = 800\n": "x.toml:3: list.late_ms: 800ms is less than",
		"[list]\nretry_ms = inf\n":                "x.toml:2: list.retry_ms: +Inf is not within",
		"[list\n":                                 "x.toml:1",
	} {
		if _, err := ParseOperator("x.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}
