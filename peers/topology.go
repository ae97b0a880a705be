package peers

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxDirectDaemons is the largest fleet in which all daemons report to all others. A larger
	// one returns to that mode when it shrinks to directAgainAt.
	maxDirectDaemons = 24
	directAgainAt    = 16
	// relaysPerHall is the number of relays in each data hall, so that any one may fail.
	relaysPerHall = 2
	// uplinkCount is the number of daemons of its hall that a member reports to: the relays, and
	// the one that takes over when a relay fails.
	uplinkCount = relaysPerHall + 1
	// standbyRoundInterval is the number of rounds between two reports to the standby uplink,
	// which learns from the relays who is alive.
	standbyRoundInterval = 4
	// relayHandOver is how long a relay continues beside a fitter daemon that has just started,
	// until that one has heard from the rest of its hall.
	relayHandOver = 2 * time.Second
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

// CompareFitness orders daemons by fitness to lead: larger machines first, since they can send the
// most, then those that have been running for longest, since they know the fleet best.
func CompareFitness(a, b Identity) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
}

// CompareRelays orders daemons by fitness to relay: larger machines first, then by id. It does not
// use incarnations because daemons may know different ones after a restart of the whole fleet, and
// all must agree on the relays.
func CompareRelays(a, b Identity) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

func compareRelays(a, b *Peer) int { return CompareRelays(a.Identity, b.Identity) }

// layout holds the addresses that a daemon reports to in one round.
type layout struct {
	role Role
	// peers get this daemon's own heartbeat: all others in a small fleet, the relays of the own
	// hall in a larger one.
	peers []string
	// hall gets the reports of a relay within its own hall.
	hall []string
	// otherRelays holds the other relays of the own hall, rank is this daemon's place among the
	// relays.
	otherRelays []string
	rank        int
	// hallRelays holds the identities of the relays of the own hall, except for this daemon.
	hallRelays []Identity
	// otherHalls holds the relays of other halls and any leader there. Relays and leaders report
	// to them.
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

// splitByTurn returns which daemons of its hall get a relay's reports in a round, and which get
// only its heartbeat. Statuses go to all at every second round. Summaries of a large fleet take
// several datagrams, so there each relay sends them to one part of the hall at a time, in turn.
func (l layout) splitByTurn(round int) (full, others []string) {
	if round%2 == 0 || len(l.hall) <= maxDirectDaemons {
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

// newsRecipients returns who gets news of all workers, and which members get the reduced news.
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

// previousRole is a daemon's role before the current round, and when it took it.
type previousRole struct {
	role  Role
	since time.Time
}

// layout computes the addresses to report to.
func (t *Table) layout(now time.Time, previous previousRole, size, round int) layout {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	limit := directAgainAt
	if previous.role == Direct {
		limit = maxDirectDaemons
	}
	expected := t.expected(now)
	if max(size, len(expected)+1) <= limit {
		return layout{role: Direct, peers: rotate(t.addresses(), 2*maxDirectDaemons, round)}
	}
	fittest := append(inHall(expected, t.self.Zone), &Peer{Heartbeat: Heartbeat{Identity: t.self}})
	slices.SortFunc(fittest, compareRelays)
	l := layout{role: Member, otherHalls: t.otherHallAddresses(expected, round)}
	for i, p := range fittest {
		switch {
		case p.ID == t.self.ID && i < relaysPerHall:
			l.role, l.rank = Relay, i
		case p.ID == t.self.ID || i >= uplinkCount:
		case i < relaysPerHall || round%standbyRoundInterval == 0:
			l.peers = append(l.peers, p.Address)
		}
		if p.ID != t.self.ID && i < relaysPerHall {
			l.otherRelays = append(l.otherRelays, p.Address)
			l.hallRelays = append(l.hallRelays, p.Identity)
		}
	}
	if l.role == Member && previous.role == Relay && t.anyNew(l.hallRelays, previous.since, now) {
		l.role = Relay
	}
	if l.role == Relay {
		l.hall = t.hallAddresses(now, round)
	}
	return l
}

// anyNew reports whether one of some daemons became known only recently, to a daemon that had been
// a relay for a while by then. When a whole fleet starts, daemons that mistake themselves for
// relays thus yield at once.
func (t *Table) anyNew(ids []Identity, relaySince, now time.Time) bool {
	return slices.ContainsFunc(ids, func(id Identity) bool {
		p, ok := t.peers[id.ID]
		return ok && now.Sub(p.addedAt) < relayHandOver && p.addedAt.Sub(relaySince) > relayHandOver
	})
}

// expected returns the daemons that are not leaving and are alive or, if never heard yet, assumed
// to be.
func (t *Table) expected(now time.Time) []*Peer {
	all := t.alive(now)
	for _, p := range t.peers {
		if p.lastSeen().IsZero() && now.Sub(p.addedAt) < assumedAliveFor {
			all = append(all, p)
		}
	}
	return slices.DeleteFunc(all, func(p *Peer) bool { return p.Leaving })
}

// inHall returns the daemons of a data hall.
func inHall(all []*Peer, hall string) []*Peer {
	var in []*Peer
	for _, p := range all {
		if p.Zone == hall {
			in = append(in, p)
		}
	}
	return in
}

// addresses returns the addresses of all known daemons.
func (t *Table) addresses() []string {
	all := make([]string, 0, len(t.peers))
	for _, p := range t.peers {
		all = append(all, p.Address)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// hallAddresses returns the daemons of the own hall that a relay reports to: those alive or
// assumed to be, and a few silent ones in turn.
func (t *Table) hallAddresses(now time.Time, round int) []string {
	var living, silent []string
	for _, p := range t.peers {
		switch {
		case p.Zone != t.self.Zone:
		case now.Sub(p.lastSeen()) < reportedAliveTimeout || now.Sub(p.addedAt) < assumedAliveFor:
			living = append(living, p.Address)
		default:
			silent = append(silent, p.Address)
		}
	}
	slices.Sort(living)
	return append(living, rotate(silent, probesPerRound, round)...)
}

// otherHallAddresses returns the fittest daemons of each other hall. If too few of a hall are
// expected to be alive, its known daemons are tried in turn.
func (t *Table) otherHallAddresses(expected []*Peer, round int) []string {
	living := make(map[string][]*Peer)
	known := make(map[string][]string)
	for _, p := range t.peers {
		if p.Zone != t.self.Zone {
			known[p.Zone] = append(known[p.Zone], p.Address)
		}
	}
	var all []string
	for _, p := range expected {
		living[p.Zone] = append(living[p.Zone], p)
		if p.Leads != nil && p.Zone != t.self.Zone {
			all = append(all, p.Address)
		}
	}
	for hall, addresses := range known {
		fittest := living[hall]
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
