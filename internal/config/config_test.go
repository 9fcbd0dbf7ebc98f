package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/strictconfig"
)

const validConfig = `{"name":"n1","listen":"127.0.0.1:8080","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"feed":"127.0.0.1:2379",
 "known":{"n":1,"events":[{"n":1}]},
 "settings":{"services":[{"name":"a","aim":1,"deadline":5000000000}],
  "ceilings":{"connectTimeout":400000000,"keepalive":15000000000,"streamsPerConn":64,"openCap":100}}}`

// manyDescriptors is a limit of the process that does not bind.
const manyDescriptors = 1 << 20

func mustParse(t *testing.T, text string, descriptors uint64) *Config {
	t.Helper()
	c, err := Parse([]byte(text), descriptors)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// checkErrorKey checks that an error names a key, in its text and by its type.
func checkErrorKey(t *testing.T, err error, key string) {
	t.Helper()
	var fault *strictconfig.Error
	if err == nil || !strings.HasPrefix(err.Error(), key) {
		t.Errorf("error %v, want one that names %s", err, key)
	} else if !errors.As(err, &fault) || !strings.HasPrefix(fault.Key, key) {
		t.Errorf("error %v is a %T without the key %s", err, err, key)
	}
}

func TestLimitsFollowTheConfiguration(t *testing.T) {
	limits := mustParse(t, validConfig, manyDescriptors).Limits
	got := []any{limits.MaxClientConns, limits.ConnectTimeout, limits.UpstreamIdleTimeout,
		limits.MaxAttemptsPerConn, limits.MaxOpenRequests, limits.StopDeadline}
	want := []any{341, 400 * time.Millisecond, 11250 * time.Millisecond, 64, 100, 3650 * time.Millisecond}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	// An accept by gnet would end the engine when descriptors run out: the shares must leave a reserve.
	sum := limits.MaxClientConns + limits.MaxLingeringConns + limits.MaxUpstreamConns + limits.MaxReplacementDials
	if sum > limits.Descriptors-20 {
		t.Errorf("%d descriptors shared out of %d", sum, limits.Descriptors)
	}
	if held := int64(limits.BufferCount*limits.BufferSize + limits.TotalBacklogBytes); held > limits.MemoryBytes {
		t.Errorf("bodies may hold %d bytes of %d", held, limits.MemoryBytes)
	}
}

// A silence must be noticed in time for a drain to be applied, but nothing shorter than a heartbeat is one.
func TestSilenceFollowsTheTimeToApplyADrain(t *testing.T) {
	for _, tc := range []struct {
		drainGrace string // nanoseconds
		want       time.Duration
	}{
		{"2000000000", 1300 * time.Millisecond},
		{"9000000000", 1300 * time.Millisecond},
		{"1500000000", 1100 * time.Millisecond},
		{"1900000000", 1200 * time.Millisecond},
		{"800000000", 1100 * time.Millisecond},
	} {
		t.Run(tc.drainGrace, func(t *testing.T) {
			guarantees := `"guarantees":{"drainGrace":` + tc.drainGrace + `},"ceilings"`
			c := mustParse(t, strings.Replace(validConfig, `"ceilings"`, guarantees, 1), manyDescriptors)
			if got := c.Limits.WatchSilenceTimeout; got != tc.want {
				t.Errorf("a silence is %v, want %v", got, tc.want)
			}
		})
	}
}

// The smaller of the two limits counts.
func TestProcessLimitCounts(t *testing.T) {
	c := mustParse(t, validConfig, 256)
	if c.Limits.Descriptors != 256 || c.Limits.MaxClientConns != 85 {
		t.Errorf("%d descriptors, %d for clients", c.Limits.Descriptors, c.Limits.MaxClientConns)
	}
}

func TestBadConfigurationNamesItsField(t *testing.T) {
	for _, tc := range []struct{ name, from, to, key string }{
		{"name empty", `"name":"n1"`, `"name":""`, "name"},
		{"name a number", `"name":"n1"`, `"name":7`, "name"},
		{"listen no address", `"listen":"127.0.0.1:8080"`, `"listen":"nowhere"`, "listen"},
		{"feed empty", `"feed":"127.0.0.1:2379"`, `"feed":""`, "feed"},
		{"seed no number", `"seed":"8c1f30d27a5be964"`, `"seed":"x"`, "seed"},
		{"no cores", `"cores":1.0`, `"cores":0`, "limits.cores"},
		{"memory a text", `"memory_mb":192`, `"memory_mb":"much"`, "limits.memory_mb"},
		{"memory too small", `"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb"},
		{"sockets too few", `"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{"settings null", `"settings":{`, `"settings":null,"x":{`, "settings"},
		{"setting of a wrong type", `"aim":1`, `"aim":"1"`, "settings"},
		{"no JSON", validConfig, `{`, "config"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validConfig, tc.from, tc.to, 1)), manyDescriptors)
			checkErrorKey(t, err, tc.key)
		})
	}
}

func TestEnvironmentMustNotContradict(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	load := func(env map[string]string) (*Config, error) {
		return Load(func(name string) string { return env[name] }, manyDescriptors)
	}
	for _, tc := range []struct{ variable, value string }{
		{"EDGE_CONFIG", ""},
		{"EDGE_NAME", "n2"},
		{"EDGE_LISTEN", "127.0.0.1:8081"},
		{"EDGE_FD", "x"},
		{"EDGE_FD", "2"}, // the log
	} {
		t.Run(tc.variable+"="+tc.value, func(t *testing.T) {
			_, err := load(map[string]string{"EDGE_CONFIG": path, tc.variable: tc.value})
			checkErrorKey(t, err, tc.variable)
		})
	}
	c, err := load(map[string]string{"EDGE_CONFIG": path, "EDGE_NAME": "n1", "EDGE_FD": "7"})
	if err != nil || c.InheritedFD != 7 {
		t.Errorf("%+v, %v", c, err)
	}
}
