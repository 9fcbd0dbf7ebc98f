package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"shaleyard/internal/strictconfig"
)

func TestOperatorFileSetsLimits(t *testing.T) {
	o, err := LoadOperator("../../deploy/shaleyard.toml")
	if err != nil {
		t.Fatal(err)
	}
	c := mustParse(t, `{"name":"n","listen":"127.0.0.1:0","feed":"127.0.0.1:1","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":{"balancers":1,"dcs":["a"],
		"services":[{"name":"x","aim":1000000,"deadline":1000000}],"ceilings":{"maxAttempts":1}}}`, 256)
	before := c.Limits
	o.Apply(&c.Limits)
	if c.Limits != before { // the deployed file holds the defaults
		t.Errorf("the deployed file changes the limits:\ngot  %+v\nwant %+v", c.Limits, before)
	}
	o, err = ParseOperator("x.toml", []byte("[list]\nlate_ms = 9000\n[pause]\nlimit_ms = 250.5\n"))
	if err != nil {
		t.Fatal(err)
	}
	o.Apply(&c.Limits)
	want := before
	want.MaxEventDelay = 9 * time.Second
	want.PauseThreshold = 250500 * time.Microsecond
	if c.Limits != want {
		t.Errorf("got  %+v\nwant %+v", c.Limits, want)
	}
	if got := strings.Join(o.Describe(), "; "); got != "list.late_ms: 9s; pause.limit_ms: 250.5ms" {
		t.Errorf("got description %q, want list.late_ms and pause.limit_ms with their units", got)
	}
}

func TestInvalidOperatorFileErrorNamesFileLineAndKey(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"unknown key", "[list]\nhaste = 1\n", "x.toml:2: list.haste: no such key"},
		{"below its range", "[list]\n\nlate_ms = 5.0\n", "x.toml:3: list.late_ms: 5 is not within"},
		{"negative", "[pause]\nlimit_ms = -1\n", "x.toml:2: pause.limit_ms: -1 is not within"},
		{"unknown level", "[log]\nlevel = \"loud\"\n", "x.toml:2: log.level: \"loud\""},
		{"string for a number", "[list]\nsilence_ms = \"long\"\n", "x.toml:2: list.silence_ms"},
		{"call too long", "[list]\ncall_ms = 2500\n", "x.toml:2: list.call_ms: a call of 2.5s leaves nothing"},
		{"delay too short", "[list]\nheed_ms = 9000\nlate_ms = 800\n", "x.toml:3: list.late_ms: 800ms is less than"},
		{"infinite", "[list]\nretry_ms = inf\n", "x.toml:2: list.retry_ms: +Inf is not within"},
		{"not TOML", "[list\n", "x.toml:1"},
		{"override out of range", "[plan]\nusual_load = 9\n", "x.toml:2: plan.usual_load: 9 is not within"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseOperator("x.toml", []byte(tc.text))
			var keyErr *strictconfig.Error
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got error %v, want one with %q", err, tc.want)
			} else if !errors.As(err, &keyErr) || keyErr.File != "x.toml" || keyErr.Line == 0 {
				t.Errorf("error %v: got a %T, want a *strictconfig.Error with file and line", err, err)
			}
		})
	}
}
