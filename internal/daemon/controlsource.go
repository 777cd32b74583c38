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
	g        *controlGroup
	document string
}

// proposal names one that the group has not answered.
type proposal struct {
	document string
	version  versions.Version
}

// waiters are told what became of a proposal.
type waiters struct {
	doc   versions.Doc
	done  []func(error)
	limit *loop.Timer
}

// proposeAgain is how long after such an answer a version is proposed once more.
const proposeAgain = 200 * time.Millisecond

// Ends of proposals that the group has not answered.
var (
	errNoReplica = errors.New("no replica of the control group is connected; the version may still come in force")
	errNoAnswer  = errors.New("the control group has not answered; the version may still come in force")
	errClosed    = errors.New("this process gives up its part in the control group; the version may still come in force")
)

// Document names it.
func (s controlSource) Document() string { return s.document }

// Acting returns the versions to act on.
func (s controlSource) Acting() []versions.Doc { return s.g.member.Acting(s.document) }

// Newest returns the last of them.
func (s controlSource) Newest() versions.Doc {
	acting := s.Acting()
	if len(acting) == 0 {
		return versions.Doc{}
	}
	return acting[len(acting)-1]
}

// Changed tells, once, whether these are others than when it was last asked.
func (s controlSource) Changed() bool { return s.g.member.Changed(s.document) }

// Refused tells which versions in force can't be acted on here, with the reason.
func (s controlSource) Refused() map[versions.Version]string {
	refused := map[versions.Version]string{}
	for _, r := range s.g.member.Rejected() {
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
	return s.g.member.LeaseState(now) != controlgroup.LeaseHeld
}

// Admissible tells what can be known here of why a version would be turned down.
func (s controlSource) Admissible(doc versions.Doc) error {
	switch {
	case doc.Version == s.Newest().Version:
		return nil
	case len(doc.Text) > documentMost:
		return fmt.Errorf("version %v: %d bytes, at most %d", doc.Version, len(doc.Text), documentMost)
	}
	return s.g.d.checkDocument(s.document, doc.Text)
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
	g := s.g
	messages, err := g.member.Propose(s.document, doc, g.d.loop.Now())
	if err != nil {
		done(err)
		return
	}
	p := proposal{s.document, doc.Version}
	w := g.waiting[p]
	if w == nil {
		w = &waiters{doc: doc}
		g.waiting[p] = w
	}
	w.limit.Stop()
	w.limit = g.d.loop.After(g.d.cfg.Limits.ControlProposalTimeout, func() { g.endProposal(p, g.unanswered()) })
	w.done = append(w.done, done)
	g.client.Send(messages)
}

// unanswered tells why the group has not answered in time.
func (g *controlGroup) unanswered() error {
	if g.client.Replica() == "" {
		return errNoReplica
	}
	return errNoAnswer
}

// endProposals tells who waits what the group has answered.
func (g *controlGroup) endProposals() {
	for _, outcome := range g.member.Outcomes() {
		p := proposal{outcome.Document, outcome.Version}
		switch {
		case strings.HasPrefix(outcome.Error, controlgroup.Unavailable):
			g.d.loop.After(proposeAgain, func() { g.again(p) })
		case outcome.Error != "":
			g.endProposal(p, errors.New(outcome.Error))
		default:
			g.endProposal(p, nil)
		}
	}
}

// again proposes a version once more, as long as somebody waits for it.
func (g *controlGroup) again(p proposal) {
	w := g.waiting[p]
	if w == nil {
		return
	}
	messages, err := g.member.Propose(p.document, w.doc, g.d.loop.Now())
	if err != nil {
		g.endProposal(p, err)
		return
	}
	g.client.Send(messages)
}

func (g *controlGroup) endProposal(p proposal, err error) {
	w := g.waiting[p]
	if w == nil {
		return
	}
	delete(g.waiting, p)
	w.limit.Stop()
	for _, done := range w.done {
		done(err)
	}
}

// failProposals ends all that have no answer yet.
func (g *controlGroup) failProposals(err error) {
	for p := range g.waiting {
		g.endProposal(p, err)
	}
}
