package controlgroup

import (
	"math"
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/versions"
)

// proposalRetry is after how long an unanswered proposal is sent again: a lost leader may have taken it along. A
// version that is in force already is accepted again.
const proposalRetry = time.Second

// ProposeOutcome is what became of a proposal. An error that says the version is older may also mean that it was in
// force meanwhile and is retired, and the first answer was lost.
type ProposeOutcome struct {
	Document string
	Version  versions.Version
	Error    string // empty: the version is in force
}

// proposals are those of a member that are not answered, in order, and what became of others.
type proposals struct {
	last     uint64 // request
	open     []openProposal
	outcomes []ProposeOutcome
}

type openProposal struct {
	message Propose
	sent    time.Duration
}

// add takes a proposal, unless the same version is open already.
func (p *proposals) add(proposed ProposeVersion, now time.Duration) (Propose, bool) {
	if slices.ContainsFunc(p.open, func(o openProposal) bool {
		return o.message.Document == proposed.Document && o.message.Version == proposed.Version
	}) {
		return Propose{}, false
	}
	p.last++
	message := Propose{p.last, proposed.Document, proposed.Version, proposed.Text}
	p.open = append(p.open, openProposal{message, now})
	return message, true
}

// all returns every open proposal, for a new connection.
func (p *proposals) all(now time.Duration) []Message {
	var out []Message
	for i := range p.open {
		p.open[i].sent = now
		out = append(out, p.open[i].message)
	}
	return out
}

// due returns those to send again.
func (p *proposals) due(now time.Duration) []Message {
	var out []Message
	for i := range p.open {
		if now-p.open[i].sent >= proposalRetry {
			p.open[i].sent = now
			out = append(out, p.open[i].message)
		}
	}
	return out
}

// next is when the next is due.
func (p *proposals) next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, open := range p.open {
		next = min(next, open.sent+proposalRetry)
	}
	return next
}

func (p *proposals) answered(result ProposeResult) {
	at := slices.IndexFunc(p.open, func(o openProposal) bool { return o.message.Request == result.Request })
	if at < 0 {
		return
	}
	message := p.open[at].message
	p.open = slices.Delete(p.open, at, at+1)
	p.outcomes = append(p.outcomes, ProposeOutcome{message.Document, message.Version, result.Error})
}

func (p *proposals) takeOutcomes() []ProposeOutcome {
	outcomes := p.outcomes
	p.outcomes = nil
	return outcomes
}
