package membership

import (
	"math"
	"slices"
	"time"
)

// queuedUpdate is an update to be disseminated on the next messages.
type queuedUpdate struct {
	update             Update
	remainingTransmits int // number of messages that are still to carry it
}

// receive processes a message: it records that the sender was heard, handles the updates and replies. A message without a
// sender, or from the node itself, is ignored.
func (n *Node) receive(now time.Duration, msg Message) {
	from := msg.From
	if from == "" || from == n.cfg.Name {
		return
	}
	n.lastHeard[from], n.leftDigests[from] = max(now, 1), msg.LeftDigest // 0 means never heard
	for _, u := range msg.Updates {
		// A member's own leave is accepted only when this node and that member agree on which other members left.
		// Otherwise the leaving member could be the last one to know that another member returned, and that
		// knowledge would be lost.
		if u.Name == from && u.State == Left && msg.LeftDigest != n.members.leftDigest(from) {
			continue
		}
		n.handleUpdate(u, from, now)
	}
	if msg.LeftDigest != n.members.leftDigest(n.cfg.Name) && msg.Kind != Sync && now-n.lastSyncAt >= n.cfg.AckTimeout {
		n.lastSyncAt = now
		n.sendView(from)
	}
	if _, known := n.members.get(from); !known { // the sender's updates carry its incarnation
		n.apply(Update{Name: from, State: Alive}, now)
	}
	n.reply(now, msg)
}

// reply sends what the kind of the message asks for, or takes an ack. A PingReq for an unknown target is ignored, and every
// PingReq once the node has left.
func (n *Node) reply(now time.Duration, msg Message) {
	switch msg.Kind {
	case JoinRequest:
		n.sendView(msg.From)
		n.send(msg.From, Message{Kind: Ack, Seq: msg.Seq})
	case Ping:
		n.send(msg.From, Message{Kind: Ack, Seq: msg.Seq})
	case PingReq:
		if _, known := n.members.get(msg.Target); !known || n.hasLeft {
			return
		}
		seq := n.ping(msg.Target, now)
		n.relays[seq] = relay{requester: msg.From, target: msg.Target, seq: msg.Seq, expiresAt: now + relayLifetimePeriods*n.cfg.ProbePeriod}
	case Ack:
		n.handleAck(now, msg.From, msg.Seq)
	}
}

// handleUpdate processes an update that another member reports. A node refutes each suspicion, death or leave of its own
// current incarnation, and every state of a higher one, with an update of a higher incarnation that spreads like any other.
func (n *Node) handleUpdate(u Update, from string, now time.Duration) {
	switch {
	case u.Name != n.cfg.Name:
		// A reported death counts as a suspicion, since it may come from the other side of a partition that has
		// healed. The member is pinged, and declared dead here if it is not heard either.
		if u.State == Dead {
			u.State = Suspect
		}
		n.apply(u, now)
	case n.hasLeft:
	case u.Incarnation > n.incarnation || u.Incarnation == n.incarnation && u.State != Alive:
		n.incarnation = u.Incarnation + 1
		n.apply(Update{Name: n.cfg.Name, Incarnation: n.incarnation, State: Alive}, now)
	case u.Incarnation >= n.cfg.Incarnation && u.State != Left: // the sender holds the incarnation of this process
		n.confirmed[from] = true
	}
}

// apply enters an update in the view. If that changed the view, the update replaces an older one of the same member in the
// queue and is sent on the next 3*ceil(log2(members+1)) messages that have room for it.
func (n *Node) apply(u Update, now time.Duration) {
	if !n.members.apply(u, now) {
		return
	}
	for i := range n.queue {
		if n.queue[i].update.Name == u.Name {
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
			break
		}
	}
	transmits := 3 * int(math.Ceil(math.Log2(float64(len(n.members.view.Members)+1))))
	n.queue = append(n.queue, queuedUpdate{update: u, remainingTransmits: transmits})
}

// sendView sends the whole view to a member in Sync messages of up to MaxUpdates members each.
func (n *Node) sendView(to string) {
	for chunk := range slices.Chunk(n.members.view.Members, max(1, n.cfg.MaxUpdates)) {
		var updates []Update
		for _, m := range chunk {
			updates = append(updates, m.update())
		}
		msg := Message{Kind: Sync, From: n.cfg.Name, Updates: updates, LeftDigest: n.members.leftDigest(n.cfg.Name)}
		n.outbox = append(n.outbox, Send{To: to, Msg: msg})
	}
}

// update returns the entry as an update to send.
func (m Member) update() Update {
	return Update{Name: m.Name, Incarnation: m.Incarnation, State: m.State}
}

// send completes a message and adds it to the outbox. Its updates are, in this order:
//   - the node's own, on every message once it has left, and until the receiver is known to hold its incarnation;
//   - the receiver's entry, on an ack or if the receiver is not alive, so that the receiver can refute it even if the
//     original update never reached it;
//   - the newest of the queue;
//   - if there is room, a random member's entry, which corrects a view that missed an update.
func (n *Node) send(to string, msg Message) {
	msg.From, msg.LeftDigest = n.cfg.Name, n.members.leftDigest(n.cfg.Name)
	switch {
	case n.hasLeft:
		msg.Updates = append(msg.Updates, Update{Name: n.cfg.Name, Incarnation: n.incarnation, State: Left})
	case !n.confirmed[to] && msg.Kind != JoinRequest:
		msg.Updates = append(msg.Updates, Update{Name: n.cfg.Name, Incarnation: n.incarnation})
	}
	if m, ok := n.members.get(to); ok && (m.State != Alive || msg.Kind == Ack) {
		msg.Updates = append(msg.Updates, m.update())
	}
	for i := len(n.queue) - 1; i >= 0 && len(msg.Updates) < n.cfg.MaxUpdates; i-- {
		msg.Updates = append(msg.Updates, n.queue[i].update)
		if n.queue[i].remainingTransmits--; n.queue[i].remainingTransmits <= 0 {
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
		}
	}
	if members := n.members.view.Members; len(msg.Updates) < n.cfg.MaxUpdates {
		msg.Updates = append(msg.Updates, members[n.rng.IntN(len(members))].update())
	}
	n.outbox = append(n.outbox, Send{To: to, Msg: msg})
}
