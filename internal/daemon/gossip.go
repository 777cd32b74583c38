package daemon

import (
	"time"

	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/versions"
)

// gossip has members agree on versions by the messages between them: a node for each document that the configuration
// has a version of.
type gossip struct {
	nodes       []*versions.Node
	viewVersion uint64 // version of the view that the nodes were last given
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
		s.d.sendGossip(out)
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
	d.agreement = &agreement{loggedVersions: map[string][]versions.Version{}}
	if set.Number != 0 {
		d.agreement.settings = d.newGossipSource(settingsDocument, set, d.checkSettings, now)
	}
	if drained.Number != 0 {
		d.agreement.drained = d.newGossipSource(drainedDocument, drained, checkDrained, now)
	}
}

func (d *Daemon) newGossipSource(document string, first versions.Doc, check func([]byte) error, now time.Duration) gossipSource {
	cfg, lim, me := d.cfg, d.cfg.Limits, d.members.self
	node := versions.New(versions.Config{Me: me, Doc: document, Seed: cfg.Seed + uint64(cfg.Settings.Index),
		Period: lim.MemberProbeInterval, AskAgain: lim.MemberAckTimeout, Check: check, TextMost: maxDocumentBytes,
		Lease:     time.Duration(cfg.Settings.Gateways+1) * lim.MemberProbeInterval,
		PieceMost: membership.Datagram - versions.Overhead - len(document) - len(me)}, first, now)
	d.members.gossip.nodes = append(d.members.gossip.nodes, node)
	return gossipSource{node, d}
}

// receiveGossip takes a message of another member.
func (d *Daemon) receiveGossip(b []byte) error {
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
		d.sendGossip(n.Handle(msg, d.loop.Now()))
	}
	d.applyVersions()
	return nil
}

func (d *Daemon) sendGossip(out []versions.Send) {
	for _, s := range out {
		d.members.Send(s.To, versions.Append(nil, s.Msg))
	}
}

// tickGossip lets time pass. Others that take part are all that have not left.
func (d *Daemon) tickGossip(now time.Duration) {
	g := d.members.gossip
	if v := d.members.Node().View(); v.Version != g.viewVersion {
		g.viewVersion = v.Version
		var others []string
		for _, o := range v.Members {
			if o.Name != d.members.self && o.State != membership.Left {
				others = append(others, o.Name)
			}
		}
		for _, n := range g.nodes {
			d.sendGossip(n.Fleet(others, now))
		}
	}
	ready, alone := true, false
	for _, n := range g.nodes {
		d.sendGossip(n.Tick(now))
		ready, alone = ready && n.Ready(now), alone || n.Alone(now)
	}
	if !d.agreement.isReady && ready {
		d.markVersionsKnown(alone)
	}
	d.applyVersions()
}
