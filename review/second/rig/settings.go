package rig

// Class returns a class in the settings' form. The window in which a rack drops a repeat is 3 s.
func Class(name, effect string, aim, deadline int, worth float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "onTime": aim, "deadline": deadline, "value": worth, "lateShare": 0,
		"stream": false, "dedupScope": "cell", "repeatWindow": 3000}
}

// Config returns a configuration of an ingress as in a small deployment: classes, plans, rules and limits have the
// figures of the pages.
func Config(ingresses int, discovery, counter string, known any) map[string]any {
	plans := []any{
		map[string]any{"name": "boutique", "quotaRate": 50, "storeSize": 200, "valueFactor": 1.2, "overWorth": 0.1, "overrunCost": 0,
			"atOnce": 0, "hardRate": 0, "hardSlack": 0, "neverOverDepth": 0},
		map[string]any{"name": "distributeur", "quotaRate": 100, "storeSize": 250, "valueFactor": 1.6, "overWorth": 0, "overrunCost": 1,
			"atOnce": 0, "hardRate": 220, "hardSlack": 50, "neverOverDepth": 500},
	}
	settings := map[string]any{"balancers": ingresses, "me": 0, "period": 4, "zone": "salle-a", "zones": []any{"salle-a", "salle-b", "salle-c"},
		"discovery": "push", "family": "gate", "kinds": []any{"std-2c"}, "layer": 0, "tiers": []any{"commandes"}, "weights": "none",
		"clientHabits": map[string]any{"marksRetry": false},
		"classes": []any{Class("stock", "retryable", 1200, 3000, 3), Class("catalogue", "retryable", 600, 2000, 1),
			Class("order", "dedup", 1200, 3000, 2)},
		"tiersOfService": plans,
		"extra":          map[string]any{"hasCounter": true, "counterTimeout": 30, "counterPrice": 0.01, "maxUnits": 1, "inboxPerS": 0, "metering": 0, "settles": false},
		"goal":           map[string]any{"whole": 0.45, "worstClass": 0, "worstTenant": 0.25, "worstWindow": 0.3},
		"limits": map[string]any{"maxAttempts": 3, "cancelling": true, "cpuUsPerRequest": 0, "cpuUsPerS": 400000, "dialTimeout": 250,
			"idleClose": 15000, "maxOpen": 20000, "maxRetryAfter": 2000, "mayTell": false, "parallelTries": false, "probes": true,
			"retryAfter": true, "streamsPerConn": 1},
		"rules":  map[string]any{"answerSlack": 16, "askWithin": 10000, "drainGrace": 500, "cold": 16000, "coldFrom": 0.15, "tipMultiple": 2, "fall": 3000},
		"prices": map[string]any{"crossZone": 0.01},
		"stats":  map[string]any{"how": "none", "names": []any{}},
	}
	return map[string]any{"discovery": discovery, "counter": counter, "seed": "8c1f30d27a5be964", "known": known,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings}
}
