package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// CheckShared is as strict as a reload.
func TestCheckShared(t *testing.T) {
	whole := strings.Replace(strings.Replace(validConfig, `"seed"`, `"settings_version":7,"seed"`, 1),
		`"limits":{"idleClose"`, `"limits":{"maxAttempts":2,"idleClose"`, 1)
	c, err := Parse([]byte(whole), mapEnv(nil))
	require.NoError(t, err)
	require.NoError(t, CheckShared(c.SharedSettings))
	for says, change := range map[string][2]string{
		"settings.limits.maxAttempts is 0":       {`"maxAttempts":2`, `"maxAttempts":0`},
		"settings.classes[0].deadline is no tim": {`"deadline":2000`, `"deadline":0`},
		"settings.balancers is 0":                {`"balancers":3`, `"balancers":0`},
		"settings.classes is empty":              {`"classes":[{`, `"classes":[],"other":[{`},
		"settings: not JSON":                     {`{`, ``},
		"settings.me is no shared field":         {`{`, `{"me":1,`},
		"settings.zone is no shared field":       {`{`, `{"zone":"a",`},
	} {
		require.ErrorContains(t, CheckShared([]byte(strings.Replace(string(c.SharedSettings), change[0], change[1], 1))), says)
	}
	require.Error(t, CheckShared([]byte("null")))
}

// Reload without a previous configuration is as strict as one with it. Commands that propose settings read files this way.
func TestReloadWithoutPreviousConfig(t *testing.T) {
	path := t.TempDir() + "/c.json"
	require.NoError(t, os.WriteFile(path, []byte(validConfig), 0o600))
	_, err := Reload(mapEnv(map[string]string{"GW_CONFIG": path}), Config{})
	require.ErrorContains(t, err, path+":7: settings.limits.maxAttempts is missing")
}
