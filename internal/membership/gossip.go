package membership

import (
	"math"
	"slices"
	"time"
)

// A queuedUpdate is carried on the next messages, the freshest first.
type queuedUpdate struct {
	update        Update
	transmitsLeft int // messages it is still carried on
}

// receive takes a message: what it shows of its sender, the updates on it, and what it asks for.
func (n *Node) receive(now time.Duration, msg Message) {
	from := msg.From
	if from == "" || from == n.cfg.Name {
		return
	}
	n.lastHeard[from], n.leftDigests[from] = max(now, 1), msg.LeftDigest
	for _, u := range msg.Updates {
		// One that leaves takes along what it knows. Its word counts once this node knows that, too: else it could
		// be the last that knew of another's return.
		if u.Name == from && u.State == Left && msg.LeftDigest != n.members.leftDigest(from) {
			continue
		}
		n.handleUpdate(u, from, now)
	}
	if msg.LeftDigest != n.members.leftDigest(n.cfg.Name) && msg.Kind != Sync && now-n.lastSyncAt >= n.cfg.AckTimeout {
		n.lastSyncAt = now
		n.sendView(from)
	}
	if _, known := n.members.get(from); !known { // its incarnation comes with its own updates
		n.apply(Update{Name: from, State: Alive}, now)
	}
	n.reply(now, msg)
}

// reply does what a message asks for.
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
		n.relays[seq] = relay{requester: msg.From, seq: msg.Seq, expiresAt: now + relayLifetimePeriods*n.cfg.ProbePeriod}
	case Ack:
		n.handleAck(now, msg.Seq)
	}
}

// handleUpdate takes an update that another member reports. Of itself a node takes no suspicion, no death and no leave of an
// earlier incarnation: it refutes them with a higher one, which is then carried as any update.
func (n *Node) handleUpdate(u Update, from string, now time.Duration) {
	switch {
	case u.Name != n.cfg.Name:
		// Nobody is dead because another member reports so, such as one from the other side of a split that is over:
		// it is suspected here, pinged, and dead when nothing is heard of it here either.
		if u.State == Dead {
			u.State = Suspect
		}
		n.apply(u, now)
	case n.hasLeft:
	case u.Incarnation > n.incarnation || u.Incarnation == n.incarnation && u.State != Alive:
		n.incarnation = u.Incarnation + 1
		n.apply(Update{Name: n.cfg.Name, Incarnation: n.incarnation, State: Alive}, now)
	case u.Incarnation >= n.cfg.Incarnation && u.State != Left:
		n.confirmed[from] = true
	}
}

// apply takes an update into the view and, if it was news, queues it for the next messages.
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
	n.queue = append(n.queue, queuedUpdate{update: u, transmitsLeft: transmits})
}

// sendView sends the whole view to a member, Carry members a message.
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

func (m Member) update() Update {
	return Update{Name: m.Name, Incarnation: m.Incarnation, State: m.State}
}

// send puts updates on a message: first what is held of its receiver, on an ack or where that is no longer alive, so that
// it can refute whichever way the update went; then the freshest of the queue, and where there are fewer, some other
// member, so that a view that missed an update is corrected all the same.
func (n *Node) send(to string, msg Message) {
	msg.From, msg.LeftDigest = n.cfg.Name, n.members.leftDigest(n.cfg.Name)
	switch {
	case n.hasLeft: // on all that it still sends
		msg.Updates = append(msg.Updates, Update{Name: n.cfg.Name, Incarnation: n.incarnation, State: Left})
	case !n.confirmed[to] && msg.Kind != JoinRequest:
		msg.Updates = append(msg.Updates, Update{Name: n.cfg.Name, Incarnation: n.incarnation})
	}
	if m, ok := n.members.get(to); ok && (m.State != Alive || msg.Kind == Ack) {
		msg.Updates = append(msg.Updates, m.update())
	}
	for i := len(n.queue) - 1; i >= 0 && len(msg.Updates) < n.cfg.MaxUpdates; i-- {
		msg.Updates = append(msg.Updates, n.queue[i].update)
		if n.queue[i].transmitsLeft--; n.queue[i].transmitsLeft <= 0 {
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
		}
	}
	if members := n.members.view.Members; len(msg.Updates) < n.cfg.MaxUpdates {
		msg.Updates = append(msg.Updates, members[n.rng.IntN(len(members))].update())
	}
	n.outbox = append(n.outbox, Send{To: to, Msg: msg})
}
