package routing

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"shaleyard/internal/sitehealth"
)

func TestNewErrorNamesSettingKey(t *testing.T) {
	for key, change := range map[string]func(*Settings){
		"services":             func(s *Settings) { s.Classes = nil },
		"zone":                 func(s *Settings) { s.Zone = 3 },
		"ceilings.maxAttempts": func(s *Settings) { s.SiteLimits.MaxAttempts = 0 },
		"guarantees":           func(s *Settings) { s.Guarantees.OverloadWindow = -1 },
		"seatsByZone":          func(s *Settings) { s.Tiers.DirectorsByZone = []int{1} },
		"classFresh":           func(s *Settings) { s.Tiers.FreshnessLifetime = s.Tiers.FreshnessLifetime[:1] },
		"services[1]":          func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"familyInfo":           func(s *Settings) { s.Tiers.PurgePropagation = -1 },
	} {
		t.Run(key, func(t *testing.T) {
			settings := testSettings()
			change(&settings)
			_, err := New(settings, 1)
			if err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("got error %v, want one that contains %q", err, key)
			}
			var settingErr *SettingError
			if !errors.As(err, &settingErr) || !strings.Contains(settingErr.Key, key) {
				t.Errorf("got error %v, want a SettingError whose Key contains %q", err, key)
			}
		})
	}
	settings := testSettings()
	settings.Tiers = TierSettings{ParentKind: -1, OriginKind: 2}
	if _, err := New(settings, 1); err != nil {
		t.Errorf("New failed with the optional lists left out: %v", err)
	}
}

// Settings of other deployments may leave out any value and may hold any value. Settings that cannot work must lead to
// an error that names the key, before the director listens. A router with any other settings must handle events without
// a panic.
func TestArbitrarySettingsAreRejectedOrUsable(t *testing.T) {
	settings := testSettings()
	settings.SiteLimits.RetryAfterAllowed, settings.SiteLimits.MaxRetryAfter = true, 500*ms
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	walkLeaves("", decodeJSON(t, text), nil, func(path string, value any, _ func(any)) {
		replacements := []any{nil, "odd", -1, 0, true}
		if _, ok := value.(float64); ok {
			replacements = append(replacements, 1e18, -1e18, 0.5)
		}
		for _, replacement := range replacements {
			count++
			checkReplacedSetting(t, text, path, replacement)
		}
	})
	if count < 500 {
		t.Errorf("tried %d replacements, want at least 500", count)
	}
}

// checkReplacedSetting replaces the value at a path of the settings, given as JSON. It checks that a router with the
// new settings handles events without a panic, or that the error names the key.
func checkReplacedSetting(t *testing.T, text []byte, path string, value any) {
	t.Helper()
	defer func() {
		if panicked := recover(); panicked != nil {
			t.Errorf("%s = %v: panic: %v", path, value, panicked)
		}
	}()
	replacement, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	document := decodeJSON(t, text)
	walkLeaves("", document, nil, func(leafPath string, _ any, set func(any)) {
		if leafPath == path {
			set(json.RawMessage(replacement))
		}
	})
	changed, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	err = exerciseSettings(changed)
	if err != nil && !strings.Contains(err.Error(), lastKey(path)) {
		t.Errorf("%s = %v: got error %v, want one that names the key", path, value, err)
	}
}

// exerciseSettings decodes settings from JSON and exercises a router with them. It returns the error of decoding the
// settings or of creating the router.
func exerciseSettings(text []byte) error {
	var settings Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		return err
	}
	router, err := New(settings, 1)
	if err != nil {
		return err
	}
	router.SetSiteOptions(sitehealth.Options{})
	exerciseRouter(router, len(settings.Classes))
	return nil
}

// lastKey returns the last key of a path, which the error for a value at this path must contain. In a list of plain
// values, this is the key before the index: a path such as familyInfo.passOn[1] gives passOn. In the list "services",
// the key follows the index: services[0].aim gives aim.
func lastKey(path string) string {
	if i := strings.IndexByte(path, '['); i >= 0 && !strings.HasPrefix(path, "services") {
		path = path[:i]
	}
	return path[strings.LastIndexByte(path, '.')+1:]
}

// decodeJSON decodes a JSON document into maps, slices and plain values, and fails the test if it is invalid.
func decodeJSON(t *testing.T, text []byte) (document any) {
	t.Helper()
	if err := json.Unmarshal(text, &document); err != nil {
		t.Fatal(err)
	}
	return document
}

// walkLeaves calls visit for each value of a decoded JSON document that is neither an object nor an array. The
// arguments of visit are the path of the value, the value, and a function that replaces it. Objects are visited in the
// order of their keys.
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

// exerciser passes events to a router and answers each attempt at once, with varying results.
type exerciser struct {
	router   *Router
	now      Time
	timers   int            // timers set; from 5000 on they no longer fire, which bounds the recursion
	attempts map[uint32]int // number of attempts sent, by request ID
}

// exerciseRouter passes 4 s of events to a router: an endpoint list with servers that warm up, requests of all classes,
// outcomes with all results from OK to Miss and with all fill statuses, a purge, a cache that drains, and a discovery
// failure.
func exerciseRouter(router *Router, classes int) {
	e := &exerciser{router: router, now: 1000 * time.Second, attempts: map[uint32]int{}}
	list := testEndpoints(3)
	list[1].Started = e.now - time.Second
	list = append(list, Endpoint{Host: 150, Zone: 1, State: Ready, Weight: 6, Started: e.now - time.Second})
	e.handle(EndpointUpdate{Kind: UpdateFull, Version: 1, Endpoints: list})
	for i := range uint32(200) {
		class := int(i) % (classes + 1) // the last one is out of range
		e.handle(
			Request{ID: i + 1, Class: class, Object: uint64(i % 50), Deadline: e.now + time.Second, SizeKB: float64(i)},
		)
		e.now += 20 * ms
		e.handle(TimerFired{Token: tickTimer})
		switch i {
		case 50:
			e.handle(Purge{Object: 7})
		case 70:
			draining := Endpoint{Host: hostEdge, Zone: 1, State: Draining, Weight: 6}
			e.handle(EndpointUpdate{Kind: UpdateDelta, Version: 2, Endpoints: []Endpoint{draining}})
		case 90:
			e.handle(EndpointUpdate{Kind: UpdateFailed})
		}
	}
}

// handle passes an event to the router, and fires the timers and ends the attempts that the router's actions ask for.
func (e *exerciser) handle(event Event) {
	for _, action := range slices.Clone(e.router.Handle(e.now, event)) {
		switch action := action.(type) {
		case SetTimer:
			e.timers++
			if action.Token != tickTimer && e.timers < 5_000 {
				e.handle(TimerFired{Token: action.Token})
			}
		case Fetch:
			e.endAttempt(action.ID, action.Host)
		case Forward:
			e.endAttempt(action.ID, action.Host)
		}
	}
}

// endAttempt ends the request's next attempt with a result and a fill status that depend on the request and the
// attempt.
func (e *exerciser) endAttempt(id uint32, host Host) {
	number := e.attempts[id]
	e.attempts[id]++
	result := Result((int(id) + number) % (int(Miss) + 1))
	status := FillStatus(int(id) % (int(FillStatusOriginFailed) + 1))
	e.handle(Outcome{ID: id, Attempt: number, Host: host, Elapsed: 30 * ms, LoadReport: []float32{1, 2, 3, 4},
		Result: result, FillStatus: status})
}
