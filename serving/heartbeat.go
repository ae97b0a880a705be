package serving

import (
	"fmt"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// fillHeartbeat sets this daemon's own state in a heartbeat.
func (s *Server) fillHeartbeat(h *peers.Heartbeat, now time.Time) {
	s.suspensionWatch.Check()
	h.Ready, h.Leaving, h.Complete = s.isFullyReady(), s.isLeaving(), s.inventory.IsComplete()
	version, confirmed := s.configCache.State()
	h.ConfigVersion, h.ConfigAge = version, ageMillis(confirmed, now)
	h.WorkersPosition, h.WorkersAge = s.inventory.Position(), ageMillis(s.inventory.Confirmed(), now)
	h.Halls = s.halls.Report(now)
	h.Decided = s.inventory.Decided()
	h.OwnClaim, h.HighestClaim, h.Grant = s.elector.State()
	h.LeaderAge = s.agent.Table().LeaderAge(now)
	h.Loads, h.Traffic = s.tracker.OwnLoads(), s.tracker.HasTraffic()
	h.Demand, h.PromptTokens = s.tracker.DemandByModel()
	h.Stalls = s.suspicions.recentStalls(now)
	h.Quarantine = s.proxy.Guard().Table().Report(now, s.forwardsNews())
	h.QuarantineParts = s.proxy.Guard().PartTable().Report(now, s.forwardsNews())
	h.Signals = s.signals.Report(now, s.forwardsNews())
}

// ageMillis returns the time since t in milliseconds, for use in a heartbeat. It is at least 1. If
// t is zero, it is peers.NeverConfirmed.
func ageMillis(t, now time.Time) int64 {
	if t.IsZero() {
		return peers.NeverConfirmed
	}
	return now.Sub(t).Milliseconds() + 1
}

// onHeartbeat processes a peer's heartbeat.
func (s *Server) onHeartbeat(p *peers.Peer) {
	s.elector.HandleHeartbeat(p)
	if s.countsLoads(p) {
		s.tracker.SetPeerLoads(p.ID, peers.Summary{Daemons: 1, Loads: p.Loads}, p.LastHeartbeatAt)
	}
	if p.Traffic {
		s.tracker.RecordPeerTraffic()
	}
	s.noteConfigVersion(p.ConfigVersion)
	if ownPosition := s.inventory.Position(); ownPosition > 0 && fleet.EraOf(p.WorkersPosition) > fleet.EraOf(ownPosition) {
		// The store was restored from a copy. Daemons that do not read it learn this from the
		// positions of others.
		s.configCache.HoldAfterRestore(p.LastHeartbeatAt)
	}
	s.halls.Follow(p.Halls, p.SentAfter)
	s.configCache.Confirm(p.ConfigVersion, p.ConfigConfirmedAt())
	s.inventory.Confirm(p.WorkersPosition, p.WorkersConfirmedAt())
	s.onSuspicions(p)
	s.mergeQuarantine(p)
	s.mergeSignals(p)
	if s.isBehind(p) {
		s.fetcher.schedule(p)
	}
}

// isBehind reports whether a peer has a newer configuration, later changes of the worker list or
// later decisions than this daemon.
func (s *Server) isBehind(p *peers.Peer) bool {
	return p.ConfigVersion > s.configCache.Version() || s.isBehindOnWorkers(p) || s.inventory.Decided().Before(p.Decided)
}

// isBehindOnWorkers reports whether a fetch of the worker list from a peer would help. That is the
// case if the peer knows later changes, or if this daemon still needs all workers and the peer, at
// the same position, has them.
func (s *Server) isBehindOnWorkers(p *peers.Peer) bool {
	position := s.inventory.Position()
	return p.WorkersPosition > position || p.WorkersPosition == position && p.Complete && s.inventory.NeedsList()
}

// countsLoads reports whether this daemon adds up the loads in a peer's heartbeat itself. Otherwise
// they arrive as part of a summary.
func (s *Server) countsLoads(p *peers.Peer) bool {
	switch s.agent.Role() {
	case peers.Relay:
		return p.Zone == s.opts.Self.Zone
	case peers.Member:
		return false
	}
	return true
}

// onSuspicions processes the stalled replicas that a peer reports. Leaders and relays forward new
// ones at once.
func (s *Server) onSuspicions(p *peers.Peer) {
	hasNew := false
	for _, stall := range p.Stalls {
		at := p.LastHeartbeatAt.Add(-time.Duration(stall.Age) * time.Millisecond)
		hasNew = s.suspicions.add(stall, at) || hasNew
		// Repeated reports are passed on as well, because the tracker ignores a report while the
		// replica still sends events.
		s.tracker.MarkSuspected(stall.Replica, p.LastHeartbeatAt)
		s.suspect(stall.Replica)
	}
	if hasNew && s.forwardsNews() {
		s.agent.SendHeartbeat(time.Now())
	}
}

// onSummary processes a relay's summary of a data hall, or of the whole fleet if hall is empty.
func (s *Server) onSummary(hall string, summary peers.Summary, now time.Time) {
	if summary.Traffic {
		s.tracker.RecordPeerTraffic()
	}
	if hall == "" {
		summary.Loads = summary.Loads.Without(s.tracker.OwnLoads())
	}
	source := fmt.Sprintf("hall %s/%d", hall, summary.Part)
	s.tracker.SetPeerLoads(source, summary, now)
}

// changesMessage is the response to a peer that requests the worker list.
type changesMessage struct {
	fleet.Delta
	// Whole reports that the changes are the whole list.
	Whole bool `json:"whole"`
}
