package figures

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAppend(t *testing.T) {
	f := &Figures{Attempts: 9, ReconfigOK: 1, ReconfigFailed: 2}
	f.Name([]string{"stock"})
	f.Class(0).Success, f.Class(0).Busy = 812, 3
	f.Name([]string{"stock", "a\"b\\c\nd"}) // a class that came later; the first keeps its counts
	require.Nil(t, f.Class(2))
	require.Nil(t, f.Class(-1))
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
`, string(f.Append(nil, Present{InFlight: 14, Listed: 12, Down: 2})))
}

func TestAppendFleet(t *testing.T) {
	require.Equal(t, `app_view_version 7
app_members{state="alive"} 4
app_members{state="dead"} 1
app_members_absent 2
app_member_settled 1
app_peer_messages_sent 30
app_peer_messages_received 20
app_peer_messages_dropped 10
`, string(AppendFleet(nil, Fleet{Version: 7, States: []State{{"alive", 4}, {"dead", 1}}, Absent: 2, Settled: true, Sent: 30,
		Got: 20, Dropped: 10})))
}

func TestAppendRules(t *testing.T) {
	require.Empty(t, AppendRules(nil, Rules{}))
	require.Equal(t, `app_drained_version 5
app_drained_stale_members 2
app_settings_version 9
app_settings_oldest_version 7
app_settings_versions_acting 2
app_settings_stale_members 3
app_settings_versions_rejected 4
app_settings_cut_off 1
`, string(AppendRules(nil, Rules{Newest: 9, Oldest: 7, Acting: 2, Stale: 3, Rejected: 4, Alone: true,
		Drained: 5, DrainedStale: 2})))
}

func TestAppendControl(t *testing.T) {
	require.Equal(t, `app_control_connected 1
app_control_lease 1
app_control_share 0
app_control_term 6
app_control_connections 3
app_control_bytes_sent 400
app_control_bytes_received 500
`, string(AppendControl(nil, Control{Connected: true, Lease: true, Term: 6, Connections: 3, Sent: 400, Received: 500})))
}
