package membership

// Kind is the kind of a message between members.
type Kind int

// The kinds of messages. The numeric values are on the wire.
const (
	Ping        Kind = iota // probes the receiver, which answers with an Ack
	Ack                     // answers the Ping, PingReq or JoinRequest of the same Seq
	PingReq                 // asks the receiver to ping Target and to forward its Ack
	Sync                    // carries a part of the sender's view
	JoinRequest             // asks for the view; answered by Sync messages and an Ack
)

// Message is a message between two members.
type Message struct {
	Kind   Kind
	From   string // name of the sender
	Seq    uint64 // sequence number of a request, repeated in its Ack
	Target string // name of the member to ping, for a PingReq
	// Updates are on messages of every kind. An Ack begins with the sender's entry of the receiver, after the sender's own
	// update if there is one.
	Updates []Update
	// LeftDigest is a digest of the members that left in the sender's view, without the sender itself; 0: none.
	LeftDigest uint64
}

// Send is a message to be sent. The network may lose, delay or reorder it.
type Send struct {
	To  string // name of the receiver
	Msg Message
}

// Event is an input of a Node: Tick, Received, Join, Leave or ForceLeave.
type Event interface{ event() }

// Tick makes the node act on the timeouts that have passed. It is due at least every Config.AckTimeout/2.
type Tick struct{}

// Received delivers a message from another member.
type Received struct{ Msg Message }

// Join makes the node ask some of the members named in Seeds for their view; one answer is enough.
type Join struct{ Seeds []string }

// Leave announces to the other members that this node leaves permanently; the node stops probing.
type Leave struct{}

// ForceLeave marks a member that is Dead in this view as Left, on an operator's decision; it has no effect in another
// state. A member that is alive after all refutes it like a suspicion.
type ForceLeave struct{ Name string }

func (ForceLeave) event() {}
func (Tick) event()       {}
func (Received) event()   {}
func (Join) event()       {}
func (Leave) event()      {}
