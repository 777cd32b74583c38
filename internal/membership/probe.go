package membership

import "time"

const (
	maxAckPeriods        = 2       // Periods to which a wait for an answer stretches where the network is slow
	rttMeanWeight        = 1.0 / 8 // of RFC 6298, as rttDeviations and deviationGain
	rttDeviationWeight   = 1.0 / 4
	rttDeviationFactor   = 4
	maxRecentPings       = 8 // own pings remembered, for answers that come late
	relayLifetimePeriods = 4 // Periods for which an ack is passed on to who asked for a ping

	missRateWeight         = 1.0 / 8 // EWMA weight of a probe in the part whose first ping is not answered in time
	missRateThreshold      = 0.2     // above this it is this member's links that lose, and not one other that is gone
	suspicionStretchFactor = 4.0     // for each further part suspicion lasts so many times longer
)

// A probe is out to one member at a time.
type probe struct {
	target     string
	seq        uint64
	sentAt     time.Duration
	isIndirect bool // helpers were asked, and the ping was repeated
}

// A sentPing is kept to measure the round trip.
type sentPing struct {
	seq    uint64
	sentAt time.Duration
}

// A relay is a ping on behalf of another member.
type relay struct {
	requester string
	seq       uint64
	expiresAt time.Duration
}

// ping sends a ping and returns its sequence number.
func (n *Node) ping(to string, now time.Duration) uint64 {
	n.lastSeq++
	if n.recentPings = append(n.recentPings, sentPing{n.lastSeq, now}); len(n.recentPings) > maxRecentPings {
		n.recentPings = n.recentPings[1:]
	}
	n.send(to, Message{Kind: Ping, Seq: n.lastSeq})
	return n.lastSeq
}

// ackTimeout is how long an answer may take: what the configuration says, or longer where the network is seen to
// be slow, as a retransmission timer is set. So a delay alone suspects nobody for long.
func (n *Node) ackTimeout() time.Duration {
	return min(max(n.cfg.AckTimeout, n.rtt.mean+rttDeviationFactor*n.rtt.deviation), maxAckPeriods*n.cfg.ProbePeriod)
}

// observeRTT takes a round trip into the smoothed mean and deviation.
func (n *Node) observeRTT(rtt time.Duration) {
	r := &n.rtt
	if r.mean == 0 {
		r.mean, r.deviation = rtt, rtt/2
		return
	}
	r.deviation += time.Duration(rttDeviationWeight * float64((rtt-r.mean).Abs()-r.deviation))
	r.mean += time.Duration(rttMeanWeight * float64(rtt-r.mean))
}

// suspicionTimeout is how long a suspicion lasts unless the suspect is heard. Where this member's own messages get lost a lot, whoever it
// suspects is given longer, as Lifeguard does by a member's own health.
func (n *Node) suspicionTimeout() time.Duration {
	return time.Duration(float64(n.cfg.SuspicionTimeout) * (1 + suspicionStretchFactor*max(0, n.missRate-missRateThreshold)))
}

// handleAck takes an ack: to a ping of this node's, to its probe, or to a ping on behalf of another member.
func (n *Node) handleAck(now time.Duration, seq uint64) {
	for _, p := range n.recentPings {
		if p.seq == seq {
			n.observeRTT(now - p.sentAt)
		}
	}
	if p := n.probe; p != nil && seq == p.seq {
		n.lastHeard[p.target] = max(now, 1) // by itself, or as a helper reports
		if n.probe = nil; !p.isIndirect {
			n.missRate -= missRateWeight * n.missRate
		}
	}
	if r, ok := n.relays[seq]; ok {
		delete(n.relays, seq)
		n.send(r.requester, Message{Kind: Ack, Seq: r.seq})
	}
}

// tick goes on with the probe that is out, with suspects and the dead, and begins the next probe when it is due.
func (n *Node) tick(now time.Duration) {
	wait := n.ackTimeout()
	n.checkProbe(now, wait)
	n.checkUnreachable(now, wait)
	for seq, r := range n.relays {
		if now >= r.expiresAt {
			delete(n.relays, seq)
		}
	}
	if n.probe != nil || n.hasLeft || now < n.nextProbeAt {
		return
	}
	n.nextProbeAt = now + n.cfg.ProbePeriod
	if target := n.nextTarget(); target != "" {
		n.probe = &probe{target: target, sentAt: now}
		n.probe.seq = n.ping(target, now)
	}
	if len(n.lastHeard) == 0 {
		n.requestView()
	}
	n.announce(now)
}

// checkProbe has helpers asked for a probe that was not answered in time, and suspects its target when that brought
// nothing either.
func (n *Node) checkProbe(now, wait time.Duration) {
	p := n.probe
	if p == nil {
		return
	}
	target, known := n.members.get(p.target)
	isAlive := known && target.State == Alive
	switch isHeard := n.lastHeard[p.target] >= p.sentAt; {
	case isHeard && p.isIndirect: // another message of its, or the report of others, shows that it is there
		n.probe = nil
	case !isHeard && !p.isIndirect && now-p.sentAt >= wait:
		p.isIndirect = true
		if isAlive {
			n.missRate += missRateWeight * (1 - n.missRate)
		}
		for _, helper := range n.pickAlive(n.cfg.IndirectProbes, p.target) {
			n.send(helper, Message{Kind: PingReq, Seq: p.seq, Target: p.target})
		}
		n.ping(p.target, now)
	case now-p.sentAt >= max(n.cfg.ProbePeriod, 2*wait):
		if isAlive && !isHeard {
			n.apply(Update{Name: target.Name, Incarnation: target.Incarnation, State: Suspect}, now)
		}
		n.probe = nil
	}
}

// checkUnreachable goes through the members that are not alive. A suspect is pinged, so that it hears of it and can refute, whoever
// raised the suspicion; one not heard for SuspectFor is dead. The dead are pinged now and then: nobody else
// would find out that a split is over.
func (n *Node) checkUnreachable(now, wait time.Duration) {
	var suspects, dead []string
	for _, m := range n.members.view.Members {
		switch m.State {
		case Suspect:
			if now-max(m.Since, n.lastHeard[m.Name]) >= n.suspicionTimeout() {
				n.apply(Update{Name: m.Name, Incarnation: m.Incarnation, State: Dead}, now)
				continue
			}
			suspects = append(suspects, m.Name)
		case Dead:
			dead = append(dead, m.Name)
		}
	}
	if len(suspects) > 0 && now >= n.nextSuspectPing && !n.hasLeft {
		n.nextSuspectPing = now + wait
		n.ping(suspects[n.rng.IntN(len(suspects))], now)
	}
	if len(dead) > 0 && now >= n.nextDeadPing && !n.hasLeft {
		n.nextDeadPing = now + n.cfg.ProbePeriod
		n.ping(dead[n.rng.IntN(len(dead))], now)
	}
}

// nextTarget goes round the members that may be there in an order shuffled anew each round, so that each
// is probed within one round however the others fare.
func (n *Node) nextTarget() string {
	for range 2 {
		for len(n.probeOrder) > 0 {
			t := n.probeOrder[0]
			n.probeOrder = n.probeOrder[1:]
			if m, ok := n.members.get(t); ok && (m.State == Alive || m.State == Suspect) {
				return t
			}
		}
		for _, m := range n.members.view.Members {
			if m.Name != n.cfg.Name && (m.State == Alive || m.State == Suspect) {
				n.probeOrder = append(n.probeOrder, m.Name)
			}
		}
		n.shuffle(n.probeOrder)
	}
	return ""
}

// pickAlive chooses up to k members that are alive, other than this node and one more.
func (n *Node) pickAlive(k int, except string) []string {
	var alive []string
	for _, m := range n.members.view.Members {
		if m.State == Alive && m.Name != n.cfg.Name && m.Name != except {
			alive = append(alive, m.Name)
		}
	}
	n.shuffle(alive)
	return alive[:min(k, len(alive))]
}

func (n *Node) shuffle(names []string) {
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
