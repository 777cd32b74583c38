package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A process continues with the address of discovery that the process before it has in use, unless the file or the
// environment has a newer one.
func TestDiscoveryOfContinuedConfig(t *testing.T) {
	const fileAddress, environmentAddress, reloadedAddress = "127.0.0.2:8500", "127.0.0.5:8500", "127.0.0.6:8500"
	text := strings.Replace(reloadableConfig, `"seed"`, `"settings_version":7,"seed"`, 1)
	for name, c := range map[string]struct {
		inUse, file, environment, want string
	}{
		"nothing new":                       {environmentAddress, fileAddress, environmentAddress, environmentAddress},
		"given by a reload":                 {fileAddress, fileAddress, environmentAddress, fileAddress},
		"no environment in the new process": {environmentAddress, fileAddress, "", environmentAddress},
		"file changed since":                {environmentAddress, reloadedAddress, environmentAddress, reloadedAddress},
		"environment changed since":         {fileAddress, fileAddress, reloadedAddress, reloadedAddress},
	} {
		t.Run(name, func(t *testing.T) {
			before, err := Parse([]byte(text), mapEnv(map[string]string{"GW_DISCOVERY": c.inUse}))
			require.NoError(t, err)
			inForce := before.InForce(mapEnv(map[string]string{"GW_DISCOVERY": environmentAddress}))
			path := filepath.Join(t.TempDir(), "c.json")
			require.NoError(t, os.WriteFile(path, []byte(strings.Replace(text, fileAddress, c.file, 1)), 0o600))
			environment := mapEnv(map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": c.environment})
			previous, err := inForce.Config(environment)
			require.NoError(t, err)
			require.Equal(t, c.inUse, previous.Discovery)
			read, err := Reload(environment, previous)
			require.NoError(t, err)
			continued := inForce.KeepDiscovery(read, environment)
			require.Equal(t, c.want, continued.Discovery)
			again, err := continued.WithSharedSettings(before.SharedSettings)
			require.NoError(t, err)
			require.Equal(t, c.want, again.Discovery)
		})
	}
}

// A process that continues another one's configuration turns down at a reload what that one would have turned down.
func TestContinuedConfigKeepsRequiredKeys(t *testing.T) {
	before, err := Parse([]byte(reloadableConfig), mapEnv(nil))
	require.NoError(t, err)
	inForce := before.InForce(mapEnv(nil))
	require.True(t, inForce.IsTextOf(before))
	path := filepath.Join(t.TempDir(), "c.json")
	environment := mapEnv(map[string]string{"GW_CONFIG": path})
	continued, err := inForce.Config(environment)
	require.NoError(t, err)
	for _, missing := range []string{`"onTime":1200,`, `"seed":"8c1f30d27a5be964",`,
		reloadableConfig[strings.Index(reloadableConfig, `"known"`):strings.Index(reloadableConfig, `"settings"`)]} {
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(reloadableConfig, missing, "", 1)), 0o600))
		_, err = Reload(environment, continued)
		require.ErrorContains(t, err, "is missing", missing)
	}
}
