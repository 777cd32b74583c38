package config

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/settings"
)

// CheckShared checks the shared part of settings, as settings.Shared returns it, as strictly as Reload checks a file. It
// needs no ingress's own file. Errors name the field.
func CheckShared(shared []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(shared, &fields); err != nil {
		return fmt.Errorf("settings: not JSON: %w", err)
	}
	for _, name := range []string{"me", "zone"} { // fields of one ingress
		if _, ok := fields[name]; ok {
			return fmt.Errorf("settings.%s is no shared field", name)
		}
	}
	whole, err := settings.Localize(shared, []byte(`{"me":0}`))
	if err != nil {
		return err
	}
	v, err := fastjson.ParseBytes(whole)
	if err != nil {
		return fmt.Errorf("settings: not JSON: %w", err)
	}
	r := settings.NewReader(v, "settings")
	if err := checkStrict(r); err != nil {
		return err
	}
	read, err := settings.Read(r)
	if err != nil {
		return err
	}
	_, err = admission.New(read, 0)
	return err
}
