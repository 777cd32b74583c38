// Package figures holds what an ingress tells its operators of itself: plain integers, each counted once, where
// the thing happens, and written out here.
package figures

import "strconv"

// ClassCounts counts the ended requests of one class.
type ClassCounts struct {
	Name                   string
	Success, Busy, Failure uint64 // served, refused, failed; what a client abandoned is in none
}

// Metrics begin at 0 with the process.
type Metrics struct {
	Classes          []ClassCounts // by the class's place in the settings
	UpstreamRequests uint64        // upstream requests written whole
	ReconfigOK       uint64        // configurations taken while running,
	ReconfigFailed   uint64        // and turned down
}

// Gauges are figures that are read off where they stand.
type Gauges struct {
	InFlight     int // requests taken and not ended
	ListedHosts  int // upstream hosts in the list
	AvoidedHosts int // those of them that are avoided
}

// Class returns the counts of a class, nil where there is none.
func (f *Metrics) Class(i int) *ClassCounts {
	if i < 0 || i >= len(f.Classes) {
		return nil
	}
	return &f.Classes[i]
}

// AddClasses has a count for each class of these names. Places once given stay.
func (f *Metrics) AddClasses(names []string) {
	for i := len(f.Classes); i < len(names); i++ {
		f.Classes = append(f.Classes, ClassCounts{Name: names[i]})
	}
}

// AppendText writes all figures in the text form of Prometheus.
func (f *Metrics) AppendText(b []byte, now Gauges) []byte {
	for i := range f.Classes {
		c := &f.Classes[i]
		b = call(b, c.Name, "success", c.Success)
		b = call(b, c.Name, "busy", c.Busy)
		b = call(b, c.Name, "failure", c.Failure)
	}
	b = line(b, "backend_calls", f.UpstreamRequests)
	b = line(b, "inflight", uint64(max(0, now.InFlight)))
	b = line(b, "hosts_listed", uint64(max(0, now.ListedHosts)))
	b = line(b, "hosts_down", uint64(max(0, now.AvoidedHosts)))
	b = line(b, "reconfig_ok", f.ReconfigOK)
	return line(b, "reconfig_failed", f.ReconfigFailed)
}

// SettingsVersions is which settings an ingress acts on, where they have a version.
type SettingsVersions struct {
	NewestVersion, OldestVersion uint64 // of the versions acted on together
	ActiveVersions               int    // how many these are; 1: agreed
	StaleMembers                 int    // other members not known to act on the newest
	RejectedVersions             int    // versions turned down
	IsCutOff                     bool   // no other member is heard
	DrainedVersion               uint64 // newest version of the list of hosts drained by the operators, 0: there is none
	DrainedStaleMembers          int    // other members not known to act on that
}

// AppendSettingsVersions writes them in the same form.
func AppendSettingsVersions(b []byte, f SettingsVersions) []byte {
	if f.DrainedVersion > 0 {
		b = line(b, "drained_version", f.DrainedVersion)
		b = line(b, "drained_stale_members", uint64(f.DrainedStaleMembers))
	}
	if f.NewestVersion == 0 {
		return b
	}
	b = line(b, "settings_version", f.NewestVersion)
	b = line(b, "settings_oldest_version", f.OldestVersion)
	b = line(b, "settings_versions_acting", uint64(f.ActiveVersions))
	b = line(b, "settings_stale_members", uint64(f.StaleMembers))
	b = line(b, "settings_versions_rejected", uint64(f.RejectedVersions))
	return flag(b, "settings_cut_off", f.IsCutOff)
}

// Membership is what an ingress holds of the others, where they talk.
type Membership struct {
	ViewVersion                                     uint64 // of its view
	States                                          []StateCount
	AbsentMembers                                   int    // members counted out of joint budgets
	IsSettled                                       bool   // it takes its share of ceilings
	MessagesSent, MessagesReceived, MessagesDropped uint64 // messages
}

// StateCount counts the members in a state.
type StateCount struct {
	Name    string
	Members int
}

// AppendMembership writes them in the same form.
func AppendMembership(b []byte, f Membership) []byte {
	b = line(b, "view_version", f.ViewVersion)
	for _, s := range f.States {
		b = append(append(append(b, `app_members{state="`...), s.Name...), `"} `...)
		b = append(strconv.AppendInt(b, int64(s.Members), 10), '\n')
	}
	b = line(b, "members_absent", uint64(f.AbsentMembers))
	b = flag(b, "member_settled", f.IsSettled)
	b = line(b, "peer_messages_sent", f.MessagesSent)
	b = line(b, "peer_messages_received", f.MessagesReceived)
	return line(b, "peer_messages_dropped", f.MessagesDropped)
}

// ControlGroup is what an ingress holds of the control group, where there is one.
type ControlGroup struct {
	IsConnected, HoldsSettingsLease, HoldsShareLease bool   // a replica is connected; the settings lease and the share lease are held
	Term                                             uint64 // of the leader that granted last
	Connections                                      uint64 // to replicas, that came up
	BytesSent, BytesReceived                         uint64 // bytes
}

// AppendControlGroup writes them in the same form.
func AppendControlGroup(b []byte, f ControlGroup) []byte {
	b = flag(b, "control_connected", f.IsConnected)
	b = flag(b, "control_lease", f.HoldsSettingsLease)
	b = flag(b, "control_share", f.HoldsShareLease)
	b = line(b, "control_term", f.Term)
	b = line(b, "control_connections", f.Connections)
	b = line(b, "control_bytes_sent", f.BytesSent)
	return line(b, "control_bytes_received", f.BytesReceived)
}

// flag is a line of 1 or 0.
func flag(b []byte, name string, on bool) []byte {
	if on {
		return line(b, name, 1)
	}
	return line(b, name, 0)
}

func line(b []byte, name string, n uint64) []byte {
	b = append(append(append(b, "app_"...), name...), ' ')
	return append(strconv.AppendUint(b, n, 10), '\n')
}

func call(b []byte, class, code string, n uint64) []byte {
	b = append(b, `app_calls{tier="`...)
	for i := 0; i < len(class); i++ { // a label's value, escaped
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
	return append(strconv.AppendUint(b, n, 10), '\n')
}
