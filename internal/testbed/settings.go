package testbed

import "time"

// purgeRetention is how long after a purge servers may still hold copies from before it. Directors receive it as the
// setting familyInfo.purgeTakes.
const purgeRetention = 6 * time.Second

// directorSettings returns the settings section of a director's configuration, which describes the simulated sites and
// services. Durations are in nanoseconds.
func (t *Testbed) directorSettings(director int) map[string]any {
	const ms = 1e6
	experiment := t.experiment
	directorsByZone, hubByZone := t.zoneSettings()
	return map[string]any{
		"balancers": experiment.Directors, "me": director,
		"zone": experiment.Hubs + director%experiment.Branches, "dcs": experiment.siteNames(),
		"kinds": kindNames, "quantum": 2 * ms, "registryMode": "automatic", "weights": "rough",
		"report": map[string]any{"fields": []string{"active"}, "via": "inline"},
		"services": []any{
			map[string]any{
				"name":     "media",
				"aim":      500 * ms,
				"deadline": 2000 * ms,
				"worth":    2,
				"effect":   "read_like",
				"group":    "all",
			},
			map[string]any{
				"name": "repayment", "aim": 700 * ms, "deadline": 2000 * ms, "worth": 3, "effect": "non_idempotent",
				"group": "all",
			},
		},
		"ceilings": map[string]any{
			"cancel":         true,
			"connectTimeout": 400 * ms,
			"keepalive":      15000 * ms,
			"maxAttempts":    6,
			"maxRetryAfter":  500 * ms,
			"openCap":        20000,
			"retryAfter":     true,
			"secondCopies":   true,
			"streamsPerConn": 100,
		},
		"guarantees": map[string]any{
			"askWithin": 10000 * ms, "cold": experiment.Caches.RampMS * ms, "coldFrom": experiment.Caches.ColdFrom,
			"drainGrace": 2000 * ms, "fall": experiment.Caches.FallMS * ms, "graceToAnswer": 8 * ms,
			"tipMultiple": experiment.Caches.Multiple,
		},
		"familyInfo": map[string]any{
			"bypassAllowed": false, "classFresh": []int{0, 0}, "staleFor": []int{0, 0},
			"passOn": []bool{false, true}, "flowKbPerS": 100 / (experiment.Clients.TransferMS / 1000),
			"mergesFills": experiment.Caches.CoalescesFills,
			"masterKind":  2, "secondTierKind": 1, "parentColdFrom": experiment.Parents.ColdFrom,
			"parentFallMultiple": experiment.Parents.Multiple, "parentRamp": experiment.Parents.RampMS * ms,
			"purgeSlack": 500 * ms,
			"purgeTakes": purgeRetention.Nanoseconds(), "lateral": "location", "notesGiven": "all",
			"seatsByZone": directorsByZone, "hubByZone": hubByZone,
		},
	}
}

// zoneSettings returns two slices indexed by zone: the number of directors in the zone, and the zone number of its hub.
// The hubs are the first zones, the branches follow.
func (t *Testbed) zoneSettings() (directorsByZone, hubByZone []int) {
	experiment := t.experiment
	zones := experiment.Hubs + experiment.Branches
	directorsByZone, hubByZone = make([]int, zones), make([]int, zones)
	for zone := range zones {
		branch := zone - experiment.Hubs
		if branch < 0 {
			hubByZone[zone] = zone
			continue
		}
		directorsByZone[zone] = (experiment.Directors - branch + experiment.Branches - 1) / experiment.Branches
		hubByZone[zone] = branch % experiment.Hubs
	}
	return directorsByZone, hubByZone
}
