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
func walkLeaves(path string, value any, set func(any), visit func(path string, value any, set func(any))) {
	switch node := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(node)) {
			walkLeaves(path+"."+key, node[key], func(replacement any) { node[key] = replacement }, visit)
		}
	case []any:
		for i := range node {
			walkLeaves(fmt.Sprintf("%s[%d]", path, i), node[i], func(replacement any) { node[i] = replacement }, visit)
		}
	default:
		visit(strings.TrimPrefix(path, "."), value, set)
	}
}

// exerciseRouter plays a few seconds with a router: a list with a cold cache and a drain, requests of all classes, answers and
// failures of all kinds, a purge, refusals.
func exerciseRouter(router *Router, classes int) {
	now := 1000 * time.Second
	var due []time.Duration
	next := map[uint32]int{}
	var handle func(Event)
	handle = func(event Event) {
		for _, action := range slices.Clone(router.Handle(now, event)) {
			switch action := action.(type) {
			case SetTimer:
				if len(due) < 10_000 {
					due = append(due, action.At)
				}
				if action.Token != tickTimer && len(due) < 5_000 {
					handle(TimerFired{Token: action.Token})
				}
			case Fetch, Forward:
				id, host := uint32(0), Host(0)
				if fetch, ok := action.(Fetch); ok {
					id, host = fetch.ID, fetch.Host
				} else {
					id, host = action.(Forward).ID, action.(Forward).Host
				}
				number := next[id]
				next[id]++
				handle(Outcome{ID: id, Attempt: number, Host: host, Elapsed: 30 * ms, LoadReport: []float32{1, 2, 3, 4},
					Result: Result((int(id) + number) % (int(Miss) + 1)), FillStatus: FillStatus(int(id) % (int(FillStatusOriginFailed) + 1))})
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
	try := func(path string, value any) {
		count++
		defer func() {
			if p := recover(); p != nil {
				t.Errorf("%s = %v: %v", path, value, p)
			}
		}()
		odd, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		var doc any
		json.Unmarshal(text, &doc)
		walkLeaves("", doc, nil, func(leafPath string, _ any, set func(any)) {
			if leafPath == path {
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
		var settings Settings
		err = json.Unmarshal(changed, &settings)
		var router *Router
		if err == nil {
			if router, err = New(settings, 1); err == nil {
				router.SetSiteOptions(sitehealth.Options{})
				exerciseRouter(router, len(settings.Classes))
				return
			}
		}
		if !strings.Contains(err.Error(), key) {
			t.Errorf("%s = %v: the error does not name the key: %v", path, value, err)
		}
	}
	var doc any
	json.Unmarshal(text, &doc)
	walkLeaves("", doc, nil, func(path string, value any, _ func(any)) {
		odd := []any{nil, "odd", -1, 0, true}
		if _, ok := value.(float64); ok {
			odd = append(odd, 1e18, -1e18, 0.5)
		}
		for _, replacement := range odd {
			try(path, replacement)
		}
	})
	if count < 500 {
		t.Errorf("only %d changes were tried", count)
	}
}

func TestNewNamesTheField(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"services":             func(settings *Settings) { settings.Classes = nil },
		"zone":                 func(settings *Settings) { settings.Zone = 3 },
		"ceilings.maxAttempts": func(settings *Settings) { settings.SiteLimits.MaxAttempts = 0 },
		"guarantees":           func(settings *Settings) { settings.Guarantees.OverloadWindow = -1 },
		"seatsByZone":          func(settings *Settings) { settings.Tiers.DirectorsByZone = []int{1} },
		"classFresh":           func(settings *Settings) { settings.Tiers.FreshnessLifetime = settings.Tiers.FreshnessLifetime[:1] },
		"services[1]":          func(settings *Settings) { settings.Classes[1].LatencyObjective = 0 },
		"familyInfo":           func(settings *Settings) { settings.Tiers.PurgePropagation = -1 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
	settings := testSettings()
	settings.Tiers = TierSettings{ParentKind: -1, OriginKind: 2}
	if _, err := New(settings, 1); err != nil {
		t.Errorf("optional lists left out: %v", err)
	}
}
