package peers

import (
	"slices"
	"time"
)

const (
	// maxReportedDaemons limits how many daemons of its hall a relay reports on, fittest first. It
	// keeps the reports small in large halls.
	maxReportedDaemons = 64
	// statusesPerDatagram is the maximum number of statuses in one datagram. An encoded status
	// takes about ten bytes.
	statusesPerDatagram = 80
	// identitiesPerRound is the number of identities that a relay forwards in a round.
	identitiesPerRound = 4
	// newPeerPeriod is how long a daemon counts as new after it became known. Relays forward the
	// identities of new daemons first.
	newPeerPeriod = 3 * time.Second
)

// hallMessages returns the messages that a relay sends within its hall in a round. Even rounds
// report on single daemons.
func (a *Agent) hallMessages(own *Heartbeat, now time.Time, round int, withSummary bool) []*message {
	var all []*message
	carried := own
	if round%2 == 0 {
		all, carried = a.statusMessages(own, now, round), nil
	}
	if withSummary {
		all = append(all, a.summaryMessages(carried, a.fleetSummary(own, now), func(m *message, s *Summary) { m.Fleet = s })...)
	}
	return all
}

// crossHallMessages returns the messages that a relay sends to relays of other halls in a round.
func (a *Agent) crossHallMessages(own *Heartbeat, now time.Time, withSummary bool) []*message {
	if !withSummary {
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
	senders := a.table.recentSenders(now)
	first := a.newMessage(own)
	first.Identities = selectIdentities(senders, now, round)
	senders = selectReported(senders, a.opts.Self.Zone)
	all := []*message{first}
	for len(senders) > 0 {
		n := min(len(senders), statusesPerDatagram)
		m := all[len(all)-1]
		for _, p := range senders[:n] {
			m.Statuses = append(m.Statuses, Status{
				ID: p.ID, ShortIncarnation: shortIncarnation(p.Incarnation), Ready: p.Ready, Leaving: p.Leaving, Age: now.Sub(p.LastHeartbeatAt).Milliseconds(),
			})
		}
		if senders = senders[n:]; len(senders) > 0 {
			all = append(all, a.newMessage(nil))
		}
	}
	return all
}

// selectReported returns the daemons that a relay reports on. These are all of other halls, all
// that are leaving, and the fittest of its hall among the rest.
func selectReported(senders []*Peer, hall string) []*Peer {
	var all, staying []*Peer
	for _, p := range senders {
		if p.Leaving || p.Zone != hall {
			all = append(all, p)
			continue
		}
		staying = append(staying, p)
	}
	slices.SortFunc(staying, compareRelays)
	return append(all, staying[:min(len(staying), maxReportedDaemons)]...)
}

// recentSenders returns the daemons whose heartbeats were received within aliveTimeout, sorted by
// id.
func (t *Table) recentSenders(now time.Time) []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*Peer
	for _, p := range t.alive(now) {
		if t.hasRecentHeartbeat(p, now) {
			all = append(all, p)
		}
	}
	return all
}

// selectIdentities returns the identities that a relay forwards in a round. It takes them from the
// new daemons if there are any, otherwise from all of them in turn.
func selectIdentities(senders []*Peer, now time.Time, round int) []Identity {
	var candidates []*Peer
	for _, p := range senders {
		if now.Sub(p.addedAt) < newPeerPeriod {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		candidates = senders
	}
	var selected []Identity
	for i := range min(identitiesPerRound, len(candidates)) {
		identity := candidates[(round/2*identitiesPerRound+i)%len(candidates)].Identity
		// Receivers get these fields from that daemon's own heartbeats.
		identity.Format, identity.Build = Format{}, ""
		selected = append(selected, identity)
	}
	return selected
}
