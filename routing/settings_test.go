package routing

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"shaleyard/internal/sitehealth"
)

// walkLeaves calls f for each value of a document that holds no others, with its path and a way to replace it.
func walkLeaves(path string, v any, set func(any), f func(path string, v any, set func(any))) {
	switch x := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(x)) {
			walkLeaves(path+"."+k, x[k], func(n any) { x[k] = n }, f)
		}
	case []any:
		for i := range x {
			walkLeaves(fmt.Sprintf("%s[%d]", path, i), x[i], func(n any) { x[i] = n }, f)
		}
	default:
		f(strings.TrimPrefix(path, "."), v, set)
	}
}

// exerciseRouter plays a few seconds with a router: a list with a cold cache and a drain, requests of all classes, answers and
// failures of all kinds, a purge, refusals.
func exerciseRouter(r *Router, classes int) {
	now := 1000 * time.Second
	var due []time.Duration
	next := map[uint32]int{}
	var handle func(Event)
	handle = func(ev Event) {
		for _, a := range slices.Clone(r.Handle(now, ev)) {
			switch a := a.(type) {
			case SetTimer:
				if len(due) < 10_000 {
					due = append(due, a.At)
				}
				if a.Token != tickTimer && len(due) < 5_000 {
					handle(TimerFired{Token: a.Token})
				}
			case Fetch, Forward:
				id, host := uint32(0), Host(0)
				if f, ok := a.(Fetch); ok {
					id, host = f.ID, f.Host
				} else {
					id, host = a.(Forward).ID, a.(Forward).Host
				}
				no := next[id]
				next[id]++
				handle(Outcome{ID: id, Attempt: no, Host: host, Elapsed: 30 * ms, LoadReport: []float32{1, 2, 3, 4},
					Result: Result((int(id) + no) % (int(Miss) + 1)), FillStatus: FillStatus(int(id) % (int(FillStatusOriginFailed) + 1))})
			}
		}
	}
	list := testEndpoints(3)
	list[1].Started = now - time.Second
	list = append(list, Endpoint{Host: 150, Zone: 1, State: Ready, Weight: 6, Started: now - time.Second})
	handle(EndpointUpdate{Kind: UpdateFull, Version: 1, Endpoints: list})
	for i := range uint32(200) {
		handle(Request{ID: i + 1, Class: int(i) % (classes + 1), Object: uint64(i % 50), Deadline: now + time.Second, SizeKB: float64(i)})
		now += 20 * ms
		handle(TimerFired{Token: tickTimer})
		switch i {
		case 50:
			handle(Purge{Object: 7})
		case 70:
			handle(EndpointUpdate{Kind: UpdateDelta, Version: 2, Endpoints: []Endpoint{{Host: hostEdge, Zone: 1, State: Draining, Weight: 6}}})
		case 90:
			handle(EndpointUpdate{Kind: UpdateFailed})
		}
	}
}

// Settings of other deployments may leave anything out, and may hold what nobody thought of. What can't work is an error
// that names the key, before anything listens; all else plays, and nothing panics.
func TestOddSettingsAreNamedOrPlay(t *testing.T) {
	plain := testSettings()
	plain.SiteLimits.RetryAfterAllowed, plain.SiteLimits.MaxRetryAfter = true, 500*ms
	text, err := json.Marshal(plain)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	try := func(path string, v any) {
		count++
		defer func() {
			if p := recover(); p != nil {
				t.Errorf("%s = %v: %v", path, v, p)
			}
		}()
		odd, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var doc any
		json.Unmarshal(text, &doc)
		walkLeaves("", doc, nil, func(p string, _ any, set func(any)) {
			if p == path {
				set(json.RawMessage(odd))
			}
		})
		changed, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		key := path
		if i := strings.IndexByte(key, '['); i >= 0 && !strings.HasPrefix(key, "services") {
			key = key[:i]
		}
		key = key[strings.LastIndexByte(key, '.')+1:]
		var s Settings
		err = json.Unmarshal(changed, &s)
		var r *Router
		if err == nil {
			if r, err = New(s, 1); err == nil {
				r.SetSiteOptions(sitehealth.Options{})
				exerciseRouter(r, len(s.Classes))
				return
			}
		}
		if !strings.Contains(err.Error(), key) {
			t.Errorf("%s = %v: the error does not name the key: %v", path, v, err)
		}
	}
	var doc any
	json.Unmarshal(text, &doc)
	walkLeaves("", doc, nil, func(path string, v any, _ func(any)) {
		odd := []any{nil, "odd", -1, 0, true}
		if _, ok := v.(float64); ok {
			odd = append(odd, 1e18, -1e18, 0.5)
		}
		for _, o := range odd {
			try(path, o)
		}
	})
	if count < 500 {
		t.Errorf("only %d changes were tried", count)
	}
}
