// Package figures holds the metrics that an ingress reports to operators and writes them in the Prometheus text format.
// The values are plain integers without locks: they are owned by the goroutine of the event loop, and each is counted
// once, where the event happens. The package does no input or output.
package figures

import "strconv"

// ClassCounts counts the ended requests of one class. A request that its client abandoned is in none of the counts.
type ClassCounts struct {
	Name                   string
	Success, Busy, Failure uint64 // requests that were served, refused and failed
}

// Metrics holds the counts of the process since its start.
type Metrics struct {
	Classes          []ClassCounts // by the class's index in the settings
	UpstreamRequests uint64        // upstream requests that were fully written
	ReconfigOK       uint64        // configurations applied while running
	ReconfigFailed   uint64        // configurations rejected while running
}

// Gauges holds values that are read when the metrics are written.
type Gauges struct {
	InFlight     int // requests that are complete and not yet ended
	ListedHosts  int // upstream hosts in discovery's list
	AvoidedHosts int // listed hosts that requests avoid
}

// Class returns the counts of the class with index i, or nil if there is no such class.
func (m *Metrics) Class(i int) *ClassCounts {
	if i < 0 || i >= len(m.Classes) {
		return nil
	}
	return &m.Classes[i]
}

// AddClasses appends counts for those names whose index has none yet. Existing counts keep their index and name.
func (m *Metrics) AddClasses(names []string) {
	for i := len(m.Classes); i < len(names); i++ {
		m.Classes = append(m.Classes, ClassCounts{Name: names[i]})
	}
}

// AppendText appends the metrics and the given gauges to b in the Prometheus text format.
func (m *Metrics) AppendText(b []byte, gauges Gauges) []byte {
	for i := range m.Classes {
		c := &m.Classes[i]
		b = appendCallCount(b, c.Name, "success", c.Success)
		b = appendCallCount(b, c.Name, "busy", c.Busy)
		b = appendCallCount(b, c.Name, "failure", c.Failure)
	}
	b = appendSample(b, "backend_calls", m.UpstreamRequests)
	b = appendSample(b, "inflight", uint64(max(0, gauges.InFlight)))
	b = appendSample(b, "hosts_listed", uint64(max(0, gauges.ListedHosts)))
	b = appendSample(b, "hosts_down", uint64(max(0, gauges.AvoidedHosts)))
	b = appendSample(b, "reconfig_ok", m.ReconfigOK)
	return appendSample(b, "reconfig_failed", m.ReconfigFailed)
}

// SettingsVersions describes which versions of the settings the fleet's members act on.
type SettingsVersions struct {
	NewestVersion, OldestVersion uint64 // among the versions in use; 0: the settings have no version
	ActiveVersions               int    // number of versions in use; 1 when all members agree
	StaleMembers                 int    // other members not known to act on the newest version
	RejectedVersions             int    // versions that were rejected
	IsCutOff                     bool   // no other member is heard from
	DrainedVersion               uint64 // newest version of the operators' list of drained hosts; 0: there is none
	DrainedStaleMembers          int    // other members not known to act on DrainedVersion
}

// AppendSettingsVersions appends v to b in the Prometheus text format. It leaves out documents that have no version.
func AppendSettingsVersions(b []byte, v SettingsVersions) []byte {
	if v.DrainedVersion > 0 {
		b = appendSample(b, "drained_version", v.DrainedVersion)
		b = appendSample(b, "drained_stale_members", uint64(v.DrainedStaleMembers))
	}
	if v.NewestVersion == 0 {
		return b
	}
	b = appendSample(b, "settings_version", v.NewestVersion)
	b = appendSample(b, "settings_oldest_version", v.OldestVersion)
	b = appendSample(b, "settings_versions_acting", uint64(v.ActiveVersions))
	b = appendSample(b, "settings_stale_members", uint64(v.StaleMembers))
	b = appendSample(b, "settings_versions_rejected", uint64(v.RejectedVersions))
	return appendFlag(b, "settings_cut_off", v.IsCutOff)
}

// Membership describes an ingress's view of the fleet, where the ingresses exchange messages.
type Membership struct {
	ViewVersion                                     uint64
	States                                          []StateCount
	AbsentMembers                                   int  // members that are given no share of joint budgets
	IsSettled                                       bool // the ingress takes its share of joint budgets and ceilings
	MessagesSent, MessagesReceived, MessagesDropped uint64
}

// StateCount is the number of members in a state.
type StateCount struct {
	Name    string
	Members int
}

// AppendMembership appends m to b in the Prometheus text format.
func AppendMembership(b []byte, m Membership) []byte {
	b = appendSample(b, "view_version", m.ViewVersion)
	for _, state := range m.States {
		b = append(append(append(b, `app_members{state="`...), state.Name...), `"} `...)
		b = append(strconv.AppendInt(b, int64(state.Members), 10), '\n')
	}
	b = appendSample(b, "members_absent", uint64(m.AbsentMembers))
	b = appendFlag(b, "member_settled", m.IsSettled)
	b = appendSample(b, "peer_messages_sent", m.MessagesSent)
	b = appendSample(b, "peer_messages_received", m.MessagesReceived)
	return appendSample(b, "peer_messages_dropped", m.MessagesDropped)
}

// Connections describes the client connections and the memory that all connections hold together.
type Connections struct {
	Open, MemoryHeld, MemoryLimit       int // connections; bytes
	Accepted, Evicted, RefusedForMemory uint64
}

// AppendConnections appends c to b in the Prometheus text format.
func AppendConnections(b []byte, c Connections) []byte {
	b = appendSample(b, "client_connections", uint64(c.Open))
	b = appendSample(b, "client_connections_accepted", c.Accepted)
	b = appendSample(b, "client_connections_evicted", c.Evicted)
	b = appendSample(b, "memory_held", uint64(max(0, c.MemoryHeld)))
	b = appendSample(b, "memory_budget", uint64(c.MemoryLimit))
	return appendSample(b, "memory_refusals", c.RefusedForMemory)
}

// ControlGroup describes an ingress's connection to the control group and the leases it holds there.
type ControlGroup struct {
	IsConnected, HoldsSettingsLease, HoldsShareLease bool
	Term                                             uint64 // of the leader that granted a lease last
	Connections                                      uint64 // connections to replicas established so far
	BytesSent, BytesReceived                         uint64
}

// AppendControlGroup appends g to b in the Prometheus text format.
func AppendControlGroup(b []byte, g ControlGroup) []byte {
	b = appendFlag(b, "control_connected", g.IsConnected)
	b = appendFlag(b, "control_lease", g.HoldsSettingsLease)
	b = appendFlag(b, "control_share", g.HoldsShareLease)
	b = appendSample(b, "control_term", g.Term)
	b = appendSample(b, "control_connections", g.Connections)
	b = appendSample(b, "control_bytes_sent", g.BytesSent)
	return appendSample(b, "control_bytes_received", g.BytesReceived)
}

// appendFlag appends a sample with the value 1 or 0.
func appendFlag(b []byte, name string, value bool) []byte {
	if value {
		return appendSample(b, name, 1)
	}
	return appendSample(b, name, 0)
}

// appendSample appends a sample without labels; app_ precedes its name.
func appendSample(b []byte, name string, value uint64) []byte {
	b = append(append(append(b, "app_"...), name...), ' ')
	return append(strconv.AppendUint(b, value, 10), '\n')
}

// appendCallCount appends the number of a class's requests that ended with a result code.
func appendCallCount(b []byte, class, code string, count uint64) []byte {
	b = append(b, `app_calls{tier="`...)
	for i := 0; i < len(class); i++ { // label values are escaped
		switch c := class[i]; c {
		case '\\', '"':
			b = append(b, '\\', c)
		case '\n':
			b = append(b, `\n`...)
		default:
			b = append(b, c)
		}
	}
	b = append(append(append(b, `",code="`...), code...), `"} `...)
	return append(strconv.AppendUint(b, count, 10), '\n')
}
