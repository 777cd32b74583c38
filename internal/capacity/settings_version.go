package capacity

import (
	"context"
	"encoding/json"
	"fmt"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/settings"
)

// Of the measurements of a version of the settings.
const (
	settingsRepeats = 3
	settingsClasses = 4 // where the servers of the known list are the parameter
)

// sharedConfig is the configuration of an ingress of 650, with so many classes, and so many servers in the list known
// from before its start. The number makes one version's content differ from another's.
func sharedConfig(number, classes, servers int) (config.Config, error) {
	var list []any
	for i := range classes {
		list = append(list, map[string]any{"name": fmt.Sprintf("service-%d", i), "effect": "dedup", "onTime": 1200, "deadline": 3000,
			"value": 1 + i%3, "dedupScope": "cell", "repeatWindow": 3000})
	}
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8081",
		"seed": "1f", "settings_version": number, "known": json.RawMessage(wholeListMessage(servers)),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 384},
		"settings": map[string]any{"balancers": TargetIngresses, "me": 0, "period": 1, "zone": "zone-0", "discovery": "push",
			"classes":        list,
			"tiersOfService": []any{map[string]any{"name": "boutique", "quotaRate": 50 + number, "storeSize": 200}},
			"extra":          map[string]any{"maxUnits": 2},
			"limits":         map[string]any{"maxAttempts": 3, "cancelling": true, "dialTimeout": 250, "maxRetryAfter": 2000},
			"rules":          map[string]any{"answerSlack": 16, "drainGrace": 500, "cold": 8000, "coldFrom": 0.2, "tipMultiple": 2, "fall": 3000}}})
	if err != nil {
		return config.Config{}, err
	}
	return config.Parse(raw, func(string) string { return "" })
}

// settingsCost is what a new version of the settings costs an ingress.
type settingsCost struct {
	bytes        float64 // of the part that all ingresses share
	milliseconds float64 // of processor time, from the first check to the version alone in force
}

// measureSettings takes a second version: it is checked, acted on together with the first one, and then alone, as the
// daemon does it.
func measureSettings(_ context.Context, classes, servers int) (cost settingsCost, err error) {
	first, err := sharedConfig(1, classes, servers)
	if err != nil {
		return cost, err
	}
	second, err := sharedConfig(2, classes, servers)
	if err != nil {
		return cost, err
	}
	spent := leastProcessorTime(settingsRepeats, func() {
		if err == nil {
			err = takeVersion(first, second.SharedSettings)
		}
	})
	return settingsCost{float64(len(second.SharedSettings)), milliseconds(spent)}, err
}

// takeVersion goes through a rollout of a version as the daemon does (internal/daemon/agreement.go).
func takeVersion(own config.Config, version []byte) error {
	if _, err := own.WithSharedSettings(version); err != nil { // the check
		return err
	}
	was := own.Settings
	for _, acting := range [][][]byte{{own.SharedSettings, version}, {version}} {
		var combined admission.Settings
		for i, text := range acting {
			under, err := own.WithSharedSettings(text)
			if err != nil {
				return err
			}
			if combined = under.Settings; i > 0 {
				combined = settings.Stricter(was, combined)
			}
		}
		followed, err := settings.KeepIndexes(was, combined)
		if err != nil {
			return err
		}
		was = followed
	}
	return nil
}
