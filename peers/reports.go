package peers

import (
	"slices"
	"time"
)

const (
	// maxReportedDaemons limits how many daemons of its hall a relay reports on, fittest first. It
	// bounds the datagrams of each status round in large halls, matches the number of addresses
	// that callers take from one response, and includes the next relays.
	maxReportedDaemons = 64
	// statusesPerDatagram limits the daemons reported on in one datagram: an encoded status takes
	// about ten bytes.
	statusesPerDatagram = 80
	// identitiesPerRound is the number of identities that a relay forwards in a round.
	identitiesPerRound = 4
	// newPeerPeriod is how long a daemon counts as new; identities of new daemons are forwarded
	// first.
	newPeerPeriod = 3 * time.Second
)

// hallMessages returns a relay's messages within its hall for a round: alternately the daemons
// that it hears and the work of all daemons.
func (a *Agent) hallMessages(own *Heartbeat, now time.Time, round int) []*message {
	if round%2 == 0 {
		return a.statusMessages(own, now, round)
	}
	return a.summaryMessages(own, a.fleetSummary(own, now), func(m *message, s *Summary) { m.Fleet = s })
}

// crossHallMessages returns a relay's messages to relays of other halls for a round.
func (a *Agent) crossHallMessages(own *Heartbeat, now time.Time, round int) []*message {
	if round%2 == 0 {
		return []*message{a.newMessage(own)}
	}
	return a.summaryMessages(own, a.hallSummary(own, now), func(m *message, s *Summary) { m.Hall = s })
}

// newMessage returns a message with a heartbeat, which may be nil.
func (a *Agent) newMessage(own *Heartbeat) *message {
	return &message{ID: a.opts.Self.ID, Incarnation: a.opts.Self.Incarnation, Heartbeat: own}
}

func (a *Agent) summaryMessages(own *Heartbeat, s Summary, put func(m *message, s *Summary)) []*message {
	var all []*message
	for i, part := range s.split() {
		m := a.newMessage(nil)
		if i == 0 {
			m.Heartbeat = own
		}
		put(m, &part)
		all = append(all, m)
	}
	return all
}

func (a *Agent) statusMessages(own *Heartbeat, now time.Time, round int) []*message {
	heard := a.table.heardRecently(now)
	first := a.newMessage(own)
	first.Known = selectIdentities(heard, now, round)
	heard = selectReported(heard, a.opts.Self.Zone)
	all := []*message{first}
	for len(heard) > 0 {
		n := min(len(heard), statusesPerDatagram)
		m := all[len(all)-1]
		for _, p := range heard[:n] {
			m.Statuses = append(m.Statuses, Status{
				ID: p.ID, ShortIncarnation: shortIncarnation(p.Incarnation), Ready: p.Ready, Leaving: p.Leaving, Age: now.Sub(p.HeardAt).Milliseconds(),
			})
		}
		if heard = heard[n:]; len(heard) > 0 {
			all = append(all, a.newMessage(nil))
		}
	}
	return all
}

// selectReported returns the daemons that a relay reports on: all that are leaving, to which
// callers must not be sent, and the fittest of its hall that stay. All daemons heard from other
// halls are included.
func selectReported(heard []*Peer, hall string) []*Peer {
	var all, staying []*Peer
	for _, p := range heard {
		if p.Leaving || p.Zone != hall {
			all = append(all, p)
			continue
		}
		staying = append(staying, p)
	}
	slices.SortFunc(staying, compareRelays)
	return append(all, staying[:min(len(staying), maxReportedDaemons)]...)
}

// heardRecently returns the daemons heard directly within aliveTimeout, sorted by id.
func (t *Table) heardRecently(now time.Time) []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*Peer
	for _, p := range t.alive(now) {
		if t.isHeard(p, now) {
			all = append(all, p)
		}
	}
	return all
}

// selectIdentities returns a few identities: those of new daemons if there are any, otherwise of
// all in turn.
func selectIdentities(heard []*Peer, now time.Time, round int) []Identity {
	var candidates []*Peer
	for _, p := range heard {
		if now.Sub(p.addedAt) < newPeerPeriod {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		candidates = heard
	}
	var selected []Identity
	for i := range min(identitiesPerRound, len(candidates)) {
		identity := candidates[(round/2*identitiesPerRound+i)%len(candidates)].Identity
		// Daemons that need these get them from its own heartbeats.
		identity.Format, identity.Build = Format{}, ""
		selected = append(selected, identity)
	}
	return selected
}
