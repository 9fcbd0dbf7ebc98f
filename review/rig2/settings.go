package rig2

import "time"

// Settings returns the settings of a small deployment like branch-cache, with one branch at one hub: the classes media
// and pages, which are safe to repeat, and repayment, which must never run twice.
func Settings(directors int) map[string]any {
	const ms = int64(time.Millisecond)
	return map[string]any{
		"balancers": directors, "me": 0, "zone": 1, "dcs": []string{"hub", "branch"},
		"kinds": []string{"small", "large", "parent", "origin"}, "quantum": 2 * ms, "registryMode": "automatic",
		"weights": "rough", "countedBy": "request", "domainType": "edge", "tenants": []string{}, "tier": 0,
		"tiers":  []string{"cache-fleet"},
		"report": map[string]any{"fields": []string{"active", "cpu", "x1", "x0"}, "via": "inline"},
		"services": []map[string]any{
			{"name": "media", "aim": 400 * ms, "aimStretch": 1.6, "deadline": 5000 * ms, "dedupWindow": 5000 * ms,
				"effect": "read_like", "group": "all", "lateWorth": 0.15, "streaming": false, "worth": 2.0},
			{"name": "pages", "aim": 250 * ms, "aimStretch": 2.0, "deadline": 2500 * ms, "dedupWindow": 5000 * ms,
				"effect": "read_like", "group": "all", "lateWorth": 0.2, "streaming": false, "worth": 1.0},
			{"name": "repayment", "aim": 700 * ms, "deadline": 3000 * ms, "dedupWindow": 5000 * ms,
				"effect": "non_idempotent", "group": "all", "lateWorth": 0.0, "streaming": false, "worth": 3.0},
		},
		"ceilings": map[string]any{"cancel": true, "connectTimeout": 400 * ms, "cpuUsPerS": 500000,
			"keepalive": 15000 * ms, "maxAttempts": 6, "maxRetryAfter": 500 * ms, "openCap": 20000,
			"peerMessages": false, "probes": false, "retryAfter": true, "secondCopies": true, "streamsPerConn": 100},
		"guarantees": map[string]any{"askWithin": 10000 * ms, "cold": 14000 * ms, "coldFrom": 0.26,
			"drainGrace": 2000 * ms, "fall": 3000 * ms, "graceToAnswer": 8 * ms, "tipMultiple": 2.0},
		"familyInfo": map[string]any{"bypassAllowed": false, "classFresh": []int64{0, 8000 * ms, 0},
			"classParts": []bool{false, false, false}, "staleFor": []int64{0, 20000 * ms, 0},
			"staleEarns": []float64{0.7, 0.5, 0.7}, "passOn": []bool{false, false, true}, "flowKbPerS": 6400.0,
			"mergesFills": false, "masterKind": 3, "secondTierKind": 2, "parentColdFrom": 0.068,
			"parentFallMultiple": 2.0, "parentRamp": 21000 * ms, "purgeSlack": 500 * ms, "purgeTakes": 6000 * ms,
			"lateral": "any", "notesGiven": "all", "seatsByZone": []int{0, directors}, "hubByZone": []int{0, 0},
			"feedKbPerS": []float64{0, 71059}, "transitPrice": 0.06, "reportX0": "share of hits, lately",
			"reportX1": "transfers over those that fit", "rootFallMultiple": 0.0, "originBears": 3000 * ms},
	}
}
