package peers

import (
	"strconv"
	"sync"
	"time"
)

// summaryFor is how long a relay's summary counts: five of its rounds.
const summaryFor = 2 * time.Second

// wholeFleet stands for all halls where a hall is named.
const wholeFleet = ""

// heldSummary is one part of a summary that a relay reported.
type heldSummary struct {
	Summary
	hall string
	at   time.Time
}

// summaries holds the newest summary of each data hall, and of all of them
// together. It is safe for concurrent use.
type summaries struct {
	mu   sync.Mutex
	held map[string]heldSummary
}

func newSummaries() *summaries { return &summaries{held: make(map[string]heldSummary)} }

// set takes one part of a summary.
func (s *summaries) set(hall string, summary Summary, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[hall+"/"+strconv.Itoa(summary.Part)] = heldSummary{Summary: summary, hall: hall, at: now}
}

// sum adds up the summaries of the halls that are wanted and drops old ones.
func (s *summaries) sum(wanted func(hall string) bool, now time.Time) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total Summary
	for key, h := range s.held {
		switch {
		case now.Sub(h.at) > summaryFor:
			delete(s.held, key)
		case wanted(h.hall):
			total.add(h.Summary, now.Sub(h.at))
		}
	}
	return total
}

// hallSummary returns the work of the own hall: of this daemon and of those that
// it hears there.
func (a *Agent) hallSummary(own *Heartbeat, now time.Time) Summary {
	return a.heardSummary(own, now, func(p *Peer) bool { return p.Zone == a.opts.Self.Zone })
}

// heardSummary returns the work of this daemon and of those that it hears itself.
func (a *Agent) heardSummary(own *Heartbeat, now time.Time, wanted func(p *Peer) bool) Summary {
	total := summaryOf(own)
	for _, p := range a.table.Alive(now) {
		switch {
		case !wanted(p):
		case now.Sub(p.HeardAt) < aliveFor:
			total.add(summaryOf(&p.Heartbeat), now.Sub(p.HeardAt))
		default:
			total.Daemons++
		}
	}
	return total
}

// fleetSummary returns the work of all daemons, as far as this one knows.
func (a *Agent) fleetSummary(own *Heartbeat, now time.Time) Summary {
	switch a.Role() {
	case Relay:
		return a.halls(own, now)
	case Member:
		if told := a.told(now); told.Daemons > 0 {
			return told
		}
	}
	return a.heardSummary(own, now, func(*Peer) bool { return true })
}

// halls returns the work of the own hall and of the others, by their relays.
func (a *Agent) halls(own *Heartbeat, now time.Time) Summary {
	total := a.hallSummary(own, now)
	total.add(a.sums.sum(func(hall string) bool { return hall != wholeFleet && hall != a.opts.Self.Zone }, now), 0)
	return total
}

// told returns the work of all daemons by a relay of the own hall.
func (a *Agent) told(now time.Time) Summary {
	return a.sums.sum(func(hall string) bool { return hall == wholeFleet }, now)
}

// size returns how many daemons there are, as far as this one knows. One that was
// cut off alone finds back by what relays of a larger fleet tell it.
func (a *Agent) size(own *Heartbeat, now time.Time) int {
	heard := a.heardSummary(own, now, func(*Peer) bool { return true })
	return max(heard.Daemons, a.halls(own, now).Daemons, a.told(now).Daemons)
}

// Fleet returns the work of all daemons, as far as this one knows.
func (a *Agent) Fleet(now time.Time) Summary {
	own := &Heartbeat{Identity: a.opts.Self}
	a.opts.Compose(own, now)
	return a.fleetSummary(own, now)
}
