package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
)

const validConfig = `{"name":"n1","listen":"127.0.0.1:8443","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.3:6400",
"known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.4:8443","zone":"a","cell":3,
"state":"Ready","weight":1.0,"started_ms":1764585283123.5}]},
"settings":{"balancers":3,"me":1,"period":4,"discovery":"push","classes":[{"name":"stock","onTime":1200,
"deadline":2000,"value":1,"effect":"retryable"}],"extra":{"hasCounter":true,"counterTimeout":30},
"limits":{"idleClose":15000,"dialTimeout":250},"rules":{}}}`

func mapEnv(m map[string]string) func(string) string { return func(k string) string { return m[k] } }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), mapEnv(map[string]string{"GW_NAME": "n9", "GW_LISTEN": "127.0.0.9:1"}))
	require.NoError(t, err)
	require.Equal(t, "n9", c.Name)
	require.Equal(t, "127.0.0.9:1", c.Listen)
	require.Equal(t, uint64(0x8c1f30d27a5be964), c.Seed)
	require.Equal(t, 12*time.Second, c.Limits.UpstreamIdleTimeout, "well before the host closes the connection")
	require.Equal(t, 2600*time.Millisecond, c.Limits.DrainTimeout)
	e := c.KnownHosts.Entries[0]
	require.Equal(t, "127.0.0.4:8443", e.Addr)
	require.Equal(t, admission.Up, e.State)
	require.Equal(t, 1764585283123500*time.Microsecond, e.Boot)
}

// The connections to clients, upstream hosts and the counter leave 40 descriptors of the limit for everything else.
func TestConnectionsFitTheDescriptors(t *testing.T) {
	c, err := Parse([]byte(validConfig), mapEnv(nil))
	require.NoError(t, err)
	l := c.Limits
	require.LessOrEqual(t, l.MaxDownstreamConns+l.MaxUpstreamConns+l.CounterConns, l.Sockets-40)
	require.LessOrEqual(t, l.CounterConns, 32)
	require.Greater(t, l.MaxDownstreamConns, 250)
}

func TestErrorsNameTheField(t *testing.T) {
	for says, change := range map[string][2]string{
		"not JSON":                      {`{"name"`, `{name`},
		"listen: ":                      {`127.0.0.1:8443`, `here`},
		"discovery: ":                   {`127.0.0.2:8500`, ``},
		"counter: ":                     {`127.0.0.3:6400`, `localhost:6400`},
		"seed ":                         {`8c1f30d27a5be964`, `xyz`},
		"limits is missing":             {`"limits":{"cores"`, `"limit":{"cores"`},
		"limits.sockets is 10":          {`1024`, `10`},
		"settings.me is missing":        {`"me":1,`, ``},
		"settings.me is 7, need 0 to 2": {`"me":1`, `"me":7`},
		"settings_version is 0.5":       {`"seed"`, `"settings_version":0.5,"seed"`},
		"settings_version is -1":        {`"seed"`, `"settings_version":-1,"seed"`},
		"settings_version is 4.294967296e+09, need a whole number from 1 to 4294967295": {`"seed"`,
			`"settings_version":4294967296,"seed"`},
		"settings_version is no number":       {`"seed"`, `"settings_version":"7","seed"`},
		"drained.hosts is missing":            {`"seed"`, `"drained":{"version":1},"seed"`},
		"drained.version is 0, need":          {`"seed"`, `"drained":{"version":0,"hosts":[]},"seed"`},
		"drained.host is no field":            {`"seed"`, `"drained":{"version":1,"hosts":[],"host":[]},"seed"`},
		"drained is no object":                {`"seed"`, `"drained":["s-1"],"seed"`},
		"drained.hosts holds what is no text": {`"seed"`, `"drained":{"version":1,"hosts":[1]},"seed"`},
		"peer_listen: ":                       {`"seed"`, `"peer_listen":"here","seed"`},
		"peers[1]: ":                          {`"seed"`, `"peers":["127.0.0.5:7946","there"],"seed"`},
		"peers holds what is no text":         {`"seed"`, `"peers":[7946],"seed"`},
		"peers is no list":                    {`"seed"`, `"peers":"127.0.0.5:7946","seed"`},
		"known.servers[0].id is missi":        {`"id":"s-1",`, ``},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, change[0], change[1], 1)), mapEnv(nil))
		require.ErrorContains(t, err, says)
	}
	_, err := Load(mapEnv(nil))
	require.ErrorContains(t, err, "GW_CONFIG is not set")
	path := filepath.Join(t.TempDir(), "c.json")
	require.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	_, err = Load(mapEnv(map[string]string{"GW_CONFIG": path}))
	require.ErrorContains(t, err, path+": limits is missing")
}

// WithSharedSettings replaces all settings but those of the ingress itself, and rejects invalid ones.
func TestWithSharedSettings(t *testing.T) {
	c, err := Parse([]byte(strings.Replace(validConfig, `"seed"`, `"settings_version":7,"seed"`, 1)), mapEnv(map[string]string{"GW_NAME": "n9"}))
	require.NoError(t, err)
	require.Equal(t, uint64(7), c.SettingsVersion)
	require.NotContains(t, string(c.SharedSettings), `"me"`)
	shared := strings.Replace(string(c.SharedSettings), `"deadline":2000`, `"deadline":1500`, 1)
	_, err = c.WithSharedSettings([]byte(shared))
	require.ErrorContains(t, err, "maxAttempts", "as strict as a reload")
	shared = strings.Replace(shared, `"limits":{`, `"limits":{"maxAttempts":2,`, 1)
	to, err := c.WithSharedSettings([]byte(shared))
	require.NoError(t, err)
	require.Equal(t, "n9", to.Name)
	require.Equal(t, 1, to.Settings.Index)
	require.Equal(t, 1500*time.Millisecond, to.Settings.Classes[0].Deadline)
	require.Equal(t, 2100*time.Millisecond, to.Limits.DrainTimeout)
	require.Equal(t, c.KnownHosts, to.KnownHosts)
	require.ElementsMatch(t, append(slices.Clone(c.requiredKeys), "settings.limits.maxAttempts"), to.requiredKeys, "a reload needs the same keys")
	for _, bad := range []string{"", "{", `{"balancers":1}`, strings.Replace(shared, `"balancers":3`, `"balancers":1`, 1)} {
		_, err := c.WithSharedSettings([]byte(bad))
		require.Error(t, err, bad)
	}
}

// The list of known hosts may be far longer than the settings, so WithSharedSettings must not parse it again.
func TestWithSharedSettingsCostIgnoresKnownHosts(t *testing.T) {
	allocations := func(hosts int) float64 {
		host := validConfig[strings.Index(validConfig, `{"id"`):strings.Index(validConfig, "]},")]
		list := host + strings.Repeat(","+host, hosts-1)
		file := strings.Replace(strings.Replace(validConfig, host, list, 1), `"seed"`, `"settings_version":7,"seed"`, 1)
		c, err := Parse([]byte(file), mapEnv(nil))
		require.NoError(t, err)
		shared := strings.Replace(string(c.SharedSettings), `"limits":{`, `"limits":{"maxAttempts":2,`, 1)
		return testing.AllocsPerRun(10, func() {
			_, err := c.WithSharedSettings([]byte(shared))
			require.NoError(t, err)
		})
	}
	require.InDelta(t, allocations(1), allocations(2000), 20)
}
