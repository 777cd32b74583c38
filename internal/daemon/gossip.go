package daemon

import (
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/versions"
)

// gossip lets members agree on versions through messages between them, without a control group. It has a node for each
// document of which the configuration has a version, and belongs to the loop's goroutine.
type gossip struct {
	nodes       []*versions.Node
	viewVersion uint64 // of the membership view that the nodes were last given
}

// gossipSource is a versionSource for one document of the gossip. A version that it is offered becomes active at once,
// together with those that were active before.
type gossipSource struct {
	*versions.Node
	daemon *Daemon
}

// Admissible returns an error if too many versions are active for another one to join them.
func (s gossipSource) Admissible(doc versions.Doc) error {
	if s.IsFull() && doc.Version != s.Newest().Version {
		return versions.ErrTooManyRollouts
	}
	return nil
}

// Offer makes a version active and sends it to the other members. It calls done before it returns.
func (s gossipSource) Offer(doc versions.Doc, done func(error)) {
	messages, err := s.Node.Offer(doc, s.daemon.loop.Now())
	if err == nil {
		s.daemon.sendGossip(messages)
	}
	done(err)
}

// openGossip starts the agreement on versions with the saved ones, or with those of the configuration file. Without any
// there is no gossip.
func (d *Daemon) openGossip(now time.Duration) {
	settingsDoc, drainedDoc := fileDocuments(d.loadedConfig)
	applied := map[string][]versions.Doc{}
	for document, file := range map[string]versions.Doc{settingsDocument: settingsDoc, drainedDocument: drainedDoc} {
		if first := d.firstVersions(document, file); len(first) > 0 {
			applied[document] = first
		}
	}
	if len(applied) == 0 {
		return
	}
	d.members.gossip = &gossip{}
	d.agreement = d.newAgreement(applied)
	if first := applied[settingsDocument]; len(first) > 0 {
		d.agreement.settings = d.newGossipSource(settingsDocument, first, settingsDoc, d.checkSettings, now)
	}
	if first := applied[drainedDocument]; len(first) > 0 {
		d.agreement.drained = d.newGossipSource(drainedDocument, first, drainedDoc, checkDrained, now)
	}
}

// newGossipSource creates the node of a document and its source. first are the versions that are applied, the oldest first.
// A newer one in the file is offered, as at a reload.
func (d *Daemon) newGossipSource(document string, first []versions.Doc, file versions.Doc, check func([]byte) error,
	now time.Duration) gossipSource {
	cfg, bounds, self := d.cfg, d.cfg.Limits, d.members.self
	node := versions.New(versions.Config{Self: self, Document: document, Seed: cfg.Seed + uint64(cfg.Settings.Index),
		ReportInterval: bounds.MemberProbeInterval, RetryInterval: bounds.MemberAckTimeout, Check: check, MaxTextBytes: maxDocumentBytes,
		Lease:         time.Duration(cfg.Settings.Gateways+1) * bounds.MemberProbeInterval,
		MaxChunkBytes: membership.MaxDatagramBytes - versions.MaxChunkOverhead - len(document) - len(self)}, first[0], now)
	later := first[1:]
	if file.Number > first[len(first)-1].Number {
		later = append(slices.Clone(later), file)
	}
	for _, doc := range later {
		if _, err := node.Offer(doc, now); err != nil { // the node knows no other members yet, so there is nothing to send
			d.log.Warn("version not taken", "of", document, "version", doc.Version.String(), "error", err)
		}
	}
	d.members.gossip.nodes = append(d.members.gossip.nodes, node)
	return gossipSource{node, d}
}

// receiveGossip handles a message of another member and applies the versions that become active. It fails if the message
// can't be parsed or CheckSender does not accept its sender.
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

// sendGossip sends messages to other members.
func (d *Daemon) sendGossip(messages []versions.Outgoing) {
	for _, message := range messages {
		d.members.Send(message.To, versions.Append(nil, message.Message))
	}
}

// tickGossip advances the nodes' time and applies the versions that become active. The nodes agree with all members that
// have not left.
func (d *Daemon) tickGossip(now time.Duration) {
	g := d.members.gossip
	if view := d.members.Node().View(); view.Version != g.viewVersion {
		g.viewVersion = view.Version
		var others []string
		for _, member := range view.Members {
			if member.Name != d.members.self && member.State != membership.Left {
				others = append(others, member.Name)
			}
		}
		for _, node := range g.nodes {
			d.sendGossip(node.SetMembers(others, now))
		}
	}
	isReady, isAlone := true, false
	for _, node := range g.nodes {
		d.sendGossip(node.Tick(now))
		isReady, isAlone = isReady && node.IsReady(now), isAlone || node.Alone(now)
	}
	if !d.agreement.isReady && isReady {
		d.markAgreementReady(isAlone)
	}
	d.applyVersions()
}
