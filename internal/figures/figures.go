// Package figures holds what an ingress tells its operators of itself: plain integers, each counted once, where
// the thing happens, and written out here.
package figures

import "strconv"

// Class counts the ended requests of one class.
type Class struct {
	Name                   string
	Success, Busy, Failure uint64 // served, refused, failed; what a client abandoned is in none
}

// Figures begin at 0 with the process.
type Figures struct {
	Classes        []Class // by the class's place in the settings
	Attempts       uint64  // upstream requests written whole
	ReconfigOK     uint64  // configurations taken while running,
	ReconfigFailed uint64  // and turned down
}

// Present are figures that are read off where they stand.
type Present struct {
	InFlight int // requests taken and not ended
	Listed   int // upstream hosts in the list
	Down     int // those of them that are avoided
}

// Class returns the counts of a class, nil where there is none.
func (f *Figures) Class(i int) *Class {
	if i < 0 || i >= len(f.Classes) {
		return nil
	}
	return &f.Classes[i]
}

// Name has a count for each class of these names. Places once given stay.
func (f *Figures) Name(names []string) {
	for i := len(f.Classes); i < len(names); i++ {
		f.Classes = append(f.Classes, Class{Name: names[i]})
	}
}

// Append writes all figures in the text form of Prometheus.
func (f *Figures) Append(b []byte, now Present) []byte {
	for i := range f.Classes {
		c := &f.Classes[i]
		b = call(b, c.Name, "success", c.Success)
		b = call(b, c.Name, "busy", c.Busy)
		b = call(b, c.Name, "failure", c.Failure)
	}
	b = line(b, "backend_calls", f.Attempts)
	b = line(b, "inflight", uint64(max(0, now.InFlight)))
	b = line(b, "hosts_listed", uint64(max(0, now.Listed)))
	b = line(b, "hosts_down", uint64(max(0, now.Down)))
	b = line(b, "reconfig_ok", f.ReconfigOK)
	return line(b, "reconfig_failed", f.ReconfigFailed)
}

// Rules is which settings an ingress acts on, where they have a version.
type Rules struct {
	Newest, Oldest uint64 // of the versions acted on together
	Acting         int    // how many these are; 1: agreed
	Stale          int    // other members not known to act on the newest
	Rejected       int    // versions turned down
	Alone          bool   // no other member is heard
	Drained        uint64 // newest version of the list of hosts drained by the operators, 0: there is none
	DrainedStale   int    // other members not known to act on that
}

// AppendRules writes them in the same form.
func AppendRules(b []byte, f Rules) []byte {
	if f.Drained > 0 {
		b = line(b, "drained_version", f.Drained)
		b = line(b, "drained_stale_members", uint64(f.DrainedStale))
	}
	if f.Newest == 0 {
		return b
	}
	b = line(b, "settings_version", f.Newest)
	b = line(b, "settings_oldest_version", f.Oldest)
	b = line(b, "settings_versions_acting", uint64(f.Acting))
	b = line(b, "settings_stale_members", uint64(f.Stale))
	b = line(b, "settings_versions_rejected", uint64(f.Rejected))
	return flag(b, "settings_cut_off", f.Alone)
}

// Fleet is what an ingress holds of the others, where they talk.
type Fleet struct {
	Version            uint64 // of its view
	States             []State
	Absent             int    // members counted out of joint budgets
	Settled            bool   // it takes its share of ceilings
	Sent, Got, Dropped uint64 // messages
}

// State counts the members in a state.
type State struct {
	Name string
	N    int
}

// AppendFleet writes them in the same form.
func AppendFleet(b []byte, f Fleet) []byte {
	b = line(b, "view_version", f.Version)
	for _, s := range f.States {
		b = append(append(append(b, `app_members{state="`...), s.Name...), `"} `...)
		b = append(strconv.AppendInt(b, int64(s.N), 10), '\n')
	}
	b = line(b, "members_absent", uint64(f.Absent))
	b = flag(b, "member_settled", f.Settled)
	b = line(b, "peer_messages_sent", f.Sent)
	b = line(b, "peer_messages_received", f.Got)
	return line(b, "peer_messages_dropped", f.Dropped)
}

// Control is what an ingress holds of the control group, where there is one.
type Control struct {
	Connected, Lease, Share bool   // a replica is connected; the settings lease and the share lease are held
	Term                    uint64 // of the leader that granted last
	Connections             uint64 // to replicas, that came up
	Sent, Received          uint64 // bytes
}

// AppendControl writes them in the same form.
func AppendControl(b []byte, f Control) []byte {
	b = flag(b, "control_connected", f.Connected)
	b = flag(b, "control_lease", f.Lease)
	b = flag(b, "control_share", f.Share)
	b = line(b, "control_term", f.Term)
	b = line(b, "control_connections", f.Connections)
	b = line(b, "control_bytes_sent", f.Sent)
	return line(b, "control_bytes_received", f.Received)
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
