package routing

import (
	"testing"
	"time"
)

// negligibleWeight moves the rank of a cache behind the others; it stays in use.
const negligibleWeight = 0.0001

func TestLocationHintExpires(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, classBig)
	holder := env.fetches[0].Host
	env.run(siblingHintLifetime + 200*ms)
	env.setWeight(holder, negligibleWeight)
	env.submitRead(2, 42, classBig)
	if fetch := env.fetches[1]; fetch.Source == holder {
		t.Errorf("a hint older than %v was still believed: %+v", siblingHintLifetime, fetch)
	}
}

func TestPurgeBoundsAge(t *testing.T) {
	for _, tc := range []struct {
		name  string
		purge Purge
		class int
		wait  time.Duration
		want  time.Duration // 0: the class's own age
	}{
		{"object", Purge{Age: 300 * ms, Object: 42}, classBig, 0, 300 * ms},
		{"whole group", Purge{Age: 300 * ms, Group: 2}, classBig, time.Second, 1300 * ms},
		{"never wider than fresh", Purge{Age: 7900 * ms, Object: 42}, classSmall, 500 * ms, 8 * time.Second},
		{"at least 1 ns", Purge{Object: 42}, classBig, 0, 1},
		{"other group", Purge{Age: 300 * ms, Group: 3}, classBig, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			env.purge(tc.purge)
			env.run(tc.wait)
			env.submitRead(1, 42, tc.class)
			if got := env.fetches[0].MaxAge; got != tc.want {
				t.Errorf("age %v, want %v", got, tc.want)
			}
			env.assertNoViolation()
		})
	}
}

func TestPurgedHolderIsNoSource(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, classBig)
	holder := env.fetches[0].Host
	env.run(100 * ms)
	env.purge(Purge{Object: 42, Age: 10 * ms})
	env.setWeight(holder, negligibleWeight)
	env.submitRead(2, 42, classBig)
	if fetch := env.fetches[1]; fetch.Source == holder {
		t.Errorf("a cache with a purged copy was named as source: %+v", fetch)
	}
}

// A purged hint does not make a request a likely hit. Found after purges of whole groups: fills passed for hits.
func TestPurgedHolderIsALikelyFill(t *testing.T) {
	env := newSimpleEnv(t, nil)
	submitted := env.submitRead(1, 42, classBig)
	env.run(100 * ms)
	target := env.router.servers[env.fetches[0].Host]
	key := objectKey{submitted.Object, submitted.Part}
	request := &requestState{Request: submitted.Request, location: env.router.recordUse(key)}
	if env.router.isLikelyFill(request, target) {
		t.Error("a holder is not known as one")
	}
	env.purge(Purge{Group: submitted.Group, Age: ms})
	if !env.router.isLikelyFill(request, target) {
		t.Error("a purged holder counts as one")
	}
}
