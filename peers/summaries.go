package peers

import (
	"strconv"
	"sync"
	"time"
)

// summaryLifetime is how long a relay's summary stays valid. A relay sends one at least every other round,
// so several may be lost.
const summaryLifetime = 2 * time.Second

// wholeFleetKey is used in place of a hall's name for a summary of all halls.
const wholeFleetKey = ""

// receivedSummary is one part of a summary received from a relay.
type receivedSummary struct {
	Summary
	hall       string
	receivedAt time.Time
}

// summaries holds the newest summary of each data hall, and of the whole fleet. It is safe for
// concurrent use.
type summaries struct {
	mu    sync.Mutex
	parts map[string]receivedSummary
}

func newSummaries() *summaries { return &summaries{parts: make(map[string]receivedSummary)} }

// set stores one part of a summary.
func (s *summaries) set(hall string, summary Summary, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts[hall+"/"+strconv.Itoa(summary.Part)] = receivedSummary{Summary: summary, hall: hall, receivedAt: now}
}

// sum adds up the summaries of the halls for which wanted returns true. It deletes expired ones.
func (s *summaries) sum(wanted func(hall string) bool, now time.Time) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total Summary
	for key, h := range s.parts {
		switch {
		case now.Sub(h.receivedAt) > summaryLifetime:
			delete(s.parts, key)
		case wanted(h.hall):
			total.add(h.Summary, now.Sub(h.receivedAt))
		}
	}
	return total
}

// hallSummary sums up the heartbeats of this daemon and of those alive in its hall.
func (a *Agent) hallSummary(own *Heartbeat, now time.Time) Summary {
	return a.directSummary(own, now, func(p *Peer) bool { return p.Zone == a.opts.Self.Zone })
}

// directSummary sums up this daemon's heartbeat and those that it recently received from daemons
// for which wanted returns true. A daemon that only relays report as alive is counted, but without
// any loads.
func (a *Agent) directSummary(own *Heartbeat, now time.Time, wanted func(p *Peer) bool) Summary {
	total := summaryOf(own)
	for _, p := range a.table.Alive(now) {
		switch {
		case !wanted(p):
		case now.Sub(p.LastHeartbeatAt) < aliveTimeout:
			total.add(summaryOf(&p.Heartbeat), now.Sub(p.LastHeartbeatAt))
		default:
			total.Daemons++
		}
	}
	return total
}

// fleetSummary returns the summary of all daemons. A relay adds up the summaries of all halls, and
// a member uses its relays' summary. Other daemons sum up the heartbeats that they received.
func (a *Agent) fleetSummary(own *Heartbeat, now time.Time) Summary {
	switch a.Role() {
	case Relay:
		return a.allHallsSummary(own, now)
	case Member:
		if relayed := a.relayedSummary(now); relayed.Daemons > 0 {
			return relayed
		}
	}
	return a.directSummary(own, now, func(*Peer) bool { return true })
}

// allHallsSummary adds the other halls' summaries, received from their relays, to that of the own
// hall.
func (a *Agent) allHallsSummary(own *Heartbeat, now time.Time) Summary {
	total := a.hallSummary(own, now)
	total.add(a.receivedSummaries.sum(func(hall string) bool { return hall != wholeFleetKey && hall != a.opts.Self.Zone }, now), 0)
	return total
}

// relayedSummary returns the summary of all daemons that a relay of the own hall sent.
func (a *Agent) relayedSummary(now time.Time) Summary {
	return a.receivedSummaries.sum(func(hall string) bool { return hall == wholeFleetKey }, now)
}

// fleetSize returns the number of daemons, this one included. Relays' summaries are considered
// too, because after a partition they include daemons whose heartbeats this one does not receive.
func (a *Agent) fleetSize(own *Heartbeat, now time.Time) int {
	direct := a.directSummary(own, now, func(*Peer) bool { return true })
	return max(direct.Daemons, a.allHallsSummary(own, now).Daemons, a.relayedSummary(now).Daemons)
}

// FleetSummary returns the summary of all daemons, this one included.
func (a *Agent) FleetSummary(now time.Time) Summary {
	own := &Heartbeat{Identity: a.opts.Self}
	a.opts.FillHeartbeat(own, now)
	return a.fleetSummary(own, now)
}
