package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"

	"shaleyard/internal/config"
	"shaleyard/internal/failover"
	"shaleyard/routing"
)

// The tests in this file and in interface_process_test.go check the names that other programs and operators depend on:
// keys of files, environment variables, command line flags, HTTP calls, signals and exit statuses. The expected names
// don't include Go identifiers, so renaming an identifier does not change them. A difference is a change of an external
// interface.

var updateGolden = flag.Bool("update", false, "rewrite the files in testdata/golden")

// wantGolden compares got with the named file in testdata/golden. With the flag -update it first writes got to the
// file.
func wantGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}

// joinKey appends a name to the path of a key.
func joinKey(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// typeKeys returns the keys from which a value of type typ is decoded, each with the kind of its value. The keys are
// named by the struct tags of the format, such as json. A field without a tag is marked, because renaming the field
// would change its key.
func typeKeys(typ reflect.Type, format, path string) []string {
	if typ == reflect.TypeFor[json.RawMessage]() {
		return []string{path + " any"}
	}
	switch typ.Kind() {
	case reflect.Pointer:
		return typeKeys(typ.Elem(), format, path)
	case reflect.Slice, reflect.Array:
		return typeKeys(typ.Elem(), format, path+"[]")
	case reflect.Map:
		return typeKeys(typ.Elem(), format, joinKey(path, "*"))
	case reflect.Struct:
		var keys []string
		for i := range typ.NumField() {
			field := typ.Field(i)
			if !field.IsExported() {
				continue
			}
			name, _, _ := strings.Cut(field.Tag.Get(format), ",")
			if name == "" {
				name = "(no tag) " + field.Name
			}
			keys = append(keys, typeKeys(field.Type, format, joinKey(path, name))...)
		}
		return keys
	case reflect.String:
		return []string{path + " string"}
	case reflect.Bool:
		return []string{path + " bool"}
	default:
		return []string{path + " number"}
	}
}

// documentKeys returns the keys of a decoded document in the same form as typeKeys.
func documentKeys(value any, path string) []string {
	var keys []string
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			keys = append(keys, documentKeys(inner, joinKey(path, name))...)
		}
	case []any:
		for _, inner := range value {
			keys = append(keys, documentKeys(inner, path+"[]")...)
		}
	case string:
		keys = append(keys, path+" string")
	case bool:
		keys = append(keys, path+" bool")
	default:
		keys = append(keys, path+" number")
	}
	return keys
}

// keyList returns the keys as the text of a golden file: sorted, without duplicates, one per line.
func keyList(keys []string) string {
	slices.Sort(keys)
	return strings.Join(slices.Compact(keys), "\n") + "\n"
}

// decodeJSON decodes a JSON document. Numbers keep all their digits.
func decodeJSON(t *testing.T, text []byte) any {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		t.Fatal(err)
	}
	return document
}

// fullSettings is a document with every key of routing.Settings.
const fullSettings = `{"balancers":3,"me":2,"zone":1,"quantum":2000000,"registryMode":"automatic","weights":"rough",
 "dcs":["hub","here"],"kinds":["edge","parent","origin"],
 "services":[{"name":"media","aim":5000000001,"aimStretch":1.5,"deadline":5000000002,"worth":2.5,"lateWorth":0.5,
   "effect":"idempotency_key","group":"all","dedupWindow":700000000,"streaming":true}],
 "ceilings":{"cancel":true,"maxAttempts":6,"maxRetryAfter":500000001,"openCap":301,"peerMessages":true,"probes":true,
   "retryAfter":true,"secondCopies":true},
 "familyInfo":{"bypassAllowed":true,"classFresh":[1000000001],"staleFor":[1000000002],"staleEarns":[0.25],
 "passOn":[true],
   "flowKbPerS":1000.5,"feedKbPerS":[2000.5],"transitPrice":0.125,"mergesFills":true,"rootFallMultiple":2.5,
   "originBears":1000000003,"masterKind":2,"secondTierKind":1,"parentColdFrom":0.375,"parentRamp":1000000004,
   "parentFallMultiple":3.5,"purgeTakes":1000000005,"purgeSlack":1000000006,"lateral":"location","notesGiven":"all",
   "seatsByZone":[4],"hubByZone":[5]},
 "guarantees":{"askWithin":1000000007,"cold":1000000008,"coldFrom":0.625,"drainGrace":1000000009,"fall":1000000010,
   "graceToAnswer":1000000011,"tipMultiple":4.5},
 "report":{"fields":["active"],"via":"inline"}}`

// TestKeysOfSettings compares the keys of routing.Settings, by struct tag, with a golden file and with fullSettings,
// and checks that decoding and encoding fullSettings preserves it.
func TestKeysOfSettings(t *testing.T) {
	keys := keyList(typeKeys(reflect.TypeFor[routing.Settings](), "json", ""))
	wantGolden(t, "settings.keys", keys)
	document := decodeJSON(t, []byte(fullSettings))
	if diff := cmp.Diff(keys, keyList(documentKeys(document, ""))); diff != "" {
		t.Errorf("keys of the document (-by tags +document):\n%s", diff)
	}

	var settings routing.Settings
	decoder := json.NewDecoder(strings.NewReader(fullSettings))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(document, decodeJSON(t, text)); diff != "" {
		t.Errorf("read and written again (-want +got):\n%s", diff)
	}
}

// fullOperatorFile is an operators' file with every key. A key "*" stands for the name of a site or a class.
const fullOperatorFile = `
[list]
heed_ms = 2100.5
purge_ms = 510.5
start_ms = 110.5
late_ms = 7100.5
call_ms = 520.5
retry_ms = 111.5
silence_ms = 1400.5
wait_ms = 2200.5
[pause]
limit_ms = 90.5
settle_ms = 31.5
[log]
level = "warn"
counters_every_ms = 4900.5
[plan]
usual_load = 0.61
hits = 0.71
parent_hits = 0.62
origin = 41.5
order = ["media", "pages"]
move_per_s = 0.26
stay_ms = 510.5
follow = true
[plan.carries]
"*" = 40.5
[plan.shares]
"*" = 0.5
[plan.work_ms]
"*" = 200.5
[[plan.pin]]
lost = "west"
from = "edge-1"
to = "east"
share = 0.7
[[plan.forbid]]
lost = "west"
to = "middle"
`

// decodeTOML decodes a TOML document into maps.
func decodeTOML(t *testing.T, text []byte) map[string]any {
	t.Helper()
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		t.Fatal(err)
	}
	return document
}

// TestKeysOfOperatorsFile compares the keys of config.OperatorFile, by struct tag, with a golden file and with
// fullOperatorFile, and checks that parsing and encoding fullOperatorFile preserves it.
func TestKeysOfOperatorsFile(t *testing.T) {
	keys := keyList(typeKeys(reflect.TypeFor[config.OperatorFile](), "toml", ""))
	wantGolden(t, "operators-file.keys", keys)
	document := decodeTOML(t, []byte(fullOperatorFile))
	if diff := cmp.Diff(keys, keyList(documentKeys(document, ""))); diff != "" {
		t.Errorf("keys of the document (-by tags +document):\n%s", diff)
	}

	operator, err := config.ParseOperator("full.toml", []byte(fullOperatorFile))
	if err != nil {
		t.Fatal(err)
	}
	text, err := toml.Marshal(operator)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(document, decodeTOML(t, text)); diff != "" {
		t.Errorf("read and written again (-want +got):\n%s", diff)
	}
}

// TestOutputOfCheck compares the output of `shaleyard check` for the deployed operators' file, and for one with every
// key, with golden files.
func TestOutputOfCheck(t *testing.T) {
	full := filepath.Join(t.TempDir(), "full.toml")
	if err := os.WriteFile(full, []byte(fullOperatorFile), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, path := range map[string]string{"check-deploy.txt": "../../deploy/shaleyard.toml",
		"check-full.txt": full} {
		var out, errs strings.Builder
		if status := runCommand([]string{"check", path}, &out, &errs); status != 0 || errs.Len() > 0 {
			t.Errorf("check %s: got status %d, standard error %q; want 0, \"\"", path, status, errs.String())
		}
		wantGolden(t, name, out.String())
	}
}

// TestKeysOfPlan compares the JSON keys of a plan with a golden file. Other programs read the output of
// `shaleyard plan --json`.
func TestKeysOfPlan(t *testing.T) {
	wantGolden(t, "plan-json.keys", keyList(typeKeys(reflect.TypeFor[[]failover.Plan](), "json", "")))
}

// fullEdgeConfig is a configuration with every key of the EDGE_CONFIG file outside the settings, and the keys of the
// settings that concern connections.
const fullEdgeConfig = `{"name":"n1","listen":"127.0.0.1:0","feed":"127.0.0.1:1","operator":"127.0.0.1:2","seed":"1f",
 "limits":{"cores":1.5,"memory_mb":192,"sockets":200},
 "known":{"n":1,"events":[{"n":1,"members":{"index":1,"snapshot":true,"endpoints":[]}}]},
 "settings":{"dcs":["here"],"kinds":["edge"],"services":[{"name":"media"}],
   "ceilings":{"connectTimeout":1300000000,"keepalive":8000000000,"streamsPerConn":17}}}`

// edgeConfigKeys lists the keys in fullEdgeConfig that TestKeysOfEdgeConfig checks.
var edgeConfigKeys = []string{
	"name",
	"listen",
	"feed",
	"operator",
	"seed",
	"limits",
	"limits.cores",
	"limits.memory_mb",
	"limits.sockets",
	"known",
	"known.n",
	"known.events",
	"settings",
	"settings.ceilings.connectTimeout",
	"settings.ceilings.keepalive",
	"settings.ceilings.streamsPerConn",
}

// changedDocument returns fullEdgeConfig with the value of a key replaced, or without the key if value is nil.
func changedDocument(t *testing.T, key string, value any) []byte {
	t.Helper()
	document := decodeJSON(t, []byte(fullEdgeConfig))
	inner, names := document, strings.Split(key, ".")
	for _, name := range names[:len(names)-1] {
		inner = inner.(map[string]any)[name]
	}
	last := names[len(names)-1]
	if _, ok := inner.(map[string]any)[last]; !ok {
		t.Fatalf("fullEdgeConfig has no key %s", key)
	}
	if value == nil {
		delete(inner.(map[string]any), last)
	} else {
		inner.(map[string]any)[last] = value
	}
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestKeysOfEdgeConfig checks that each key of the EDGE_CONFIG file has an effect: without the key, parsing fails or
// returns a different configuration, and the error on a value of the wrong type names the key.
func TestKeysOfEdgeConfig(t *testing.T) {
	full, err := config.Parse([]byte(fullEdgeConfig), 1024)
	if err != nil {
		t.Fatal(err)
	}
	limits := &full.Limits
	got := fmt.Sprintln(full.Name, full.ListenAddress, full.DiscoveryAddress, full.OperatorAddress, full.Seed,
		full.Bootstrap.Revision, len(full.Bootstrap.Events), limits.Cores, limits.MemoryBytes, limits.Descriptors,
		limits.ConnectTimeout, limits.UpstreamIdleTimeout, limits.MaxAttemptsPerConn)
	if want := "n1 127.0.0.1:0 127.0.0.1:1 127.0.0.1:2 31 1 1 1.5 150994944 200 1.3s 6s 17\n"; got != want {
		t.Errorf("got configuration %s, want %s", got, want)
	}
	for _, key := range edgeConfigKeys {
		without, err := config.Parse(changedDocument(t, key, nil), 1024)
		if err == nil && reflect.DeepEqual(without, full) {
			t.Errorf("without %s: got the same configuration, want an error or a difference", key)
		}
		var wrong any = []any{}
		if key == "known.events" {
			wrong = map[string]any{}
		}
		_, err = config.Parse(changedDocument(t, key, wrong), 1024)
		keyInError := strings.TrimPrefix(key, "settings.")
		if err == nil || !strings.Contains(err.Error(), keyInError) {
			t.Errorf("%s of the wrong type: got error %v, want an error with %q", key, err, keyInError)
		}
	}
	known := keyList(typeKeys(reflect.TypeFor[config.Bootstrap](), "json", ""))
	if diff := cmp.Diff("events[] any\nn number\n", known); diff != "" {
		t.Errorf("known (-want +got):\n%s", diff)
	}
}

// TestKeysOfDiscoveryEvents checks the keys of the discovery service's events, which known.events in the EDGE_CONFIG
// file also holds: the error on a value of the wrong type names the key.
func TestKeysOfDiscoveryEvents(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	for key, event := range map[string]string{
		"n":                          `{"n":[]}`,
		"members":                    `{"n":1,"members":[]}`,
		"members.index":              `{"n":1,"members":{"index":[]}}`,
		"members.snapshot":           `{"n":1,"members":{"snapshot":[]}}`,
		"members.endpoints":          `{"n":1,"members":{"endpoints":{}}}`,
		"members.endpoints.name":     `{"n":1,"members":{"endpoints":[{"name":[]}]}}`,
		"members.endpoints.address":  `{"n":1,"members":{"endpoints":[{"address":[]}]}}`,
		"members.endpoints.zone":     `{"n":1,"members":{"endpoints":[{"zone":[]}]}}`,
		"members.endpoints.type":     `{"n":1,"members":{"endpoints":[{"type":[]}]}}`,
		"members.endpoints.group":    `{"n":1,"members":{"endpoints":[{"group":[]}]}}`,
		"members.endpoints.status":   `{"n":1,"members":{"endpoints":[{"status":[]}]}}`,
		"members.endpoints.weight":   `{"n":1,"members":{"endpoints":[{"weight":[]}]}}`,
		"members.endpoints.since_ms": `{"n":1,"members":{"endpoints":[{"since_ms":[]}]}}`,
		"purge":                      `{"n":1,"purge":[]}`,
		"purge.key":                  `{"n":1,"purge":{"key":[]}}`,
		"purge.group":                `{"n":1,"purge":{"group":[]}}`,
		"purge.at":                   `{"n":1,"purge":{"at":[]}}`,
	} {
		text := fmt.Sprintf(`{"settings":%s,"known":{"n":1,"events":[%s]}}`, fullSettings, event)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := readSite(file)
		var wrongType *json.UnmarshalTypeError
		if !errors.As(err, &wrongType) || wrongType.Field != key {
			t.Errorf("%s of the wrong type: got error %v, want a json.UnmarshalTypeError for that key", key, err)
		}
	}
}
