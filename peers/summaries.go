package peers

import (
	"strconv"
	"sync"
	"time"
)

// summaryLifetime is how long a relay's summary stays valid: five of its rounds.
const summaryLifetime = 2 * time.Second

// wholeFleet is the key for a summary of all halls.
const wholeFleet = ""

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

// sum adds up the summaries of the wanted halls and drops expired ones.
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

// hallSummary returns the work of this daemon and of those that it hears in its hall.
func (a *Agent) hallSummary(own *Heartbeat, now time.Time) Summary {
	return a.heardSummary(own, now, func(p *Peer) bool { return p.Zone == a.opts.Self.Zone })
}

// heardSummary returns the work of this daemon and of the wanted ones that it hears directly.
func (a *Agent) heardSummary(own *Heartbeat, now time.Time, wanted func(p *Peer) bool) Summary {
	total := summaryOf(own)
	for _, p := range a.table.Alive(now) {
		switch {
		case !wanted(p):
		case now.Sub(p.HeardAt) < aliveTimeout:
			total.add(summaryOf(&p.Heartbeat), now.Sub(p.HeardAt))
		default:
			total.Daemons++
		}
	}
	return total
}

// fleetSummary returns the known work of all daemons.
func (a *Agent) fleetSummary(own *Heartbeat, now time.Time) Summary {
	switch a.Role() {
	case Relay:
		return a.allHallsSummary(own, now)
	case Member:
		if relayed := a.relayedSummary(now); relayed.Daemons > 0 {
			return relayed
		}
	}
	return a.heardSummary(own, now, func(*Peer) bool { return true })
}

// allHallsSummary returns the work of the own hall and of the others, as reported by their relays.
func (a *Agent) allHallsSummary(own *Heartbeat, now time.Time) Summary {
	total := a.hallSummary(own, now)
	total.add(a.receivedSummaries.sum(func(hall string) bool { return hall != wholeFleet && hall != a.opts.Self.Zone }, now), 0)
	return total
}

// relayedSummary returns the work of all daemons as reported by relays of the own hall.
func (a *Agent) relayedSummary(now time.Time) Summary {
	return a.receivedSummaries.sum(func(hall string) bool { return hall == wholeFleet }, now)
}

// fleetSize returns the known number of daemons. Relayed summaries count as well, so that a daemon
// that was cut off learns that the fleet is larger than what it hears.
func (a *Agent) fleetSize(own *Heartbeat, now time.Time) int {
	direct := a.heardSummary(own, now, func(*Peer) bool { return true })
	return max(direct.Daemons, a.allHallsSummary(own, now).Daemons, a.relayedSummary(now).Daemons)
}

// FleetSummary returns the known work of all daemons.
func (a *Agent) FleetSummary(now time.Time) Summary {
	own := &Heartbeat{Identity: a.opts.Self}
	a.opts.FillHeartbeat(own, now)
	return a.fleetSummary(own, now)
}
