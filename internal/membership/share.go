package membership

import "time"

// What of a joint budget is this member's while views disagree. Shares may grow by one thing only: members that
// said they left for good. A share that has grown is held on a lease, and a member that comes back waits until
// no such lease can be against it. So at no time do all shares add up to more than the whole, whatever is cut
// off from what.

// leaseDuration is how long after the last word of each member that is there a view counts as whole: the time in which
// each is probed by this node and probes it.
func (n *Node) leaseDuration() time.Duration {
	return time.Duration(len(n.members.view.Members)+1) * n.cfg.ProbePeriod
}

// Absent returns the members that no longer share joint budgets, by name: those that left, as long as this node
// has heard every other member within its lease, and each said then that the same ones left. Cut off from any, or
// at odds with it, it counts all of them in again: it might not have heard of one that came back.
func (n *Node) Absent(now time.Duration) []string {
	var absent []string
	ownDigest := n.members.leftDigest(n.cfg.Name)
	for _, m := range n.members.view.Members {
		switch {
		case m.Name == n.cfg.Name:
		case m.State == Left:
			absent = append(absent, m.Name)
		case m.State != Alive || n.lastHeard[m.Name] == 0 || now-n.lastHeard[m.Name] > n.leaseDuration(), n.leftDigests[m.Name] != ownDigest:
			return nil
		}
	}
	if !n.IsSettled(now) {
		return nil
	}
	return absent
}

// IsSettled reports whether this node may take its share of a budget that must not be exceeded. Others may have counted it
// out, if it left in an earlier incarnation. So each that is there must be known to hold the new one, or be dead for
// longer than a lease, by when it counts all in again; and one at least must have been heard, if there is to be
// any other: a node that hears nobody can't know.
func (n *Node) IsSettled(now time.Duration) bool {
	if n.hasLeft {
		return false
	}
	if n.cfg.IsSettledSuccessor { // nobody counts out who has not left
		return true
	}
	if len(n.members.view.Members) < n.cfg.MinMembers { // it has not been told of all that may count it out
		return false
	}
	hasPeer := len(n.seeds) == 0 && len(n.members.view.Members) == 1
	for _, m := range n.members.view.Members {
		switch {
		case m.Name == n.cfg.Name || m.State == Left:
		case n.confirmed[m.Name]:
			hasPeer = true
		case m.State != Dead || now-max(m.Since, n.startedAt) <= n.leaseDuration():
			return false
		}
	}
	return hasPeer
}

// Share is this node's share of a joint budget, from 0 to 1.
func (n *Node) Share(now time.Duration) float64 {
	if !n.IsSettled(now) {
		return 0
	}
	// Members that the settings don't name share, too; those that left and all others know of do not. One that is
	// dead may be cut off and go on sending, so it counts on.
	return 1 / float64(max(1, max(len(n.members.view.Members), n.cfg.MinMembers)-len(n.Absent(now))))
}

// AddMembers makes members known by name that have not been heard: those of the settings. Until they are, they
// count as there.
func (n *Node) AddMembers(names []string, now time.Duration) {
	for _, name := range names {
		if _, known := n.members.get(name); !known {
			n.members.apply(Update{Name: name, State: Alive}, now)
		}
	}
}
