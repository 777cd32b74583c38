package membership

import "time"

// The shares of a joint budget must never add up to more than the whole budget, whatever members are partitioned from each
// other and however their views differ. So a share grows only when a member has left permanently. The larger share is held on
// a lease that ends unless every other member is heard. A member that returns takes no share until every lease that was
// granted without it must have ended.

// leaseDuration returns how long a member's last message keeps the view valid: the time in which each member is probed by
// this node and probes it.
func (n *Node) leaseDuration() time.Duration {
	return time.Duration(len(n.members.view.Members)+1) * n.cfg.ProbePeriod
}

// Absent returns the names, in order, of the members that no longer share joint budgets: those that left. It returns nil
// unless the node is settled, has heard every other member within leaseDuration, and each of them then reported the same
// members as left. Otherwise a member may have returned without this node's knowledge, so all members share again.
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

// IsSettled reports whether this node may use its share of a joint budget. If the node left in an earlier incarnation, other
// members may still divide the budget without it. So each other member must be known to hold the present incarnation, have
// left, or have been dead for longer than leaseDuration, after which that member divides the budget among all members again.
// If the node has seeds or knows other members, at least one of them must hold the present incarnation, since a node that
// hears no member can't know whether they divide the budget without it.
func (n *Node) IsSettled(now time.Duration) bool {
	if n.hasLeft {
		return false
	}
	if n.cfg.IsSettledSuccessor { // other members divide the budget without a member only if it left
		return true
	}
	if len(n.members.view.Members) < n.cfg.MinMembers { // an unknown member may divide the budget without this node
		return false
	}
	isConfirmed := len(n.seeds) == 0 && len(n.members.view.Members) == 1
	for _, m := range n.members.view.Members {
		switch {
		case m.Name == n.cfg.Name || m.State == Left:
		case n.confirmed[m.Name]:
			isConfirmed = true
		case m.State != Dead || now-max(m.Since, n.startedAt) <= n.leaseDuration():
			return false
		}
	}
	return isConfirmed
}

// Share returns this node's share of a joint budget, from 0 to 1. It is 0 while the node is not settled.
func (n *Node) Share(now time.Duration) float64 {
	if !n.IsSettled(now) {
		return 0
	}
	// Members that are not in the settings share too. Members that left no longer share once every member knows that
	// they left. A dead member still shares, since it may only be partitioned and go on sending.
	return 1 / float64(max(1, max(len(n.members.view.Members), n.cfg.MinMembers)-len(n.Absent(now))))
}

// AddMembers adds the unknown members among names to the view, as alive with incarnation 0: the members in the settings, which
// count for shares before they are first heard.
func (n *Node) AddMembers(names []string, now time.Duration) {
	for _, name := range names {
		if _, known := n.members.get(name); !known {
			n.members.apply(Update{Name: name, State: Alive}, now)
		}
	}
}
