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

// controlSource is one document of the control group as a source of versions: what it is offered it proposes, and acts
// on once that is in force.
type controlSource struct {
	group    *controlGroup
	document string
}

// proposalKey names one that the group has not answered.
type proposalKey struct {
	document string
	version  versions.Version
}

// pendingProposal are told what became of a proposal.
type pendingProposal struct {
	doc       versions.Doc
	callbacks []func(error)
	timeout   *loop.Timer
}

// proposalRetryDelay is how long after such an answer a version is proposed once more.
const proposalRetryDelay = 200 * time.Millisecond

// Ends of proposals that the group has not answered.
var (
	errNoReplica      = errors.New("no replica of the control group is connected; the version may still come in force")
	errNoAnswer       = errors.New("the control group has not answered; the version may still come in force")
	errLeasesReleased = errors.New("this process gives up its part in the control group; the version may still come in force")
)

// Document names it.
func (s controlSource) Document() string { return s.document }

// Acting returns the versions to act on.
func (s controlSource) Acting() []versions.Doc { return s.group.member.Acting(s.document) }

// Newest returns the last of them.
func (s controlSource) Newest() versions.Doc {
	acting := s.Acting()
	if len(acting) == 0 {
		return versions.Doc{}
	}
	return acting[len(acting)-1]
}

// Changed tells, once, whether these are others than when it was last asked.
func (s controlSource) Changed() bool { return s.group.member.Changed(s.document) }

// Refused tells which versions in force can't be acted on here, with the reason.
func (s controlSource) Refused() map[versions.Version]string {
	refused := map[versions.Version]string{}
	for _, r := range s.group.member.Rejected() {
		if r.Document == s.document {
			refused[r.Version] = r.Reason
		}
	}
	return refused
}

// Stale returns nobody: only the group knows what other members act on.
func (s controlSource) Stale() []string { return nil }

// Alone tells whether the settings lease is not held.
func (s controlSource) Alone(now time.Duration) bool {
	return s.group.member.LeaseState(now) != controlgroup.LeaseHeld
}

// Admissible tells what can be known here of why a version would be turned down.
func (s controlSource) Admissible(doc versions.Doc) error {
	switch {
	case doc.Version == s.Newest().Version:
		return nil
	case len(doc.Text) > maxDocumentBytes:
		return fmt.Errorf("version %v: %d bytes, at most %d", doc.Version, len(doc.Text), maxDocumentBytes)
	}
	return s.group.d.checkDocument(s.document, doc.Text)
}

// Offer proposes a version to the group, as soon as a replica is connected. Done is called when the group has answered,
// or after a limit.
func (s controlSource) Offer(doc versions.Doc, done func(error)) {
	if doc.Version == s.Newest().Version {
		done(nil)
		return
	}
	s.propose(doc, done)
}

func (s controlSource) propose(doc versions.Doc, done func(error)) {
	g := s.group
	messages, err := g.member.Propose(s.document, doc, g.d.loop.Now())
	if err != nil {
		done(err)
		return
	}
	p := proposalKey{s.document, doc.Version}
	w := g.pending[p]
	if w == nil {
		w = &pendingProposal{doc: doc}
		g.pending[p] = w
	}
	w.timeout.Stop()
	w.timeout = g.d.loop.After(g.d.cfg.Limits.ControlProposalTimeout, func() { g.finishProposal(p, g.timeoutError()) })
	w.callbacks = append(w.callbacks, done)
	g.client.Send(messages)
}

// timeoutError tells why the group has not answered in time.
func (g *controlGroup) timeoutError() error {
	if g.client.Replica() == "" {
		return errNoReplica
	}
	return errNoAnswer
}

// finishProposals tells who waits what the group has answered.
func (g *controlGroup) finishProposals() {
	for _, outcome := range g.member.Outcomes() {
		p := proposalKey{outcome.Document, outcome.Version}
		switch {
		case strings.HasPrefix(outcome.Error, controlgroup.Unavailable):
			g.d.loop.After(proposalRetryDelay, func() { g.retryProposal(p) })
		case outcome.Error != "":
			g.finishProposal(p, errors.New(outcome.Error))
		default:
			g.finishProposal(p, nil)
		}
	}
}

// retryProposal proposes a version once more, as long as somebody waits for it.
func (g *controlGroup) retryProposal(p proposalKey) {
	w := g.pending[p]
	if w == nil {
		return
	}
	messages, err := g.member.Propose(p.document, w.doc, g.d.loop.Now())
	if err != nil {
		g.finishProposal(p, err)
		return
	}
	g.client.Send(messages)
}

func (g *controlGroup) finishProposal(p proposalKey, err error) {
	w := g.pending[p]
	if w == nil {
		return
	}
	delete(g.pending, p)
	w.timeout.Stop()
	for _, done := range w.callbacks {
		done(err)
	}
}

// failProposals ends all that have no answer yet.
func (g *controlGroup) failProposals(err error) {
	for p := range g.pending {
		g.finishProposal(p, err)
	}
}
