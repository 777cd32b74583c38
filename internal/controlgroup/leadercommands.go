package controlgroup

import (
	"cmp"
	"time"

	"ferryfront.example/ferryfront/internal/versions"
)

// retirement is one that the leader has decided on.
type retirement struct {
	last versions.Version // the newest that is retired
	next versions.Version // the oldest that stays
}

// pendingCommands are those that the leader has given to its host and not seen applied. They may be applied at any
// time, so a decision made is never taken back, and grants reckon with it.
type pendingCommands struct {
	retirements map[string]retirement     // by document
	claims      map[MemberID]Incarnation  // the highest of each member
	given       map[Command]time.Duration // when each was last given
}

func newPendingCommands() pendingCommands {
	return pendingCommands{
		retirements: map[string]retirement{},
		claims:      map[MemberID]Incarnation{},
		given:       map[Command]time.Duration{},
	}
}

// Tick returns the commands to replicate: the lengths of leases, versions to retire, places to release and to claim.
func (l *Leader) Tick(now time.Duration) []Command {
	l.forget(now)
	wanted := l.boundLeases(now)
	wanted = append(wanted, l.retirements(now)...)
	wanted = append(wanted, l.releases()...)
	wanted = append(wanted, l.claims(now)...)
	return l.pending.due(wanted, now, l.timing.Renewal)
}

// due returns those of the commands wanted that were not given lately.
func (p *pendingCommands) due(wanted []Command, now, again time.Duration) []Command {
	given := make(map[Command]time.Duration, len(wanted))
	var due []Command
	for _, command := range wanted {
		at, before := p.given[command]
		if !before || now-at >= again {
			at = now
			due = append(due, command)
		}
		given[command] = at
	}
	p.given = given
	return due
}

// forget drops what is of no further use: the processes that can have no lease and were not heard of for long, and the
// renewals that wait for a place too long.
func (l *Leader) forget(now time.Duration) {
	l.leases.removeIf(func(e *leaseEntry) bool {
		last, held := l.state.Holder(e.member)
		toRelease := e.closed && held && last == e.incarnation
		return !toRelease && now >= e.settingsUntil && now >= e.shareUntil &&
			now-e.received > l.timing.groupLength(l.timing.Share)
	})
	for p := range l.waiting {
		if entry, known := l.leases.find(p); !known || now-entry.received > l.timing.Renewal {
			delete(l.waiting, p)
		}
	}
}

// blindUntil is when the settings leases have run out that earlier leaders may have granted.
func (l *Leader) blindUntil() time.Duration { return l.start + l.unknown.Settings }

// retirements returns those that are decided on and not applied yet.
func (l *Leader) retirements(now time.Duration) []Command {
	var wanted []Command
	for _, document := range l.state.Documents() {
		decided, ok := l.retiring(document)
		if !ok {
			decided, ok = l.retire(document, now)
		}
		if ok {
			l.pending.retirements[document] = decided
			wanted = append(wanted, RetireVersion{document, decided.last})
		}
	}
	return wanted
}

// retiring returns the retirement of a document that is decided on and not applied yet.
func (l *Leader) retiring(document string) (retirement, bool) {
	decided, ok := l.pending.retirements[document]
	if ok && indexOf(l.state.InForce(document), decided.last) < 0 {
		delete(l.pending.retirements, document)
		return retirement{}, false
	}
	return decided, ok
}

// retire decides which versions of a document are to go: all before the newest that every member with a lease has
// reported. That may pass over a version which some member rejects.
func (l *Leader) retire(document string, now time.Duration) (retirement, bool) {
	if now < l.blindUntil() {
		return retirement{}, false
	}
	inForce := l.state.InForce(document)
	for i := len(inForce) - 1; i > 0; i-- {
		if len(l.without(document, inForce[i].Version, now)) == 0 {
			return retirement{last: inForce[i-1].Version, next: inForce[i].Version}, true
		}
	}
	return retirement{}, false
}

// releases returns those of the processes that are known to have ended and still hold their place.
func (l *Leader) releases() []Command {
	var wanted []Command
	for _, entry := range l.leases.all() {
		if last, held := l.state.Holder(entry.member); entry.closed && held && last == entry.incarnation {
			wanted = append(wanted, ReleasePlace{entry.member, entry.incarnation})
		}
	}
	return wanted
}

// claims returns those that are decided on and not applied yet.
func (l *Leader) claims(now time.Duration) []Command {
	for _, entry := range l.leases.all() {
		if l.asks(entry, now) && l.isFree(entry.member, now) {
			l.pending.claims[entry.member] = max(l.pending.claims[entry.member], entry.incarnation)
		}
	}
	var wanted []Command
	for _, member := range sortedKeys(l.pending.claims, cmp.Compare[MemberID]) {
		incarnation := l.pending.claims[member]
		if last, _ := l.state.Holder(member); last >= incarnation {
			delete(l.pending.claims, member)
			continue
		}
		wanted = append(wanted, ClaimPlace{member, incarnation})
	}
	return wanted
}

// asks tells whether a process wants the place of its member and was heard lately.
func (l *Leader) asks(entry *leaseEntry, now time.Duration) bool {
	last, _ := l.state.Holder(entry.member)
	return !entry.closed && entry.incarnation > last && now-entry.received <= l.timing.Settings
}

// isFree tells whether no process can hold a share by the place of a member any more. A holder that this leader has
// granted none may have one of an earlier leader.
func (l *Leader) isFree(member MemberID, now time.Duration) bool {
	last, held := l.state.Holder(member)
	if !held {
		return true
	}
	until := l.start + l.unknown.Share
	if entry, known := l.leases.find(process{member, last}); known {
		if entry.closed {
			return true
		}
		until = max(until, entry.shareUntil)
	}
	return now >= until
}
