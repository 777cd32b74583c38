package daemon

import (
	"time"

	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/versions"
)

// gossip has members agree on versions by the messages between them: a node for each document that the configuration
// has a version of.
type gossip struct {
	nodes []*versions.Node
	seen  uint64 // version of the view that the nodes were last given
}

// gossipSource is a node as a source of versions: what it is offered it acts on at once, beside what it acted on before.
type gossipSource struct {
	*versions.Node
	d *Daemon
}

// Admissible tells whether a further version would have to wait for others.
func (s gossipSource) Admissible(doc versions.Doc) error {
	if s.Full() && doc.Version != s.Newest().Version {
		return versions.ErrRollouts
	}
	return nil
}

// Offer acts on a version, and gives it to the others.
func (s gossipSource) Offer(doc versions.Doc, done func(error)) {
	out, err := s.Node.Offer(doc, s.d.loop.Now())
	if err == nil {
		s.d.gossipSend(out)
	}
	done(err)
}

// openGossip begins with the versions of the file.
func (d *Daemon) openGossip(now time.Duration) {
	set, drained := fileDocuments(d.cfg)
	if set.Number == 0 && drained.Number == 0 {
		return
	}
	d.members.gossip = &gossip{}
	d.agreement = &agreement{logged: map[string][]versions.Version{}}
	if set.Number != 0 {
		d.agreement.settings = d.gossipSource(settingsDocument, set, d.checkSettings, now)
	}
	if drained.Number != 0 {
		d.agreement.drained = d.gossipSource(drainedDocument, drained, checkDrained, now)
	}
}

func (d *Daemon) gossipSource(document string, first versions.Doc, check func([]byte) error, now time.Duration) gossipSource {
	cfg, lim, me := d.cfg, d.cfg.Limits, d.members.me
	node := versions.New(versions.Config{Me: me, Doc: document, Seed: cfg.Seed + uint64(cfg.Settings.Index),
		Period: lim.MemberProbeInterval, AskAgain: lim.MemberAckTimeout, Check: check, TextMost: documentMost,
		Lease:     time.Duration(cfg.Settings.Gateways+1) * lim.MemberProbeInterval,
		PieceMost: membership.Datagram - versions.Overhead - len(document) - len(me)}, first, now)
	d.members.gossip.nodes = append(d.members.gossip.nodes, node)
	return gossipSource{node, d}
}

// gossipReceived takes a message of another member.
func (d *Daemon) gossipReceived(b []byte) error {
	msg, err := versions.Parse(b)
	if err != nil {
		return err
	}
	m := d.members
	if m == nil || m.gossip == nil {
		return nil
	}
	if err := m.CheckSender(msg.From); err != nil {
		return err
	}
	for _, n := range m.gossip.nodes {
		d.gossipSend(n.Handle(msg, d.loop.Now()))
	}
	d.versionsChanged()
	return nil
}

func (d *Daemon) gossipSend(out []versions.Send) {
	for _, s := range out {
		d.members.Send(s.To, versions.Append(nil, s.Msg))
	}
}

// gossipTick lets time pass. Others that take part are all that have not left.
func (d *Daemon) gossipTick(now time.Duration) {
	g := d.members.gossip
	if v := d.members.Node().View(); v.Version != g.seen {
		g.seen = v.Version
		var others []string
		for _, o := range v.Members {
			if o.Name != d.members.me && o.State != membership.Left {
				others = append(others, o.Name)
			}
		}
		for _, n := range g.nodes {
			d.gossipSend(n.Fleet(others, now))
		}
	}
	ready, alone := true, false
	for _, n := range g.nodes {
		d.gossipSend(n.Tick(now))
		ready, alone = ready && n.Ready(now), alone || n.Alone(now)
	}
	if !d.agreement.ready && ready {
		d.versionsKnown(alone)
	}
	d.versionsChanged()
}
