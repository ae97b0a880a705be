package peers

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxDirectDaemons is the number of daemons up to which all report to all others. A fleet that
	// has grown beyond it returns to that mode when it shrinks to directReturnSize daemons.
	maxDirectDaemons = 24
	directReturnSize = 16
	// relaysPerHall is the number of relays in each data hall, so that any one may fail.
	relaysPerHall = 2
	// uplinkCount is the number of daemons of its hall that a member reports to. These are the
	// relays, and a standby that takes over when a relay fails.
	uplinkCount = relaysPerHall + 1
	// maxSmallHall is the number of other daemons in a hall up to which relays send all of them
	// summaries in each round.
	maxSmallHall = 36
	// roundsPerStandbyReport is the number of rounds after which a member reports to the standby
	// again.
	roundsPerStandbyReport = 4
	// relayHandOverPeriod is how long a relay continues after a fitter daemon of its hall becomes
	// known. In that time the fitter one receives heartbeats from the rest of the hall.
	relayHandOverPeriod = 2 * time.Second
	// probesPerRound is the number of silent daemons that a relay probes in each round.
	probesPerRound = 2
)

// Role is a daemon's role in forwarding reports.
type Role int

// The roles of a daemon.
const (
	// Direct daemons report to all others.
	Direct Role = iota
	// Member daemons report to the relays of their data hall.
	Member
	// Relay daemons forward reports within their data hall and between data halls.
	Relay
)

// String returns the role's name for logs and metrics.
func (r Role) String() string {
	switch r {
	case Direct:
		return "direct"
	case Member:
		return "member"
	case Relay:
		return "relay"
	}
	return "unknown"
}

// CompareFitness orders daemons by fitness to lead. Larger machines come first, because they can
// send the most. Among equal ones, daemons that started earlier come first.
func CompareFitness(a, b Identity) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
}

// CompareRelays orders daemons by fitness to relay. Larger machines come first; equal ones are
// ordered by id. Incarnations are not used because all daemons must agree on the relays, and after
// a restart of the fleet they may know different incarnations.
func CompareRelays(a, b Identity) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

func compareRelays(a, b *Peer) int { return CompareRelays(a.Identity, b.Identity) }

// layout holds the addresses that a daemon reports to in one round.
type layout struct {
	role Role
	// peers holds the recipients of this daemon's own heartbeat. In a small fleet these are all
	// others, in a larger one the relays and the standby of the own hall.
	peers []string
	// hall holds the daemons of a relay's own hall that it sends reports to.
	hall []string
	// otherRelays holds the other relays of the own hall. rank is a relay's index among the relays
	// of its hall, fittest first.
	otherRelays []string
	rank        int
	// hallRelays holds the identities of the relays of the own hall, except for this daemon.
	hallRelays []Identity
	// otherHalls holds the relays and any leader in other halls. Relays and leaders report to them.
	otherHalls []string
}

// recipients returns all addresses that get this daemon's own heartbeat.
func (l layout) recipients(leads bool) []string {
	all := slices.Clone(l.hall)
	if l.role != Relay {
		// The peers of a relay are in its hall.
		all = append(all, l.peers...)
	}
	if leads || l.role == Relay {
		all = append(all, l.otherHalls...)
	}
	return all
}

// isSmallHall reports whether a relay's hall is so small that all its daemons get the summary of
// the fleet in each round. Daemons then choose replicas by newer loads.
func (l layout) isSmallHall() bool { return len(l.hall) <= maxSmallHall }

// sendsSummary reports whether a relay sends summaries in a round, of the fleet within its hall and
// of its hall to the relays of others.
func (l layout) sendsSummary(round int) bool { return round%2 != 0 || l.isSmallHall() }

// splitByTurn splits the daemons of a relay's hall in two for a round. Those in full get its
// reports, the others only its heartbeat. In even rounds all get the reports, which then hold
// statuses. In odd rounds of a large hall the relays divide the daemons among them, because
// summaries may take several datagrams.
func (l layout) splitByTurn(round int) (full, others []string) {
	if round%2 == 0 || l.isSmallHall() {
		return l.hall, nil
	}
	for i, address := range l.hall {
		if (i+round/2+l.rank)%relaysPerHall == 0 || slices.Contains(l.otherRelays, address) {
			full = append(full, address)
			continue
		}
		others = append(others, address)
	}
	return full, others
}

// newsRecipients returns the addresses that get all news, and those of the members that get only
// the news for members.
func (l layout) newsRecipients(leads bool) (complete, members []string) {
	if l.role != Relay {
		return l.recipients(leads), nil
	}
	if leads {
		complete = slices.Clone(l.otherHalls)
	}
	for _, address := range l.hall {
		if slices.Contains(l.otherRelays, address) {
			complete = append(complete, address)
			continue
		}
		members = append(members, address)
	}
	return complete, members
}

// previousRole is a daemon's role before the current round, and the time when that role began.
type previousRole struct {
	role  Role
	since time.Time
}

// layout computes the addresses to report to. fleetSize is the number of daemons in the fleet,
// round the number of the current round.
func (t *Table) layout(now time.Time, previous previousRole, fleetSize, round int) layout {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetSilent(now)
	limit := directReturnSize
	if previous.role == Direct {
		limit = maxDirectDaemons
	}
	expected := t.expectedAlive(now)
	if max(fleetSize, len(expected)+1) <= limit {
		return layout{role: Direct, peers: rotate(t.allAddresses(), 2*maxDirectDaemons, round)}
	}
	fittest := append(peersInHall(expected, t.self.Zone), &Peer{Heartbeat: Heartbeat{Identity: t.self}})
	slices.SortFunc(fittest, compareRelays)
	l := layout{role: Member, otherHalls: t.otherHallAddresses(expected, round)}
	for i, p := range fittest {
		switch {
		case p.ID == t.self.ID && i < relaysPerHall:
			l.role, l.rank = Relay, i
		case p.ID == t.self.ID || i >= uplinkCount:
		case i < relaysPerHall || round%roundsPerStandbyReport == 0:
			l.peers = append(l.peers, p.Address)
		}
		if p.ID != t.self.ID && i < relaysPerHall {
			l.otherRelays = append(l.otherRelays, p.Address)
			l.hallRelays = append(l.hallRelays, p.Identity)
		}
	}
	if l.role == Member && previous.role == Relay && t.hasNewRelay(l.hallRelays, previous.since, now) {
		l.role = Relay
	}
	if l.role == Relay {
		l.hall = t.hallAddresses(now, round)
	}
	return l
}

// hasNewRelay reports whether one of the relays became known within the last relayHandOverPeriod.
// Relays that became known less than relayHandOverPeriod after this daemon became a relay itself
// are ignored. When a whole fleet starts, all relays are new, and a daemon that wrongly took the
// relay role must give it up at once, without a hand-over period.
func (t *Table) hasNewRelay(relays []Identity, relaySince, now time.Time) bool {
	return slices.ContainsFunc(relays, func(id Identity) bool {
		p, ok := t.peers[id.ID]
		return ok && now.Sub(p.addedAt) < relayHandOverPeriod && p.addedAt.Sub(relaySince) > relayHandOverPeriod
	})
}

// expectedAlive returns the daemons that are alive or assumed to be, except for those that are
// leaving. Daemons that became known a moment ago are assumed to be alive.
func (t *Table) expectedAlive(now time.Time) []*Peer {
	all := t.alive(now)
	for _, p := range t.peers {
		if p.lastSeen().IsZero() && now.Sub(p.addedAt) < assumedAliveTimeout {
			all = append(all, p)
		}
	}
	return slices.DeleteFunc(all, func(p *Peer) bool { return p.Leaving })
}

// peersInHall returns the peers that belong to a data hall.
func peersInHall(all []*Peer, hall string) []*Peer {
	var in []*Peer
	for _, p := range all {
		if p.Zone == hall {
			in = append(in, p)
		}
	}
	return in
}

// allAddresses returns the addresses of all known daemons.
func (t *Table) allAddresses() []string {
	all := make([]string, 0, len(t.peers))
	for _, p := range t.peers {
		all = append(all, p.Address)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// hallAddresses returns the addresses in its own hall that a relay reports to. These are the
// daemons alive or assumed to be, and a few silent ones in turn.
func (t *Table) hallAddresses(now time.Time, round int) []string {
	var alive, silent []string
	for _, p := range t.peers {
		switch {
		case p.Zone != t.self.Zone:
		case now.Sub(p.lastSeen()) < reportedAliveTimeout || now.Sub(p.addedAt) < assumedAliveTimeout:
			alive = append(alive, p.Address)
		default:
			silent = append(silent, p.Address)
		}
	}
	slices.Sort(alive)
	return append(alive, rotate(silent, probesPerRound, round)...)
}

// otherHallAddresses returns the addresses of the relays and any leader in other halls. If fewer
// than relaysPerHall daemons of a hall are expected to be alive, it adds some of the hall's known
// daemons in turn.
func (t *Table) otherHallAddresses(expected []*Peer, round int) []string {
	alive := make(map[string][]*Peer)
	known := make(map[string][]string)
	for _, p := range t.peers {
		if p.Zone != t.self.Zone {
			known[p.Zone] = append(known[p.Zone], p.Address)
		}
	}
	var all []string
	for _, p := range expected {
		alive[p.Zone] = append(alive[p.Zone], p)
		if p.OwnClaim != nil && p.Zone != t.self.Zone {
			all = append(all, p.Address)
		}
	}
	for hall, addresses := range known {
		fittest := alive[hall]
		slices.SortFunc(fittest, compareRelays)
		for _, p := range fittest[:min(len(fittest), relaysPerHall)] {
			all = append(all, p.Address)
		}
		if len(fittest) < relaysPerHall {
			all = append(all, rotate(addresses, relaysPerHall, round)...)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// rotate returns up to limit of the addresses, different ones in each round.
func rotate(addresses []string, limit, round int) []string {
	if len(addresses) <= limit {
		return addresses
	}
	slices.Sort(addresses)
	chosen := make([]string, 0, limit)
	for i := range limit {
		chosen = append(chosen, addresses[(round*limit+i)%len(addresses)])
	}
	return chosen
}
