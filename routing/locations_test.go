package routing

import (
	"testing"
	"time"
)

// negligibleWeight is a weight with which a cache ranks behind the other caches for nearly all objects. The cache stays
// in use.
const negligibleWeight = 0.0001

func TestLocationHintExpires(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitObject(1, 42, classBig)
	holder := env.fetches[0].Host
	env.run(siblingHintLifetime + 200*ms)
	env.setWeight(holder, negligibleWeight)
	env.submitObject(2, 42, classBig)
	if fetch := env.fetches[1]; fetch.Source == holder {
		t.Errorf("got a hint older than %v as source: %+v", siblingHintLifetime, fetch)
	}
}

func TestPurgeLimitsMaxAge(t *testing.T) {
	for _, tc := range []struct {
		name  string
		purge Purge
		class int
		wait  time.Duration
		want  time.Duration // MaxAge; 0: the class's freshness lifetime
	}{
		{"object", Purge{Age: 300 * ms, Object: 42}, classBig, 0, 300 * ms},
		{"whole group", Purge{Age: 300 * ms, Group: 2}, classBig, time.Second, 1300 * ms},
		{"at most the freshness lifetime", Purge{Age: 7900 * ms, Object: 42}, classSmall, 500 * ms, 8 * time.Second},
		{"at least 1 ns", Purge{Object: 42}, classBig, 0, 1},
		{"other group", Purge{Age: 300 * ms, Group: 3}, classBig, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			env.purge(tc.purge)
			env.run(tc.wait)
			env.submitObject(1, 42, tc.class)
			if got := env.fetches[0].MaxAge; got != tc.want {
				t.Errorf("got MaxAge %v, want %v", got, tc.want)
			}
			env.assertNoViolation()
		})
	}
}

func TestPurgedHolderIsNoSource(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitObject(1, 42, classBig)
	holder := env.fetches[0].Host
	env.run(100 * ms)
	env.purge(Purge{Object: 42, Age: 10 * ms})
	env.setWeight(holder, negligibleWeight)
	env.submitObject(2, 42, classBig)
	if fetch := env.fetches[1]; fetch.Source == holder {
		t.Errorf("got a cache with a purged copy as source: %+v", fetch)
	}
}

// A location hint from before a purge must not make a request a likely hit. Otherwise fills count as hits after the
// purge of a whole group.
func TestPurgedHintIsNotALikelyHit(t *testing.T) {
	env := newSimpleEnv(t, nil)
	submitted := env.submitObject(1, 42, classBig)
	env.run(100 * ms)
	target := env.router.servers[env.fetches[0].Host]
	key := objectKey{submitted.Object, submitted.Part}
	request := &requestState{Request: submitted.Request, location: env.router.recordUse(key)}
	if env.router.isLikelyFill(request, target) {
		t.Error("request is a likely fill at a cache that holds the object, want a likely hit")
	}
	env.purge(Purge{Group: submitted.Group, Age: ms})
	if !env.router.isLikelyFill(request, target) {
		t.Error("request is a likely hit at a cache whose copy was purged, want a likely fill")
	}
}
