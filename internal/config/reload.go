package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/internal/settings"
)

// Reload reads the file again and checks it more strictly than Load, because a running process already has good settings,
// which incomplete ones must not replace. It rejects the whole file if a key is missing that the previous file had, or if a class
// has no name or no deadline above 0, or if there are no classes or no maximum number of attempts above 0. The address
// of discovery in the file overrides GW_DISCOVERY: the environment of a running process can't be changed.
func Reload(getenv func(string) string, previous Config) (Config, error) {
	return loadFile(getenv, func(raw []byte, getenv func(string) string) (Config, error) {
		v, err := fastjson.ParseBytes(raw)
		if err != nil {
			return Config{}, fmt.Errorf("not JSON: %w", err)
		}
		if err := checkRequiredKeys(v, previous.requiredKeys); err != nil {
			return Config{}, err
		}
		if err := checkStrict(settings.NewReader(v.Get("settings"), "settings")); err != nil {
			return Config{}, err
		}
		discovery := string(v.GetStringBytes("discovery"))
		return Parse(raw, func(name string) string {
			if name == "GW_DISCOVERY" && discovery != "" {
				return discovery
			}
			return getenv(name)
		})
	})
}

// checkRequiredKeys returns an error if one of the required keys, or settings.limits.maxAttempts, is missing.
func checkRequiredKeys(v *fastjson.Value, required []string) error {
	present := keyPaths(v)
	for _, key := range append(slices.Clone(required), "settings.limits.maxAttempts") {
		if !slices.Contains(present, key) {
			return fmt.Errorf("%s is missing", key)
		}
	}
	return nil
}

// checkStrict returns an error for settings that are present but empty or zero: the maximum number of attempts, the
// classes, and the name and deadline of a class.
func checkStrict(r settings.Reader) error {
	limits, classes := r.Object("limits"), r.List("classes")
	if n := limits.Int("maxAttempts"); r.Err() == nil && n <= 0 {
		return fmt.Errorf("settings.limits.maxAttempts is %d, need more than 0", n)
	}
	if r.Err() == nil && len(classes) == 0 {
		return fmt.Errorf("settings.classes is empty")
	}
	for i, c := range classes {
		name, deadline := c.Text("name"), c.Millis("deadline")
		switch {
		case r.Err() != nil:
			return r.Err()
		case name == "":
			return fmt.Errorf("settings.classes[%d].name is empty", i)
		case deadline <= 0:
			return fmt.Errorf("settings.classes[%d].deadline is no time above 0", i)
		}
	}
	return r.Err()
}

// keyPaths returns the path of each key that has a value other than null, such as "settings.classes[].deadline". A key in
// a list's objects counts only if each object of the list has it. The contents of the list of known hosts are left out:
// discovery decides which fields a host has.
func keyPaths(v *fastjson.Value) []string { return appendKeyPaths(nil, "", v) }

// appendKeyPaths appends the paths of the keys within v, which itself has the given path.
func appendKeyPaths(names []string, path string, v *fastjson.Value) []string {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, child *fastjson.Value) {
			name := strings.TrimPrefix(path+"."+string(key), ".")
			if child.Type() == fastjson.TypeNull {
				return
			}
			names = append(names, name)
			if name != "known" {
				names = appendKeyPaths(names, name, child)
			}
		})
	case fastjson.TypeArray:
		var common []string
		for i, child := range v.GetArray() {
			if child.Type() != fastjson.TypeObject {
				return names
			}
			paths := appendKeyPaths(nil, path+"[]", child)
			if i == 0 {
				common = paths
			}
			common = slices.DeleteFunc(common, func(name string) bool { return !slices.Contains(paths, name) })
		}
		names = append(names, common...)
	}
	return names
}
