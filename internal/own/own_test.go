package own

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/limits"
)

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "own.cue")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Membership is off unless the file enables it. Its durations become limits.
func TestMembershipIsOffUnlessEnabled(t *testing.T) {
	s, err := Read(writeFile(t, `log: level: "warn"`))
	require.NoError(t, err)
	require.False(t, s.Membership.Enabled)
	s, err = Read(writeFile(t, `membership: {enabled: true, period: "1s", ack: "250ms", helpers: 4}`))
	require.NoError(t, err)
	require.True(t, s.Membership.Enabled)
	var l limits.Limits
	require.NoError(t, s.ApplyLimits(&l))
	require.Equal(t, []any{time.Second, 250 * time.Millisecond, time.Second, 4},
		[]any{l.MemberProbeInterval, l.MemberAckTimeout, l.MemberSuspicionTimeout, l.MemberIndirectProbes})
}

// The defaults of the schema are the limits of a start without a settings file.
func TestMembershipDefaultsMatchLimits(t *testing.T) {
	s, err := Read(writeFile(t, ``))
	require.NoError(t, err)
	want, err := limits.For(limits.Site{Sockets: 1024})
	require.NoError(t, err)
	got := want
	require.NoError(t, s.ApplyLimits(&got))
	require.Equal(t, want, got)
}

func TestErrorsNameFileLineAndField(t *testing.T) {
	for text, says := range map[string]string{
		"membership: enabled: 1":                                                                 ":1: membership.enabled",
		"log: {}\nmembership: {helpers: 9}":                                                      ":2: membership.helpers",
		`membership: period: "soon"`:                                                             ":1: membership.period",
		`membership: {on: true}`:                                                                 ":1: membership.on",
		`control_group: on: true`:                                                                ":1: control_group.on",
		"control_group: {\n\treplicas: [\"10.0.0.1:7400\", \"nowhere\"]\n}":                      ":2: control_group.replicas.1: ",
		"control_group: replicas: [\n\"10.0.0.1:7400\",\n\"10.0.0.1:99999\",\n]":                 ":3: control_group.replicas[1]: ",
		"control_group: replicas: [\n\"10.0.0.1:7400\",\n\"10.0.0.2:7400\",\n\"10.0.0.1:7400\"]": `:4: control_group.replicas[2]: "10.0.0.1:7400" is not a valid replica address: duplicate address`,
		"control_group: replicas: [\"10.0.0.1:0\"]":                                              ":1: control_group.replicas[0]: ",
		`control_group: ready_wait: "0s"`:                                                        "control_group.ready_wait",
		`membership: {period: "50ms"}`:                                                           `membership.ack: "100ms" is longer than membership.period`,
	} {
		path := writeFile(t, text)
		_, err := Read(path)
		require.ErrorContains(t, err, path)
		require.ErrorContains(t, err, says)
	}
}

// The control group is off unless the file names replicas.
func TestControlGroupIsOffUnlessNamed(t *testing.T) {
	s, err := Read(writeFile(t, ``))
	require.NoError(t, err)
	require.Empty(t, s.ControlGroup.Replicas)
	s, err = Read(writeFile(t, `control_group: {replicas: ["127.0.0.1:7400", "[::1]:7401"], ready_wait: "3s"}`))
	require.NoError(t, err)
	require.Equal(t, []string{"127.0.0.1:7400", "[::1]:7401"}, s.ControlGroup.Replicas)
	var l limits.Limits
	require.NoError(t, s.ApplyLimits(&l))
	require.Equal(t, 3*time.Second, l.ControlReadyTimeout)
}
