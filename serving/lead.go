package serving

import (
	"context"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/formation"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/telemetry"
)

// lead acts as leader for the term of a claim, until ctx ends. isFirst is passed on to the
// reconciler as formation.Term.IsFirst.
func (s *Server) lead(ctx context.Context, claim peers.Claim, isFirst bool) {
	s.inventory.BeginTerm(claim.Term())
	reconciler := formation.NewReconciler(s.formationOptions(claim), formation.Term{Epoch: claim.Epoch, Rank: claim.Rank, IsFirst: isFirst, RunningSinceFleetStart: s.opts.RunningSinceFleetStart},
		func() { s.elector.Yield("a worker knows a higher term") })
	s.setReconciler(reconciler)
	reconciler.Run(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reconciler == reconciler {
		s.reconciler = nil
	}
}

func (s *Server) formationOptions(claim peers.Claim) formation.Options {
	return formation.Options{
		Config: s.configCache.Config, Inventory: s.inventory, Orders: s.opts.Orders, IndirectLeave: s.leaveThroughPeers,
		MeasuredWork: s.demandByModel, HasTraffic: s.tracker.HasTraffic, FirstListAt: s.inventory.FirstListAt,
		OnAnnouncement: func(a fleet.Announcement) { s.inventory.Decide(claim.Term(), a) },
		SmoothedWork:   s.smoothedDemand.Work, ToleratedHallLosses: s.opts.Bounds.ToleratedHallLosses, HallLossWeight: s.opts.Bounds.HallLossWeight, IsHallOpen: s.isHallOpen,
		StallTimeout: s.opts.Bounds.StallTimeout, LoadLimit: s.opts.Bounds.LoadLimit,
		AreLinksUp: s.proxy.AreLinksUp, CheckSuspension: s.suspensionWatch.Check, OnOrderOutcome: s.meter.CountOrder, Logger: s.logger.Named("formation"),
	}
}

// isHallOpen reports whether a data hall is neither closed nor being closed.
func (s *Server) isHallOpen(hall string) bool {
	return s.halls.View().State(hall, time.Now()) == fleet.HallOpen
}

func (s *Server) setReconciler(k *formation.Reconciler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconciler = k
}

// demandSampleInterval is the time between two samples of the fleet's demand.
const demandSampleInterval = time.Second

// sampleDemand updates smoothedDemand until ctx ends. Every daemon does so, because a new leader
// needs a current value at once.
func (s *Server) sampleDemand(ctx context.Context) {
	ticker := time.NewTicker(demandSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.smoothedDemand.Observe(s.demandByModel(), now)
		}
	}
}

// demandByModel returns the fleet's demand for each model. Busy slots and prompt tokens are summed
// over all daemons. Pauses are the longest ones between events that the recent callers of this
// daemon accept.
func (s *Server) demandByModel() map[string]formation.Work {
	now := time.Now()
	measured := s.agent.FleetSummary(now)
	all := make(map[string]formation.Work, len(measured.Demand))
	for model, busy := range measured.Demand {
		all[model] = formation.Work{BusySlots: busy, PromptTokens: measured.PromptTokens[model], ToleratedPause: s.tracker.ToleratedPause(model, now)}
	}
	return all
}

// onStall handles a replica whose stall this daemon detected itself. It reports the stall unless this
// daemon's own links are down.
func (s *Server) onStall(r *fleet.Replica) {
	s.proxy.AfterLinkCheck(r.Head, func() { s.reportStall(r) })
}

// reportStall logs a stalled replica, and reports it to peers and to the reconciler.
func (s *Server) reportStall(r *fleet.Replica) {
	now := time.Now()
	if isNew := s.suspicions.add(peers.Stall{Replica: r.ID, Head: r.Head.ID}, now); isNew {
		s.logger.Warn("replica stalled", "replica", r.ID, "head", r.Head.ID)
		s.meter.CountStall(telemetry.StallBegan)
	}
	s.suspect(r.ID)
	s.agent.SendHeartbeat(now)
}

// suspect asks the reconciler to inspect a replica if this daemon leads and an inspection is due.
func (s *Server) suspect(replica string) {
	s.mu.Lock()
	reconciler := s.reconciler
	s.mu.Unlock()
	if reconciler != nil && s.suspicions.startInspection(replica, time.Now()) {
		reconciler.MarkSuspected(replica)
	}
}
