package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeAndReload loads reloadableConfig and reloads text in its place.
func writeAndReload(t *testing.T, text string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.json")
	e := mapEnv(map[string]string{"GW_CONFIG": path})
	require.NoError(t, os.WriteFile(path, []byte(reloadableConfig), 0o600))
	previous, err := Load(e)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Reload(e, previous)
}

// reloadableConfig is validConfig with the key that a reload requires in addition.
var reloadableConfig = strings.Replace(validConfig, `"dialTimeout":250}`, `"dialTimeout":250,"maxAttempts":3}`, 1)

func TestReloadRejectsIncompleteFiles(t *testing.T) {
	c, err := writeAndReload(t, strings.Replace(reloadableConfig, `"maxAttempts":3`, `"maxAttempts":1`, 1))
	require.NoError(t, err)
	require.Equal(t, 1, c.Settings.MaxAttempts)
	_, err = writeAndReload(t, strings.Replace(reloadableConfig, `"classes":[`, `"classes":[{"name":"new","onTime":1,"deadline":2,"value":1,"effect":"retryable"},`, 1))
	require.NoError(t, err)
	for _, c := range []struct{ says, old, new string }{
		{"not JSON", reloadableConfig, ""},
		{"not JSON", reloadableConfig, reloadableConfig[:len(reloadableConfig)/2]},
		{"not JSON", reloadableConfig, reloadableConfig[:len(reloadableConfig)-1]},
		{"settings is missing", `"settings"`, `"setting"`},
		{"discovery is missing", `"discovery":"127.0.0.2:8500",`, ``},
		{"counter is missing", `"counter":"127.0.0.3:6400",`, ``},
		{"seed is missing", `"seed":"8c1f30d27a5be964",`, ``},
		{"settings.rules is missing", `,"rules":{}`, ``},
		{"settings.limits.idleClose is missing", `"idleClose":15000,`, ``},
		{"settings.limits.maxAttempts is missing", `,"maxAttempts":3`, ``},
		{"settings.limits.maxAttempts is missing", `"maxAttempts":3`, `"maxAttempts":null`},
		{"settings.classes[].onTime is missing", `"onTime":1200,`, ``},
		{"settings.classes[].deadline is missing", `"deadline":2000,`, ``},
		{"settings.classes[0].deadline is no time above 0", `"deadline":2000`, `"deadline":0`},
		{"settings.classes[0].deadline is no time above 0", `"deadline":2000`, `"deadline":-5`},
		{"settings.classes[0].deadline is no number", `"deadline":2000`, `"deadline":"2000"`},
		{"settings.classes[0].deadline is no number", `"deadline":2000`, `"deadline":NaN`},
		{"settings.classes[0].deadline is not a time", `"deadline":2000`, `"deadline":1e300`},
		{"settings.limits.maxAttempts is 0, need more than 0", `"maxAttempts":3`, `"maxAttempts":0`},
		{"settings.limits.maxAttempts is -1, need more than 0", `"maxAttempts":3`, `"maxAttempts":-1`},
		{"settings.limits.maxAttempts is no number", `"maxAttempts":3`, `"maxAttempts":"3"`},
		{"settings.limits.maxAttempts is no number", `"maxAttempts":3`, `"maxAttempts":inf`},
		{"settings.limits.maxAttempts is no whole number", `"maxAttempts":3`, `"maxAttempts":1e300`},
		{"settings.classes[0].name is empty", `"name":"stock"`, `"name":""`},
	} {
		text := strings.Replace(reloadableConfig, c.old, c.new, 1)
		require.NotEqual(t, reloadableConfig, text, c.old)
		_, err := writeAndReload(t, text)
		require.ErrorContains(t, err, c.says)
		require.ErrorContains(t, err, "c.json", "the file is named")
	}
}
