package daemon

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/versions"
)

// controlSource is a versionSource for one document of the control group. Versions that it is offered are proposed to
// the group, and are applied once they are in force.
type controlSource struct {
	group    *controlGroup
	document string
}

// proposalKey identifies a proposal.
type proposalKey struct {
	document string
	version  versions.Version
}

// pendingProposal is a proposal without an outcome.
type pendingProposal struct {
	doc       versions.Doc
	callbacks []func(error) // called with the outcome
	timeout   *loop.Timer
}

// proposalRetryDelay is the time after which a version is proposed again to a group that was unavailable.
const proposalRetryDelay = 200 * time.Millisecond

// Outcomes of proposals that the group has not answered. The group may have accepted the version all the same.
var (
	errNoReplica      = errors.New("no replica of the control group is connected; the version may still come into force")
	errNoAnswer       = errors.New("the control group has not answered in time; the version may still come into force")
	errLeasesReleased = errors.New("this process has left the control group; the version may still come into force")
)

// Document returns the name of the document.
func (s controlSource) Document() string { return s.document }

// Acting returns the active versions, oldest first.
func (s controlSource) Acting() []versions.Doc { return s.group.member.Acting(s.document) }

// Newest returns the newest active version, or number 0 if there is none.
func (s controlSource) Newest() versions.Doc {
	active := s.Acting()
	if len(active) == 0 {
		return versions.Doc{}
	}
	return active[len(active)-1]
}

// Changed reports whether the active versions have changed since its last call.
func (s controlSource) Changed() bool { return s.group.member.Changed(s.document) }

// Refused returns the versions in force that this ingress rejected, each with the reason.
func (s controlSource) Refused() map[versions.Version]string {
	rejected := map[versions.Version]string{}
	for _, r := range s.group.member.Rejected() {
		if r.Document == s.document {
			rejected[r.Version] = r.Reason
		}
	}
	return rejected
}

// Stale returns nil: only the group knows which versions other members apply.
func (s controlSource) Stale() []string { return nil }

// Alone reports whether this ingress does not hold the settings lease.
func (s controlSource) Alone(now time.Duration) bool {
	return s.group.member.LeaseState(now) != controlgroup.LeaseHeld
}

// Admissible returns an error if a version is too long for the group or can't be applied by this ingress. The newest
// active version is always admissible.
func (s controlSource) Admissible(doc versions.Doc) error {
	switch {
	case doc.Version == s.Newest().Version:
		return nil
	case len(doc.Text) > maxDocumentBytes:
		return fmt.Errorf("version %v: %d bytes, at most %d", doc.Version, len(doc.Text), maxDocumentBytes)
	}
	return s.group.daemon.checkDocument(s.document, doc.Text)
}

// Offer proposes a version to the group as soon as a replica is connected. done is called with the group's answer, or
// with an error after ControlProposalTimeout.
func (s controlSource) Offer(doc versions.Doc, done func(error)) {
	if doc.Version == s.Newest().Version {
		done(nil)
		return
	}
	s.propose(doc, done)
}

// propose proposes a version. A version that is already proposed gets a further callback and its timeout begins again.
func (s controlSource) propose(doc versions.Doc, done func(error)) {
	g := s.group
	messages, err := g.member.Propose(s.document, doc, g.daemon.loop.Now())
	if err != nil {
		done(err)
		return
	}
	key := proposalKey{s.document, doc.Version}
	proposal := g.pending[key]
	if proposal == nil {
		proposal = &pendingProposal{doc: doc}
		g.pending[key] = proposal
	}
	proposal.timeout.Stop()
	proposal.timeout = g.daemon.loop.After(g.daemon.cfg.Limits.ControlProposalTimeout, func() { g.finishProposal(key, g.timeoutError()) })
	proposal.callbacks = append(proposal.callbacks, done)
	g.client.Send(messages)
}

// timeoutError returns the likely reason that the group has not answered in time.
func (g *controlGroup) timeoutError() error {
	if g.client.Replica() == "" {
		return errNoReplica
	}
	return errNoAnswer
}

// finishProposals handles the group's answers to proposals. A group that is unavailable is asked again.
func (g *controlGroup) finishProposals() {
	for _, outcome := range g.member.Outcomes() {
		key := proposalKey{outcome.Document, outcome.Version}
		switch {
		case strings.HasPrefix(outcome.Error, controlgroup.Unavailable):
			g.daemon.loop.After(proposalRetryDelay, func() { g.retryProposal(key) })
		case outcome.Error != "":
			g.finishProposal(key, errors.New(outcome.Error))
		default:
			g.finishProposal(key, nil)
		}
	}
}

// retryProposal proposes a version again, unless its proposal has an outcome or has timed out.
func (g *controlGroup) retryProposal(key proposalKey) {
	proposal := g.pending[key]
	if proposal == nil {
		return
	}
	messages, err := g.member.Propose(key.document, proposal.doc, g.daemon.loop.Now())
	if err != nil {
		g.finishProposal(key, err)
		return
	}
	g.client.Send(messages)
}

// finishProposal removes a proposal and calls its callbacks with the outcome.
func (g *controlGroup) finishProposal(key proposalKey, err error) {
	proposal := g.pending[key]
	if proposal == nil {
		return
	}
	delete(g.pending, key)
	proposal.timeout.Stop()
	for _, done := range proposal.callbacks {
		done(err)
	}
}

// failProposals ends all pending proposals with an error.
func (g *controlGroup) failProposals(err error) {
	for key := range g.pending {
		g.finishProposal(key, err)
	}
}
