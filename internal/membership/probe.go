package membership

import "time"

const (
	maxAckTimeoutPeriods = 2 // maximum of ackTimeout, in probe periods

	// Weights of a sample in the mean round trip and in its deviation, and the factor of the deviation in ackTimeout: the
	// values of RFC 6298.
	rttMeanWeight      = 1.0 / 8
	rttDeviationWeight = 1.0 / 4
	rttDeviationFactor = 4

	maxRecentPings       = 8 // own pings kept, so that late acks still yield a round trip
	relayLifetimePeriods = 4 // probe periods within which the ack of a relayed ping is forwarded

	missRateWeight = 1.0 / 8 // weight of a probe in Node.missRate

	// missRateThreshold is the missRate above which the cause is taken to be message loss on this node's own links, rather
	// than the failure of a single other member.
	missRateThreshold = 0.2
	// suspicionTimeoutFactor lengthens the suspicion timeout: by this factor times Config.SuspicionTimeout times the
	// amount by which missRate exceeds missRateThreshold.
	suspicionTimeoutFactor = 4.0
)

// probe is the probe in progress, of one member.
type probe struct {
	target     string
	seq        uint64
	sentAt     time.Duration
	isIndirect bool // other members were asked to ping the target, and the ping was repeated
}

// sentPing is the time of a ping, kept to measure the round trip.
type sentPing struct {
	seq    uint64
	sentAt time.Duration
}

// relay is a ping that another member requested by a PingReq.
type relay struct {
	requester string
	target    string
	seq       uint64 // of the PingReq
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

// ackTimeout returns how long to wait for the answer to a ping: Config.AckTimeout, or longer where round trips are slow, by
// the formula of a TCP retransmission timer (RFC 6298), up to maxAckTimeoutPeriods. So a slow network
// alone makes no member suspect for long.
func (n *Node) ackTimeout() time.Duration {
	return min(max(n.cfg.AckTimeout, n.rtt.mean+rttDeviationFactor*n.rtt.deviation), maxAckTimeoutPeriods*n.cfg.ProbePeriod)
}

// observeRTT adds a round trip to the moving averages of the round trip and its deviation.
func (n *Node) observeRTT(rtt time.Duration) {
	r := &n.rtt
	if r.mean == 0 {
		r.mean, r.deviation = rtt, rtt/2
		return
	}
	r.deviation += time.Duration(rttDeviationWeight * float64((rtt-r.mean).Abs()-r.deviation))
	r.mean += time.Duration(rttMeanWeight * float64(rtt-r.mean))
}

// suspicionTimeout returns how long a suspect may stay unheard before it is declared dead. It is longer while many of this
// node's own pings are lost, like the local health multiplier of Lifeguard.
func (n *Node) suspicionTimeout() time.Duration {
	return time.Duration(float64(n.cfg.SuspicionTimeout) * (1 + suspicionTimeoutFactor*max(0, n.missRate-missRateThreshold)))
}

// handleAck matches an ack by its sequence number to this node's recent pings, the probe in progress and the relays. An ack
// that matches none is ignored, and so is a direct one of another member than the one that was pinged: that has come up at
// the address of the other.
func (n *Node) handleAck(now time.Duration, from string, seq uint64) {
	for _, p := range n.recentPings {
		if p.seq == seq {
			n.observeRTT(now - p.sentAt)
		}
	}
	if p := n.probe; p != nil && seq == p.seq && (from == p.target || p.isIndirect) {
		n.lastHeard[p.target] = max(now, 1) // from the target or forwarded by another member; 0 means never heard
		if n.probe = nil; !p.isIndirect {
			n.missRate -= missRateWeight * n.missRate
		}
	}
	if r, ok := n.relays[seq]; ok && from == r.target {
		delete(n.relays, seq)
		n.send(r.requester, Message{Kind: Ack, Seq: r.seq})
	}
}

// tick checks the probe in progress, the suspects and the dead members, drops expired relays and starts the next probe when
// it is due.
func (n *Node) tick(now time.Duration) {
	timeout := n.ackTimeout()
	n.checkProbe(now, timeout)
	n.checkUnreachable(now, timeout)
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

// checkProbe repeats a probe, directly and through other members, if its target was not heard within ackTimeout. A probe
// without an answer ends after a ProbePeriod, or 2*ackTimeout if that is longer; its target, if alive, becomes suspect.
func (n *Node) checkProbe(now, ackTimeout time.Duration) {
	p := n.probe
	if p == nil {
		return
	}
	target, known := n.members.get(p.target)
	isAlive := known && target.State == Alive
	switch isHeard := n.lastHeard[p.target] >= p.sentAt; {
	case isHeard && p.isIndirect: // any message of the target counts, and a forwarded ack
		n.probe = nil
	case !isHeard && !p.isIndirect && now-p.sentAt >= ackTimeout:
		p.isIndirect = true
		if isAlive {
			n.missRate += missRateWeight * (1 - n.missRate)
		}
		for _, member := range n.pickAlive(n.cfg.IndirectProbes, p.target) {
			n.send(member, Message{Kind: PingReq, Seq: p.seq, Target: p.target})
		}
		n.ping(p.target, now)
	case now-p.sentAt >= max(n.cfg.ProbePeriod, 2*ackTimeout):
		if isAlive && !isHeard {
			n.apply(Update{Name: target.Name, Incarnation: target.Incarnation, State: Suspect}, now)
		}
		n.probe = nil
	}
}

// checkUnreachable declares the suspects dead that were not heard for suspicionTimeout, and pings one random suspect and one
// random dead member when due. The ping carries the suspicion, whichever member raised it, so that the suspect can refute. Dead
// members are pinged because nothing else detects that a partition has healed.
func (n *Node) checkUnreachable(now, ackTimeout time.Duration) {
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
		n.nextSuspectPing = now + ackTimeout
		n.ping(suspects[n.rng.IntN(len(suspects))], now)
	}
	if len(dead) > 0 && now >= n.nextDeadPing && !n.hasLeft {
		n.nextDeadPing = now + n.cfg.ProbePeriod
		n.ping(dead[n.rng.IntN(len(dead))], now)
	}
}

// nextTarget returns the next member to probe, empty if there is none. It goes through the alive and suspect members in rounds,
// in a new random order each, so that every member is probed within one round whatever the state of the others.
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

// pickAlive returns up to k random members that are alive, without this node and the member named except.
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

// shuffle puts names in a random order in place.
func (n *Node) shuffle(names []string) {
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
