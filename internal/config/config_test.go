package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const validConfig = `{"name":"n1","listen":"127.0.0.1:8080","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"feed":"127.0.0.1:2379",
 "known":{"n":1,"events":[{"n":1}]},
 "settings":{"services":[{"name":"a","aim":1,"deadline":5000000000}],
  "ceilings":{"connectTimeout":400000000,"keepalive":15000000000,"streamsPerConn":64,"openCap":100}}}`

func TestLimitsFollowTheConfiguration(t *testing.T) {
	c, err := Parse([]byte(validConfig), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	l := c.Limits
	got := []any{l.MaxClientConns, l.ConnectTimeout, l.UpstreamIdleTimeout, l.MaxAttemptsPerConn, l.MaxOpenRequests, l.StopDeadline}
	want := []any{341, 400 * time.Millisecond, 11250 * time.Millisecond, 64, 100, 3650 * time.Millisecond}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	for grace, want := range map[string]time.Duration{"2000000000": 1300 * time.Millisecond, "9000000000": 1300 * time.Millisecond,
		"1500000000": 1100 * time.Millisecond, "1900000000": 1200 * time.Millisecond, "800000000": 1100 * time.Millisecond} {
		text := strings.Replace(validConfig, `"ceilings"`, `"guarantees":{"drainGrace":`+grace+`},"ceilings"`, 1)
		if c, err := Parse([]byte(text), 1<<20); err != nil || c.Limits.WatchSilenceTimeout != want {
			t.Errorf("drains to be heeded within %s ns: a silence is %v, want %v (%v)", grace, c.Limits.WatchSilenceTimeout, want, err)
		}
	}
	// gnet's accept ends the engine when descriptors run out: the shares must leave a reserve.
	if sum := l.MaxClientConns + l.MaxLingeringConns + l.MaxUpstreamConns + l.MaxReplacementDials; sum > l.Descriptors-20 {
		t.Errorf("%d descriptors shared out of %d", sum, l.Descriptors)
	}
	if held := int64(l.BufferCount*l.BufferSize + l.TotalBacklogBytes); held > l.MemoryBytes {
		t.Errorf("bodies may hold %d bytes of %d", held, l.MemoryBytes)
	}
}

// gnet's accept ends the engine when descriptors run out, so the smaller of the two limits counts.
func TestProcessLimitCounts(t *testing.T) {
	c, err := Parse([]byte(validConfig), 256)
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits.Descriptors != 256 || c.Limits.MaxClientConns != 85 {
		t.Errorf("%d descriptors, %d for clients", c.Limits.Descriptors, c.Limits.MaxClientConns)
	}
}

func TestBadConfigurationNamesItsField(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{`"name":"n1"`, `"name":""`, "name"},
		{`"name":"n1"`, `"name":7`, "name"},
		{`"listen":"127.0.0.1:8080"`, `"listen":"nowhere"`, "listen"},
		{`"feed":"127.0.0.1:2379"`, `"feed":""`, "feed"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"x"`, "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "limits.memory_mb"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"settings":{`, `"settings":null,"x":{`, "settings"},
		{`"aim":1`, `"aim":"1"`, "settings"},
		{validConfig, `{`, "config"},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, c.from, c.to, 1)), 1<<20)
		if err == nil || !strings.HasPrefix(err.Error(), c.field) {
			t.Errorf("%s: error %v, want one that names %s", c.to, err, c.field)
		}
	}
}

func TestEnvironmentMustNotContradict(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, value, field string }{
		{"EDGE_CONFIG", "", "EDGE_CONFIG"},
		{"EDGE_NAME", "n2", "EDGE_NAME"},
		{"EDGE_LISTEN", "127.0.0.1:8081", "EDGE_LISTEN"},
		{"EDGE_FD", "x", "EDGE_FD"},
		{"EDGE_FD", "2", "EDGE_FD"}, // the log
	} {
		env := map[string]string{"EDGE_CONFIG": path, c.name: c.value}
		_, err := Load(func(name string) string { return env[name] }, 1<<20)
		if err == nil || !strings.HasPrefix(err.Error(), c.field) {
			t.Errorf("%s=%s: error %v, want one that names %s", c.name, c.value, err, c.field)
		}
	}
	env := map[string]string{"EDGE_CONFIG": path, "EDGE_NAME": "n1", "EDGE_FD": "7"}
	c, err := Load(func(name string) string { return env[name] }, 1<<20)
	if err != nil || c.InheritedFD != 7 {
		t.Errorf("%+v, %v", c, err)
	}
}
