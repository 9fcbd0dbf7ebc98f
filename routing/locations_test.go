package routing

import (
	"testing"
	"time"
)

func TestHolderAgesOut(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, 0)
	first := env.fetches[0].Host
	env.run(siblingHintLifetime + 200*ms)
	endpoint := env.endpoints[first]
	endpoint.Weight = 0.0001
	env.updateEndpoints(UpdateDelta, endpoint)
	env.submitRead(2, 42, 0)
	if s := env.fetches[1]; s.Source == first {
		t.Errorf("a holder older than %v was still believed: %+v", siblingHintLifetime, s)
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
		{"object", Purge{Age: 300 * ms, Object: 42}, 0, 0, 300 * ms},
		{"whole group", Purge{Age: 300 * ms, Group: 2}, 0, time.Second, 1300 * ms},
		{"never wider than fresh", Purge{Age: 7900 * ms, Object: 42}, 1, 500 * ms, 8 * time.Second},
		{"at least 1 ns", Purge{Object: 42}, 0, 0, 1},
		{"other group", Purge{Age: 300 * ms, Group: 3}, 0, 0, 0},
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

func TestPurgeVoidsHolder(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, 0)
	first := env.fetches[0].Host
	env.run(100 * ms)
	env.purge(Purge{Object: 42, Age: 10 * ms})
	endpoint := env.endpoints[first]
	endpoint.Weight = 0.0001
	env.updateEndpoints(UpdateDelta, endpoint)
	env.submitRead(2, 42, 0)
	if s := env.fetches[1]; s.Source == first {
		t.Errorf("a voided holder was named as source: %+v", s)
	}
}

// Found after flushes: holders voided by a purge were still counted as holders, so fills passed for hits.
func TestPurgedHolderIsNoHolder(t *testing.T) {
	env := newSimpleEnv(t, nil)
	o := env.submitRead(1, 42, 0)
	env.run(100 * ms)
	target := env.router.servers[env.fetches[0].Host]
	request := &requestState{Request: o.Request, location: env.router.recordUse(objectKey{o.Object, o.Part})}
	if env.router.isLikelyFill(request, target) {
		t.Error("a holder counts as none")
	}
	env.purge(Purge{Group: int(o.Group), Age: ms})
	if !env.router.isLikelyFill(request, target) {
		t.Error("a purged holder counts as holder")
	}
}
