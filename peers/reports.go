package peers

import (
	"slices"
	"time"
)

const (
	// reportedMost is how many daemons of its hall a relay reports on, the fittest first:
	// callers take as many addresses from one answer, and the next relays are among them.
	// Of a hall of 197 each status round is one datagram to each member rather than three,
	// and the requests of a hall come to these, who keep more connections and know more.
	reportedMost = 64
	// statusesPerDatagram bounds the daemons that one datagram reports on: packed
	// and deflated, one takes about ten bytes.
	statusesPerDatagram = 80
	// knownPerRound is how many identities a relay passes on in a round: those of
	// all 60 daemons of a hall within some six seconds from one relay.
	knownPerRound = 4
	// newFor is how long a daemon counts as new, so that its identity is passed on
	// before those of others.
	newFor = 3 * time.Second
)

// hallMessages returns what a relay passes on within its hall in a round: by
// turns whom it hears, and the work of all daemons.
func (a *Agent) hallMessages(own *Heartbeat, now time.Time, round int) []*message {
	if round%2 == 0 {
		return a.statusMessages(own, now, round)
	}
	return a.summaryMessages(own, a.fleetSummary(own, now), func(m *message, s *Summary) { m.Fleet = s })
}

// acrossMessages returns what a relay tells those of other halls in a round.
func (a *Agent) acrossMessages(own *Heartbeat, now time.Time, round int) []*message {
	if round%2 == 0 {
		return []*message{a.message(own)}
	}
	return a.summaryMessages(own, a.hallSummary(own, now), func(m *message, s *Summary) { m.Hall = s })
}

// message returns a message that holds a heartbeat, or none if it is nil.
func (a *Agent) message(own *Heartbeat) *message {
	return &message{ID: a.opts.Self.ID, Incarnation: a.opts.Self.Incarnation, Heartbeat: own}
}

func (a *Agent) summaryMessages(own *Heartbeat, s Summary, put func(m *message, s *Summary)) []*message {
	var all []*message
	for i, part := range s.parts() {
		m := a.message(nil)
		if i == 0 {
			m.Heartbeat = own
		}
		put(m, &part)
		all = append(all, m)
	}
	return all
}

func (a *Agent) statusMessages(own *Heartbeat, now time.Time, round int) []*message {
	heard := a.table.heardOfLate(now)
	first := a.message(own)
	first.Known = someKnown(heard, now, round)
	heard = reported(heard, a.opts.Self.Zone)
	all := []*message{first}
	for len(heard) > 0 {
		n := min(len(heard), statusesPerDatagram)
		m := all[len(all)-1]
		for _, p := range heard[:n] {
			m.Statuses = append(m.Statuses, Status{
				ID: p.ID, Life: lifeOf(p.Incarnation), Ready: p.Ready, Leaving: p.Leaving, Age: now.Sub(p.HeardAt).Milliseconds(),
			})
		}
		if heard = heard[n:]; len(heard) > 0 {
			all = append(all, a.message(nil))
		}
	}
	return all
}

// reported returns the daemons that a relay reports on: all that leave, which callers must
// not be sent to, and the fittest of its hall that stay. Daemons of other halls are named as
// far as they are heard.
func reported(heard []*Peer, hall string) []*Peer {
	var all, staying []*Peer
	for _, p := range heard {
		if p.Leaving || p.Zone != hall {
			all = append(all, p)
			continue
		}
		staying = append(staying, p)
	}
	slices.SortFunc(staying, compareRelays)
	return append(all, staying[:min(len(staying), reportedMost)]...)
}

// heardOfLate returns the daemons that were themselves heard of late, sorted by id.
func (t *Table) heardOfLate(now time.Time) []*Peer {
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

// someKnown returns a few identities: of new daemons as long as there are any, and
// of others by turns.
func someKnown(heard []*Peer, now time.Time, round int) []Identity {
	var fresh []*Peer
	for _, p := range heard {
		if now.Sub(p.addedAt) < newFor {
			fresh = append(fresh, p)
		}
	}
	if len(fresh) == 0 {
		fresh = heard
	}
	var some []Identity
	for i := range min(knownPerRound, len(fresh)) {
		identity := fresh[(round/2*knownPerRound+i)%len(fresh)].Identity
		// Its own heartbeats tell these to all that need them.
		identity.Format, identity.Build = Format{}, ""
		some = append(some, identity)
	}
	return some
}
