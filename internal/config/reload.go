package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/internal/settings"
)

// Reload reads the file again. A process can't be given another environment, so the address of discovery that the
// file says now goes before the environment's. A start makes do with what is there; a running process has better
// settings than ones of which a part is missing. So a file that lacks a key which the last one had, or sets a
// deadline or a number of attempts that is none, is turned down whole.
func Reload(getenv func(string) string, was Config) (Config, error) {
	return load(getenv, func(raw []byte, getenv func(string) string) (Config, error) {
		v, err := fastjson.ParseBytes(raw)
		if err != nil {
			return Config{}, fmt.Errorf("not JSON: %w", err)
		}
		if err := lacks(v, was.keys); err != nil {
			return Config{}, err
		}
		if err := strict(settings.NewReader(v.Get("settings"), "settings")); err != nil {
			return Config{}, err
		}
		told := string(v.GetStringBytes("discovery"))
		return Parse(raw, func(name string) string {
			if name == "GW_DISCOVERY" && told != "" {
				return told
			}
			return getenv(name)
		})
	})
}

// lacks tells which key a file has not.
func lacks(v *fastjson.Value, must []string) error {
	have := keys(v)
	for _, key := range append(slices.Clone(must), "settings.limits.maxAttempts") {
		if !slices.Contains(have, key) {
			return fmt.Errorf("%s is missing", key)
		}
	}
	return nil
}

// strict tells what a file sets to nothing.
func strict(r settings.Reader) error {
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

// keys names every key of a configuration that has a value: nested ones with their path, those of lists' objects
// where each of them has it. The list of hosts is discovery's, and what a host has is for it to say.
func keys(v *fastjson.Value) []string { return walk(nil, "", v) }

func walk(names []string, path string, v *fastjson.Value) []string {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, child *fastjson.Value) {
			name := strings.TrimPrefix(path+"."+string(key), ".")
			if child.Type() == fastjson.TypeNull {
				return
			}
			names = append(names, name)
			if name != "known" {
				names = walk(names, name, child)
			}
		})
	case fastjson.TypeArray:
		var common []string
		for i, child := range v.GetArray() {
			if child.Type() != fastjson.TypeObject {
				return names
			}
			its := walk(nil, path+"[]", child)
			if i == 0 {
				common = its
			}
			common = slices.DeleteFunc(common, func(name string) bool { return !slices.Contains(its, name) })
		}
		names = append(names, common...)
	}
	return names
}
