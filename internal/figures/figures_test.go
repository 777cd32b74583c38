package figures

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAppendText(t *testing.T) {
	m := &Metrics{UpstreamRequests: 9, ReconfigOK: 1, ReconfigFailed: 2}
	m.AddClasses([]string{"stock"})
	m.Class(0).Success, m.Class(0).Busy = 812, 3
	m.AddClasses([]string{"stock", "a\"b\\c\nd"}) // a class added later; the first keeps its counts
	require.Nil(t, m.Class(2))
	require.Nil(t, m.Class(-1))
	require.Equal(t, `app_calls{tier="stock",code="success"} 812
app_calls{tier="stock",code="busy"} 3
app_calls{tier="stock",code="failure"} 0
app_calls{tier="a\"b\\c\nd",code="success"} 0
app_calls{tier="a\"b\\c\nd",code="busy"} 0
app_calls{tier="a\"b\\c\nd",code="failure"} 0
app_backend_calls 9
app_inflight 14
app_hosts_listed 12
app_hosts_down 2
app_reconfig_ok 1
app_reconfig_failed 2
`, string(m.AppendText(nil, Gauges{InFlight: 14, ListedHosts: 12, AvoidedHosts: 2})))
}

func TestAppendMembership(t *testing.T) {
	require.Equal(t, `app_view_version 7
app_members{state="alive"} 4
app_members{state="dead"} 1
app_members_absent 2
app_member_settled 1
app_peer_messages_sent 30
app_peer_messages_received 20
app_peer_messages_dropped 10
`, string(AppendMembership(nil, Membership{ViewVersion: 7, States: []StateCount{{"alive", 4}, {"dead", 1}}, AbsentMembers: 2,
		IsSettled: true, MessagesSent: 30, MessagesReceived: 20, MessagesDropped: 10})))
}

func TestAppendSettingsVersions(t *testing.T) {
	require.Empty(t, AppendSettingsVersions(nil, SettingsVersions{}))
	require.Equal(t, `app_drained_version 5
app_drained_stale_members 2
app_settings_version 9
app_settings_oldest_version 7
app_settings_versions_acting 2
app_settings_stale_members 3
app_settings_versions_rejected 4
app_settings_cut_off 1
`, string(AppendSettingsVersions(nil, SettingsVersions{NewestVersion: 9, OldestVersion: 7, ActiveVersions: 2, StaleMembers: 3,
		RejectedVersions: 4, IsCutOff: true, DrainedVersion: 5, DrainedStaleMembers: 2})))
}

func TestAppendControlGroup(t *testing.T) {
	require.Equal(t, `app_control_connected 1
app_control_lease 1
app_control_share 0
app_control_term 6
app_control_connections 3
app_control_bytes_sent 400
app_control_bytes_received 500
`, string(AppendControlGroup(nil, ControlGroup{IsConnected: true, HoldsSettingsLease: true, Term: 6, Connections: 3,
		BytesSent: 400, BytesReceived: 500})))
}
