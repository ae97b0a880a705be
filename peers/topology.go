package peers

import (
	"cmp"
	"slices"
	"time"
)

const (
	// directMost is how many daemons a fleet has at most in which all report to
	// all; directAgain is at how many a larger one returns to that. With 24 daemons a
	// round of heartbeats is as many datagrams as a relay sends for a hall of 24.
	directMost  = 24
	directAgain = 16
	// relaysPerHall is how many daemons of a data hall pass reports on, so that
	// one may fail at any moment.
	relaysPerHall = 2
	// uplinks is how many daemons of their hall others report to: the relays, and
	// the one that takes over when one of them fails.
	uplinks = relaysPerHall + 1
	// standbyRounds is how seldom the third uplink is told, in rounds: it knows from the
	// relays who lives, and is told in each round once it relays.
	standbyRounds = 4
	// handOver is for how long a relay goes on relaying beside a fitter daemon whose life has
	// just begun: that one knows whom the member list names, and hears of the rest of its
	// hall within a second.
	handOver = 2 * time.Second
	// probes is how many silent daemons a relay tries in each round.
	probes = 2
)

// Role is a daemon's part in passing reports on.
type Role int

// The roles.
const (
	// Direct daemons report to all others.
	Direct Role = iota
	// Member daemons report to the relays of their data hall.
	Member
	// Relay daemons pass reports on within their data hall and between halls.
	Relay
)

// String returns the role's name in logs and counters.
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

// CompareFitness orders daemons by how fit they are to lead: those on larger machines come
// first, since they send the most, and among equals those that run the longest, since they
// know the fleet best.
func CompareFitness(a, b Identity) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
}

// CompareRelays orders daemons by how fit they are to relay: those on larger machines come
// first, and the order of equals is the same in all their lives. After the end of all daemons
// the member list holds former lives, and each daemon knows the new life of itself alone:
// ordered by incarnations, 986 daemons did not agree on who relays, and 1,770 calls read the
// list of workers where 70 do.
func CompareRelays(a, b Identity) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

func compareRelays(a, b *Peer) int { return CompareRelays(a.Identity, b.Identity) }

// layout is whom a daemon reports to in one round, by address.
type layout struct {
	role Role
	// peers get what this daemon reports of itself: all others of a small fleet,
	// the relays of the own hall in a larger one.
	peers []string
	// hall gets what a relay passes on within its own hall.
	hall []string
	// fellows holds the other relays of the own hall, rank is the own place among them.
	fellows []string
	rank    int
	// relays holds those of the own hall, where this daemon is a member.
	relays []Identity
	// across holds the relays of other halls, and a leader that is none: relays and
	// leaders report to them.
	across []string
}

// reached returns all whom a daemon reports to itself.
func (l layout) reached(leads bool) []string {
	all := slices.Clone(l.hall)
	if l.role != Relay {
		// The peers of a relay are in its hall.
		all = append(all, l.peers...)
	}
	if leads || l.role == Relay {
		all = append(all, l.across...)
	}
	return all
}

// inTurn returns which daemons of its hall a relay reports to in a round, and which get its
// heartbeat alone. Statuses go to all at each second round. The work of all daemons is
// several datagrams in a large fleet; there each of the relays tells half of the hall at a
// time, so that a member hears it from one of them each 0.4 s, and each 0.8 s while one is
// gone.
func (l layout) inTurn(round int) (told, others []string) {
	if round%2 == 0 || len(l.hall) <= directMost {
		return l.hall, nil
	}
	for i, address := range l.hall {
		if (i+round/2+l.rank)%relaysPerHall == 0 || slices.Contains(l.fellows, address) {
			told = append(told, address)
			continue
		}
		others = append(others, address)
	}
	return told, others
}

// audience returns who gets news of all workers, and which members get news of their own.
func (l layout) audience(leads bool) (complete, members []string) {
	if l.role != Relay {
		return l.reached(leads), nil
	}
	if leads {
		complete = slices.Clone(l.across)
	}
	for _, address := range l.hall {
		if slices.Contains(l.fellows, address) {
			complete = append(complete, address)
			continue
		}
		members = append(members, address)
	}
	return complete, members
}

// standing is the part that a daemon had until now, and since when.
type standing struct {
	role  Role
	since time.Time
}

// layout returns whom to report to.
func (t *Table) layout(now time.Time, before standing, size, round int) layout {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	limit := directAgain
	if before.role == Direct {
		limit = directMost
	}
	expected := t.expected(now)
	if max(size, len(expected)+1) <= limit {
		return layout{role: Direct, peers: inTurn(t.addresses(), 2*directMost, round)}
	}
	fittest := append(inHall(expected, t.self.Zone), &Peer{Heartbeat: Heartbeat{Identity: t.self}})
	slices.SortFunc(fittest, compareRelays)
	l := layout{role: Member, across: t.acrossAddresses(expected, round)}
	for i, p := range fittest {
		switch {
		case p.ID == t.self.ID && i < relaysPerHall:
			l.role, l.rank = Relay, i
		case p.ID == t.self.ID || i >= uplinks:
		case i < relaysPerHall || round%standbyRounds == 0:
			l.peers = append(l.peers, p.Address)
		}
		if p.ID != t.self.ID && i < relaysPerHall {
			l.fellows = append(l.fellows, p.Address)
			l.relays = append(l.relays, p.Identity)
		}
	}
	if l.role == Member && before.role == Relay && t.isNew(l.relays, before.since, now) {
		l.role = Relay
	}
	if l.role == Relay {
		l.hall = t.hallAddresses(now, round)
	}
	return l
}

// isNew reports whether the life of one of some daemons has just become known to one that has
// relayed for a while by then. In a start of all, many take themselves for relays until they
// know of fitter ones, and yield at once.
func (t *Table) isNew(some []Identity, relaying, now time.Time) bool {
	return slices.ContainsFunc(some, func(id Identity) bool {
		p, ok := t.peers[id.ID]
		return ok && now.Sub(p.addedAt) < handOver && p.addedAt.Sub(relaying) > handOver
	})
}

// expected returns the daemons that stay and are alive, or may be though they
// were not heard yet.
func (t *Table) expected(now time.Time) []*Peer {
	all := t.alive(now)
	for _, p := range t.peers {
		if p.lastSign().IsZero() && now.Sub(p.addedAt) < expectFor {
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

// addresses returns the addresses of all daemons that are known.
func (t *Table) addresses() []string {
	all := make([]string, 0, len(t.peers))
	for _, p := range t.peers {
		all = append(all, p.Address)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// hallAddresses returns the daemons of the own hall that a relay passes reports
// on to: those that live or may, and in turns those that fell silent.
func (t *Table) hallAddresses(now time.Time, round int) []string {
	var living, silent []string
	for _, p := range t.peers {
		switch {
		case p.Zone != t.self.Zone:
		case now.Sub(p.lastSign()) < reportedFor || now.Sub(p.addedAt) < expectFor:
			living = append(living, p.Address)
		default:
			silent = append(silent, p.Address)
		}
	}
	slices.Sort(living)
	return append(living, inTurn(silent, probes, round)...)
}

// acrossAddresses returns the fittest daemons of each other hall. Where none is
// expected to live, those that are known are tried in turns.
func (t *Table) acrossAddresses(expected []*Peer, round int) []string {
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
			all = append(all, inTurn(addresses, relaysPerHall, round)...)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// inTurn returns a few of the addresses, others in each round.
func inTurn(all []string, most, round int) []string {
	if len(all) <= most {
		return all
	}
	slices.Sort(all)
	chosen := make([]string, 0, most)
	for i := range most {
		chosen = append(chosen, all[(round*most+i)%len(all)])
	}
	return chosen
}
