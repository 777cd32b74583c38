package membership

// Kind of a message between members.
type Kind int

const (
	Ping        Kind = iota // asks for a sign of life; answered by Ack
	Ack                     // answers a Ping of the same Seq
	PingReq                 // asks the receiver to ping Target, and to pass its Ack on
	Sync                    // members of the view, for a joiner
	JoinRequest             // of a joiner: which members are there; answered by Sync messages and an Ack
)

// Message is what goes between members. Updates ride on every kind; an Ack's first one is what its sender
// holds of who is to get it.
type Message struct {
	Kind       Kind
	From       string
	Seq        uint64
	Target     string
	Updates    []Update
	LeftDigest uint64 // digest of the members that its sender knows to have left, itself aside; 0: none
}

// Send is the one action: a message to a member, which may be lost or late.
type Send struct {
	To  string
	Msg Message
}

// Event is what a node is notified of: Tick, Received, Join, Leave or Gone.
type Event interface{ event() }

// Tick lets time pass; the host calls it at least every Config.AckWithin/2.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Msg Message }

// Join names the members that are asked for the view; one that answers is enough.
type Join struct{ Seeds []string }

// Leave tells the others that the node leaves for good; it probes no more.
type Leave struct{}

// ForceLeave tells that a member which is dead in this view is so for good, as an operator knows. Should it be there
// after all, it refutes as any suspicion.
type ForceLeave struct{ Name string }

func (ForceLeave) event() {}
func (Tick) event()       {}
func (Received) event()   {}
func (Join) event()       {}
func (Leave) event()      {}
