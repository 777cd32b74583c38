package controlgroup

import (
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/versions"
)

// Leader decides for the replica that leads: it keeps the table of leases, which is not replicated, and tells what to
// replicate. It is not safe for use by several goroutines. The time given to its methods is that of one monotonic
// clock of the host and never goes back.
//
// The host makes a new one each time its replica is elected, drops it when the replica no longer leads, and passes it
// Renew and Closed from members and followers. It calls Tick every few milliseconds and replicates the commands; it
// applies them to the state as any others. A command that is not seen applied is given again, so one that could not be
// replicated may be dropped. For the renewals it repeats: BeginVerify, a check with a quorum that the replica still
// leads, Verified if that succeeded, and sends the grants.
type Leader struct {
	timing  Timing
	state   *State
	term    uint64
	start   time.Duration
	unknown LeaseLengths // of leases that earlier leaders may have granted
	leases  leaseTable
	queued  map[process]Renew // the last renewal of each process that no batch has
	waiting map[process]Renew // answered without a share, which follows as soon as the process holds its place
	pending pendingCommands
}

// NewLeader returns the decisions of a leader that begins now. The host calls it once a barrier in the log of its own
// term is applied, so that the state has all that earlier leaders have replicated. Replicas may differ in their timing: a
// leader reckons with the longest leases that the state says may be held, and counts its own in there before it grants.
func NewLeader(timing Timing, state *State, term uint64, now time.Duration) *Leader {
	return &Leader{
		timing: timing, state: state, term: term, start: now,
		unknown: state.LeaseBound().longest(timing.GroupLengths()),
		leases:  newLeaseTable(),
		queued:  map[process]Renew{},
		waiting: map[process]Renew{},
		pending: newPendingCommands(),
	}
}

// groupLength is how long the group reckons with a lease from when it granted it.
func (t Timing) groupLength(length time.Duration) time.Duration {
	return length + time.Duration(float64(length)*t.Drift)
}

// memberLength is how long a member counts a lease from when it asked for it.
func (t Timing) memberLength(length time.Duration) time.Duration {
	return length - time.Duration(float64(length)*t.Drift)
}

// Renew takes a renewal of a member, own or relayed. It's answered by Verified. One that is older than another of the
// same process, or comes after the process has ended, is ignored.
func (l *Leader) Renew(r Renew, now time.Duration) {
	p := process{r.Member, r.Incarnation}
	if l.superseded(p) {
		l.queued[p] = r
		return
	}
	entry, known := l.leases.find(p)
	if known && (entry.closed || r.Sequence <= entry.sequence) {
		return
	}
	if !known {
		entry = l.leases.add(p)
	}
	entry.sequence, entry.reports, entry.received = r.Sequence, r.Reports, now
	l.queued[p] = r
	delete(l.waiting, p)
}

// superseded tells that a later process of the member has claimed its place, or that this one has released it.
func (l *Leader) superseded(p process) bool {
	last, held := l.state.Holder(p.member)
	return p.incarnation < last || p.incarnation == last && !held
}

// Closed takes word that a process has ended or has given up its leases: no change waits for it any longer, and its
// place is free.
func (l *Leader) Closed(c Closed, now time.Duration) {
	p := process{c.Member, c.Incarnation}
	entry, known := l.leases.find(p)
	if !known {
		entry = l.leases.add(p)
	}
	entry.closed, entry.received = true, now
	delete(l.queued, p)
	delete(l.waiting, p)
}

// Batch holds the renewals that one check of leadership covers.
type Batch struct{ renewals []Renew }

// Empty tells that there is nothing to answer, and so no check needed.
func (b Batch) Empty() bool { return len(b.renewals) == 0 }

// BeginVerify returns the renewals to answer, those received until now; none before the lengths of this leader's leases are
// replicated. The host calls it before it begins the check
// of leadership: so each was received, and sent, while no later leader had been elected, and every lease granted for
// them has ended by its member's clock before a later leader ceases to reckon with leases that it doesn't know.
func (l *Leader) BeginVerify() Batch {
	if !l.mayGrant() {
		return Batch{}
	}
	for p, r := range l.waiting {
		if l.mayShare(p) {
			l.queued[p] = r
			delete(l.waiting, p)
		}
	}
	var batch Batch
	for _, p := range sortedKeys(l.queued, compareProcesses) {
		batch.renewals = append(batch.renewals, l.queued[p])
	}
	clear(l.queued)
	return batch
}

// Verified grants what can be granted for the renewals of a batch after the check has succeeded. A batch whose check
// has failed is dropped.
func (l *Leader) Verified(b Batch, now time.Duration) []Grant {
	var grants []Grant
	for _, r := range b.renewals {
		if grant, ok := l.grant(r, now); ok {
			grants = append(grants, grant)
		}
	}
	return grants
}

// grant records the leases that a renewal gets before it's told. Their lengths as told are short by the drift already.
func (l *Leader) grant(r Renew, now time.Duration) (Grant, bool) {
	p := process{r.Member, r.Incarnation}
	grant := Grant{Member: r.Member, Incarnation: r.Incarnation, Sequence: r.Sequence, Renewal: l.timing.Renewal, Term: l.term}
	if l.superseded(p) {
		grant.Superseded = true
		return grant, true
	}
	entry, known := l.leases.find(p)
	if !known || entry.closed {
		return Grant{}, false
	}
	if l.actsOnOldest(r.Reports) {
		entry.settingsUntil = now + l.timing.groupLength(l.timing.Settings)
		grant.Settings = l.timing.memberLength(l.timing.Settings)
	}
	if l.mayShare(p) {
		entry.shareUntil = now + l.timing.groupLength(l.timing.Share)
		grant.Share = l.timing.memberLength(l.timing.Share)
	} else if _, newer := l.queued[p]; !newer && r.Sequence == entry.sequence {
		l.waiting[p] = r
	}
	return grant, true
}

// mayShare tells whether a share may be granted to a process: it holds the place, and nothing that is on its way through
// the log will pass it on.
func (l *Leader) mayShare(p process) bool {
	last, held := l.state.Holder(p.member)
	return held && last == p.incarnation && l.pending.claims[p.member] <= p.incarnation
}

// actsOnOldest tells whether reports have the oldest version in force of every document, also once the retirements
// are applied that are on their way through the log.
func (l *Leader) actsOnOldest(reports []Report) bool {
	for _, document := range l.state.Documents() {
		oldest := l.state.InForce(document)[0].Version
		if !reported(reports, document, oldest) {
			return false
		}
		if next, retiring := l.retiring(document); retiring && !reported(reports, document, next.next) {
			return false
		}
	}
	return true
}

// reported tells whether reports have a version.
func reported(reports []Report, document string, version versions.Version) bool {
	return slices.ContainsFunc(reports, func(report Report) bool {
		return report.Document == document && slices.Contains(report.Acting, version)
	})
}

// Status is what a leader tells operators.
type Status struct {
	Term       uint64
	Leases     int           // settings leases held
	Shares     int           // share leases held
	BlindUntil time.Duration // nothing is retired before, as earlier leases may be held; on the clock of the host
	Waiting    []Waiting     // for each document with several versions in force
}

// Waiting tells whom the retirement of a document's oldest version waits for.
type Waiting struct {
	Document string
	Next     versions.Version // which they have not reported
	Members  []MemberID       // sorted
}

// Status tells the leader's view.
func (l *Leader) Status(now time.Duration) Status {
	status := Status{Term: l.term, BlindUntil: l.blindUntil()}
	for _, entry := range l.leases.all() {
		if entry.holdsSettings(now) {
			status.Leases++
		}
		if entry.holdsShare(now) {
			status.Shares++
		}
	}
	for _, document := range l.state.Documents() {
		if inForce := l.state.InForce(document); len(inForce) > 1 {
			next := inForce[1].Version
			status.Waiting = append(status.Waiting, Waiting{document, next, l.without(document, next, now)})
		}
	}
	return status
}

// without returns the members with a settings lease that have not reported a version.
func (l *Leader) without(document string, version versions.Version, now time.Duration) []MemberID {
	var members []MemberID
	for _, entry := range l.leases.all() {
		if entry.holdsSettings(now) && !reported(entry.reports, document, version) {
			members = append(members, entry.member)
		}
	}
	return slices.Compact(members)
}
