package serving

import (
	"fmt"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// compose fills in what this daemon reports of itself to its peers.
func (s *Server) compose(h *peers.Heartbeat, now time.Time) {
	s.awake.Check()
	h.Ready, h.Leaving, h.Complete = s.Ready(), s.leaving.Load(), s.inventory.Complete()
	version, confirmed := s.beliefs.State()
	h.ConfigVersion, h.ConfigAge = version, age(confirmed, now)
	h.WorkersPosition, h.WorkersAge = s.inventory.Position(), age(s.inventory.Confirmed(), now)
	h.Halls = s.halls.Report(now)
	h.Decided = s.inventory.Decided()
	h.Leads, h.Highest, h.Grant = s.elector.State()
	h.LeaderAge = s.agent.Table().LeaderAge(now)
	h.Loads, h.Traffic = s.tracker.Loads(), s.tracker.Traffic()
	h.Demand, h.Prompts = s.tracker.Demand()
	h.Stalls = s.suspicions.current(now)
	h.Quarantine = s.relay.Guard().Table().Report(now, s.passesOn())
	h.Asked = s.signals.Report(now, s.passesOn())
}

// age returns how long ago a time was, in milliseconds.
func age(t, now time.Time) int64 {
	if t.IsZero() {
		return peers.Never
	}
	return now.Sub(t).Milliseconds() + 1
}

// heard takes what a peer reported of itself.
func (s *Server) heard(p *peers.Peer) {
	s.elector.Hear(p)
	if s.countsLoads(p) {
		s.tracker.SetRemote(p.ID, peers.Summary{Daemons: 1, Loads: p.Loads}, p.HeardAt)
	}
	if p.Traffic {
		s.tracker.SetTraffic()
	}
	s.hearVersion(p.ConfigVersion)
	if own := s.inventory.Position(); own > 0 && fleet.EraOf(p.WorkersPosition) > fleet.EraOf(own) {
		// Who does not read the store learns of a copy by the positions of others.
		s.beliefs.HoldCopy(p.HeardAt)
	}
	s.halls.Follow(p.Halls, p.SentAfter)
	s.beliefs.Confirm(p.ConfigVersion, p.ConfigConfirmedAt())
	s.inventory.Confirm(p.WorkersPosition, p.WorkersConfirmedAt())
	s.suspected(p)
	s.heardQuarantine(p)
	s.heardAsked(p)
	if s.lacks(p) {
		s.fetcher.want(p)
	}
}

// lacks reports whether a peer knows something that this daemon does not.
func (s *Server) lacks(p *peers.Peer) bool {
	return p.ConfigVersion > s.beliefs.Version() || s.lacksWorkers(p) || s.inventory.Decided().Before(p.Decided)
}

// lacksWorkers reports whether a peer knows later changes of the worker list, or all workers
// when this daemon needs them. The list of one that is behind could not be taken.
func (s *Server) lacksWorkers(p *peers.Peer) bool {
	own := s.inventory.Position()
	return p.WorkersPosition > own || p.WorkersPosition == own && p.Complete && s.inventory.AwaitsList()
}

// countsLoads reports whether a peer's own loads count here, rather than as a part
// of a summary.
func (s *Server) countsLoads(p *peers.Peer) bool {
	switch s.agent.Role() {
	case peers.Relay:
		return p.Zone == s.opts.Self.Zone
	case peers.Member:
		return false
	}
	return true
}

// suspected takes a peer's suspicions. A relay passes new ones on at once.
func (s *Server) suspected(p *peers.Peer) {
	news := false
	for _, stall := range p.Stalls {
		at := p.HeardAt.Add(-time.Duration(stall.Age) * time.Millisecond)
		news = s.suspicions.add(stall, at) || news
		// Streams that moved a moment ago may have stopped by the next report.
		s.tracker.Suspect(stall.Replica, p.HeardAt)
		s.suspect(stall.Replica)
	}
	if news && s.passesOn() {
		s.agent.SendHeartbeat(time.Now())
	}
}

// summed takes a summary of the work of other daemons.
func (s *Server) summed(hall string, summary peers.Summary, now time.Time) {
	if summary.Traffic {
		s.tracker.SetTraffic()
	}
	if hall == "" {
		summary.Loads = summary.Loads.Without(s.tracker.Loads())
	}
	source := fmt.Sprintf("hall %s/%d", hall, summary.Part)
	s.tracker.SetRemote(source, summary, now)
}

// changesMessage is what a daemon answers a peer that asks for the worker list.
type changesMessage struct {
	fleet.Delta
	// Whole tells that the changes are the whole list.
	Whole bool `json:"whole"`
}
