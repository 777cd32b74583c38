package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const multiLineConfig = `{"name": "n0",
 "listen": "127.0.0.1:1", "discovery": "here",
 "limits": {"cores": 1,
   "memory_mb": 64, "sockets": 512},
 "settings": {"balancers": 1, "me": 0, "period": 4, "zone": "a", "discovery": "push",
  "limits": {}, "rules": {}, "extra": {}, "tiersOfService": [], "prices": {},
  "classes": [
   {"name": "a", "effect": "retryable",
    "deadline": "soon"}]}}`

// An error names file, line and field. A missing field has the line of the object that should hold it, and a truncated file the
// line where it ends.
func TestErrorsNameFileAndLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	load := func(text string) string {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(func(name string) string {
			if name == "GW_CONFIG" {
				return path
			}
			return ""
		})
		require.Error(t, err)
		return strings.TrimPrefix(err.Error(), path)
	}
	require.Equal(t, ":9: settings.classes[0].deadline is no number", load(multiLineConfig))
	good := strings.Replace(multiLineConfig, `"soon"`, "900", 1)
	require.Contains(t, load(good), ":2: discovery: ")
	require.Contains(t, load(strings.Replace(good, `"retryable"`, `"else"`, 1)), ":8: settings.classes[0].effect ")
	require.Contains(t, load(strings.Replace(good, ` "limits": {"cores"`, ` "limit": {"cores"`, 1)), ": limits is missing")
	for cut := 1; cut < len(multiLineConfig); cut++ {
		got := load(multiLineConfig[:cut])
		require.Regexp(t, `^:[0-9]+: not JSON`, got)
	}
	require.Contains(t, load(multiLineConfig[:len(multiLineConfig)-1]), ":9: not JSON")
	require.EqualError(t, withFileLine("f", []byte("{}"), errors.New("nothing known")), "f: nothing known")
}
