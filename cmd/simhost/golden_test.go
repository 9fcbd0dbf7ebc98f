package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// The golden test runs seeded simulations against serve and exchanges only encoded batches and replies with it. It
// compares a hash of each simulation's replies with testdata/golden/router.txt, so it fails when a change alters a
// routing decision or the wire format. The texts of log and crash actions may change: these actions are counted, and
// only their code, instance and position are hashed.

var updateGolden = flag.Bool("update", false, "write testdata/golden/router.txt")

const (
	goldenFile             = "testdata/golden/router.txt"
	seedsPerVariant        = 10
	maxReportedDifferences = 10 // differing sequences that a failed test prints
	baseSettingsText       = `{
	"balancers": 3, "quantum": 2000000, "registryMode": "automatic", "weights": "nominal", "zone": 2, "me": 0,
	"dcs": ["hub-a", "hub-b", "here", "there"], "kinds": ["edge", "parent", "origin"],
	"services": [
		{"name": "big", "aim": 500000000, "aimStretch": 1.5, "deadline": 4000000000, "worth": 2, "lateWorth": 0.25,
			"effect": "read_like", "group": "all"},
		{"name": "small", "aim": 250000000, "aimStretch": 1, "deadline": 2000000000, "worth": 1,
			"effect": "read_like", "group": "all"},
		{"name": "zoned", "aim": 400000000, "deadline": 2000000000, "worth": 3, "effect": "idempotency_key",
			"group": "zone", "dedupWindow": 1000000000},
		{"name": "unsafe", "aim": 400000000, "deadline": 2000000000, "worth": 3, "effect": "non_idempotent"},
		{"name": "celled", "aim": 300000000, "deadline": 1500000000, "worth": 1, "effect": "idempotency_key",
			"group": "cell", "dedupWindow": 600000000},
		{"name": "keyed", "aim": 300000000, "deadline": 1500000000, "worth": 1, "effect": "idempotency_key",
			"group": "all", "dedupWindow": 800000000}],
	"ceilings": {"cancel": true, "maxAttempts": 5, "maxRetryAfter": 500000000},
	"report": {"fields": [], "via": "off"},
	"familyInfo": {"bypassAllowed": true, "classFresh": [0, 8000000000, 0, 0, 0, 0],
		"staleFor": [0, 10000000000, 0, 0, 0, 0], "staleEarns": [1, 0.5, 1, 1, 1, 1],
		"passOn": [false, false, false, true, false, true], "flowKbPerS": 4000, "transitPrice": 0.06,
		"feedKbPerS": [0, 0, 90000, 60000], "mergesFills": true, "masterKind": 2, "secondTierKind": 1,
		"parentColdFrom": 0.1, "parentRamp": 15000000000, "parentFallMultiple": 2, "purgeTakes": 6000000000,
		"purgeSlack": 300000000, "lateral": "location", "notesGiven": "all", "seatsByZone": [0, 0, 2, 1],
		"hubByZone": [0, 1, 0, 1]},
	"guarantees": {"askWithin": 10000000000, "cold": 12000000000, "coldFrom": 0.2, "drainGrace": 1000000000,
		"fall": 1000000000, "graceToAnswer": 8000000, "tipMultiple": 3}}`
)

// override replaces the value at a path in the settings, such as "services.1.aim". The value nil deletes the key.
type override struct {
	path  string
	value any
}

// goldenVariant describes sequences that differ in their seed alone. They share their settings, the kinds of faults
// that may occur and the options of the simulation.
type goldenVariant struct {
	name      string
	overrides []override
	faults    []string // names of simFaults to draw from, repeated to weight them; empty: all faults
	options   simOptions
}

var goldenVariants = []goldenVariant{
	{name: "plain"},
	{name: "calm", faults: []string{"burst", "relist"}},
	{name: "notes-hit", overrides: []override{{"familyInfo.notesGiven", "hit"}}},
	{name: "notes-off", overrides: []override{{"familyInfo.notesGiven", "off"}}},
	{name: "second-copies", overrides: []override{{"ceilings.secondCopies", true}},
		faults: []string{"hang", "hang", "slow", "crash", "lose-answers"}},
	{name: "second-copies-notes-off", overrides: []override{{"ceilings.secondCopies", true},
		{"familyInfo.notesGiven", "off"}}, faults: []string{"hang", "lose-answers", "origin-slow", "burst"}},
	{name: "no-cancel", overrides: []override{{"ceilings.cancel", false}}},
	{name: "retry-after", overrides: []override{{"ceilings.retryAfter", true}},
		faults: []string{"refuse", "burst", "lose-own-site", "origin-fails"}},
	{name: "peers", overrides: []override{{"ceilings.peerMessages", true}, {"familyInfo.lateral", "any"}},
		faults: []string{"lose-hubs", "lose-hubs", "purge", "crash"}, options: simOptions{routersInTwoZones: true}},
	{name: "peers-of-one-zone", overrides: []override{{"ceilings.peerMessages", true}, {"familyInfo.lateral", "any"}},
		faults: []string{"lose-hubs", "restart-router", "crash"}},
	{name: "lateral-off", overrides: []override{{"familyInfo.lateral", "off"}}},
	{name: "lateral-any", overrides: []override{{"familyInfo.lateral", "any"}}},
	{name: "reports-inline", overrides: []override{{"report.via", "inline"},
		{"report.fields", []string{"load", "queue", "pace", "hits"}}}, options: simOptions{loadReportFields: 4}},
	{name: "reports-on-probe", overrides: []override{{"report.via", "on_probe"}, {"ceilings.probes", true},
		{"report.fields", []string{"load"}}}, options: simOptions{loadReportFields: 1}},
	{name: "weights-rough", overrides: []override{{"weights", "rough"}}, options: simOptions{unevenWeights: true}},
	{name: "weights-live", overrides: []override{{"weights", "live"}}, options: simOptions{unevenWeights: true}},
	{name: "weights-off", overrides: []override{{"weights", "off"}}},
	{name: "separate-fills", overrides: []override{{"familyInfo.mergesFills", false}}},
	{name: "separate-fills-crowded", overrides: []override{{"familyInfo.mergesFills", false}},
		faults:  []string{"origin-slow", "origin-fails", "burst", "purge", "newcomer"},
		options: simOptions{lowCapacity: true}},
	{name: "no-parents", overrides: []override{{"familyInfo.secondTierKind", -1}},
		options: simOptions{withoutParents: true}},
	{name: "no-parents-peers", overrides: []override{{"familyInfo.secondTierKind", -1}, {"ceilings.peerMessages", true},
		{"familyInfo.lateral", "any"}}, options: simOptions{withoutParents: true, routersInTwoZones: true}},
	{name: "no-bypass", overrides: []override{{"familyInfo.bypassAllowed", false}}},
	{name: "one-attempt", overrides: []override{{"ceilings.maxAttempts", 1}}},
	{name: "two-attempts", overrides: []override{{"ceilings.maxAttempts", 2}, {"ceilings.retryAfter", true}}},
	{name: "cold", faults: []string{"newcomer", "newcomer", "crash", "restart-zone", "burst"},
		options: simOptions{coldStart: true}},
	{name: "cold-unsized", overrides: []override{{"weights", "off"}},
		faults: []string{"newcomer", "newcomer", "crash", "restart-zone"}, options: simOptions{coldStart: true}},
	{name: "purges", faults: []string{"purge", "purge-group", "purge", "purge-group", "crash"}},
	{name: "sites-lost", faults: []string{"lose-hubs", "lose-hub", "lose-own-site", "restart-zone", "delist-zone"}},
	{name: "cut-off", overrides: []override{{"ceilings.retryAfter", true}},
		faults: []string{"silence-all", "lose-own-site"}},
	{name: "origin", faults: []string{"origin-slow", "origin-fails", "burst"}, options: simOptions{lowCapacity: true}},
	{name: "stale", overrides: []override{{"familyInfo.classFresh", []int64{2e9, 3e9, 0, 0, 0, 0}},
		{"familyInfo.staleFor", []int64{6e9, 9e9, 0, 0, 0, 0}}},
		faults: []string{"origin-slow", "origin-fails", "purge", "burst"}, options: simOptions{lowCapacity: true}},
	{name: "crowded", faults: []string{"burst", "refuse", "slow", "burst"}, options: simOptions{lowCapacity: true}},
	{name: "subscribed", overrides: []override{{"registryMode", "subscribe"}},
		faults: []string{"fail-list", "relist", "drain", "crash"}},
	{name: "sizes-untold", overrides: []override{{"familyInfo.flowKbPerS", 0}}},
	{name: "streaming", overrides: []override{{"services.0.streaming", true}, {"services.1.streaming", true}},
		options: simOptions{streaming: true}},
	{name: "lists-left-out", overrides: []override{{"familyInfo.classFresh", nil}, {"familyInfo.staleFor", nil},
		{"familyInfo.staleEarns", nil}, {"familyInfo.passOn", nil}, {"familyInfo.hubByZone", nil},
		{"familyInfo.feedKbPerS", nil}}},
	{name: "tiles", overrides: []override{{"weights", "off"}, {"familyInfo.notesGiven", "hit"},
		{"familyInfo.lateral", "off"}, {"services.0.aim", 350e6}, {"services.0.deadline", 1600e6},
		{"guarantees.drainGrace", 800e6}, {"guarantees.fall", 1500e6}, {"guarantees.tipMultiple", 4},
		{"balancers", 4}}},
	{name: "all-allowed", overrides: []override{{"ceilings.secondCopies", true}, {"ceilings.retryAfter", true},
		{"ceilings.peerMessages", true}, {"familyInfo.lateral", "any"}, {"report.via", "inline"},
		{"report.fields", []string{"load", "queue"}}},
		options: simOptions{loadReportFields: 2, routersInTwoZones: true}},
}

// invalidSettings lists settings with which an instance must not start.
var invalidSettings = []struct {
	name      string
	overrides []override
}{
	{"no-classes", []override{{"services", []any{}}}},
	{"zone-unknown", []override{{"zone", 4}}},
	{"no-attempts", []override{{"ceilings.maxAttempts", 0}}},
	{"no-aim", []override{{"services.1.aim", 0}}},
	{"no-deadline", []override{{"services.1.deadline", 0}}},
	{"window-negative", []override{{"services.2.dedupWindow", -1}}},
	{"fall-negative", []override{{"guarantees.fall", -1}}},
	{"hub-unknown", []override{{"familyInfo.hubByZone", []int{0, 1, 9, 1}}}},
	{"classes-missing", []override{{"familyInfo.classFresh", []int{0}}}},
	{"fresh-negative", []override{{"familyInfo.classFresh", []int{0, -1, 0, 0, 0, 0}}}},
	{"stale-negative", []override{{"familyInfo.staleFor", []int{0, -1, 0, 0, 0, 0}}}},
	{"name-not-text", []override{{"weights", 7}}},
}

// settingsDocument is a decoded settings object to which overrides can be applied.
type settingsDocument map[string]any

// newSettingsDocument returns the base settings with the overrides applied.
func newSettingsDocument(overrides []override) settingsDocument {
	var document settingsDocument
	if err := json.Unmarshal([]byte(baseSettingsText), &document); err != nil {
		panic(err)
	}
	for _, o := range overrides {
		document.set(o)
	}
	return document
}

// set applies an override. A path element after an array is a one-digit index.
func (d settingsDocument) set(o override) {
	keys := strings.Split(o.path, ".")
	var at any = map[string]any(d)
	for _, key := range keys[:len(keys)-1] {
		switch node := at.(type) {
		case map[string]any:
			at = node[key]
		case []any:
			at = node[key[0]-'0']
		}
	}
	object := at.(map[string]any)
	last := keys[len(keys)-1]
	if o.value == nil {
		delete(object, last)
		return
	}
	object[last] = o.value
}

// text returns the settings as JSON.
func (d settingsDocument) text() []byte {
	text, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return text
}

// goldenSequence is one line of the golden file. play plays the sequence and returns the digest of its replies.
type goldenSequence struct {
	name string
	play func() (replyDigest, error)
}

// goldenSequences returns all sequences in the order of the golden file.
func goldenSequences() (sequences []goldenSequence) {
	for variantIndex, variant := range goldenVariants {
		for n := range seedsPerVariant {
			seed := uint64(1000*(variantIndex+1) + n)
			sequences = append(sequences, goldenSequence{
				name: fmt.Sprintf("%s/%d", variant.name, n),
				play: func() (replyDigest, error) { return playSimulation(variant, seed) },
			})
		}
	}
	for _, invalid := range invalidSettings {
		sequences = append(sequences, goldenSequence{
			name: "settings/" + invalid.name,
			play: func() (replyDigest, error) { return playInvalidSettings(invalid.overrides) },
		})
	}
	return sequences
}

// TestGoldenRouter guards against unintended changes of routing decisions: a refactoring must leave the replies to
// every sequence as the golden file has them. With -update it writes the golden file instead.
func TestGoldenRouter(t *testing.T) {
	start := time.Now()
	got := playAll(t, goldenSequences())
	t.Logf("%d sequences in %v", len(got), time.Since(start).Round(time.Millisecond))
	if *updateGolden {
		if err := os.WriteFile(goldenFile, []byte(strings.Join(got, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(got) != len(want) {
		t.Errorf("got %d sequences, want %d as in %s", len(got), len(want), goldenFile)
	}
	differences := 0
	for i := range min(len(got), len(want)) {
		if got[i] == want[i] {
			continue
		}
		if differences++; differences <= maxReportedDifferences {
			t.Errorf("got  %s\nwant %s", got[i], want[i])
		}
	}
	if differences > 0 {
		t.Errorf("%d of %d sequences differ", differences, len(want))
	}
}

// playAll plays the sequences, up to 4 at a time, and returns their lines of the golden file in order. It fails the
// test if a sequence can't be played to its end.
func playAll(t *testing.T, sequences []goldenSequence) []string {
	t.Helper()
	lines := make([]string, len(sequences))
	failures := make([]error, len(sequences))
	indices := make(chan int)
	var workers sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := range indices {
				digest, err := sequences[i].play()
				lines[i], failures[i] = sequences[i].name+" "+digest.String(), err
			}
		})
	}
	for i := range sequences {
		indices <- i
	}
	close(indices)
	workers.Wait()
	for i, err := range failures {
		if err != nil {
			t.Errorf("%s: %v", sequences[i].name, err)
		}
	}
	if t.Failed() {
		t.FailNow()
	}
	return lines
}

// TestGoldenNamesAreUnique guards against two sequences of the same name, which a failure of TestGoldenRouter could not
// tell apart.
func TestGoldenNamesAreUnique(t *testing.T) {
	sequences := goldenSequences()
	names := make([]string, 0, len(sequences))
	for _, sequence := range sequences {
		names = append(names, sequence.name)
	}
	slices.Sort(names)
	if unique := slices.Compact(slices.Clone(names)); len(unique) != len(names) {
		t.Errorf("got %d unique names among %d, want all unique", len(unique), len(names))
	}
}
