package serving

import (
	"context"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/formation"
	"quartzshelf.dev/peers"
)

// lead acts as leader for one term, until ctx ends.
func (s *Server) lead(ctx context.Context, claim peers.Claim, first bool) {
	s.inventory.BeginTerm(claim.Term())
	keeper := formation.NewKeeper(s.formationOptions(claim), formation.Term{Epoch: claim.Epoch, Rank: claim.Rank, First: first, FirstLife: s.opts.FirstLife},
		func() { s.elector.Yield("a worker knows a higher term") })
	s.setKeeper(keeper)
	keeper.Run(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keeper == keeper {
		s.keeper = nil
	}
}

func (s *Server) formationOptions(claim peers.Claim) formation.Options {
	return formation.Options{
		Config: s.beliefs.Config, Inventory: s.inventory, Orders: s.opts.Orders, IndirectLeave: s.leaveThroughPeers,
		Demand: s.demand, Traffic: s.tracker.Traffic, ListSince: s.inventory.KnownSince,
		Announced: func(a fleet.Announcement) { s.inventory.Decide(claim.Term(), a) },
		Smoothed:  s.smoothedWork.Work, BearHalls: s.opts.Bounds.BearHalls, HallWeight: s.opts.Bounds.HallWeight, HallOpen: s.hallOpen,
		StallAfter: s.opts.Bounds.Stall, Ceiling: s.opts.Bounds.Ceiling,
		Awake: s.awake.Check, Counted: s.meter.Order, Logger: s.logger.Named("formation"),
	}
}

// hallOpen reports whether a data hall accepts requests and is not being closed.
func (s *Server) hallOpen(hall string) bool {
	return s.halls.View().State(hall, time.Now()) == fleet.HallOpen
}

func (s *Server) setKeeper(k *formation.Keeper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper = k
}

// observeInterval is the time between two samples of the fleet's work.
const observeInterval = time.Second

// observeWork updates the smoothed work of the fleet until ctx ends, so that a new leader starts
// with a current value.
func (s *Server) observeWork(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.smoothedWork.Observe(s.demand(), now)
		}
	}
}

// demand returns the work of each model over all daemons.
func (s *Server) demand() map[string]formation.Work {
	now := time.Now()
	measured := s.agent.FleetSummary(now)
	all := make(map[string]formation.Work, len(measured.Demand))
	for model, busy := range measured.Demand {
		all[model] = formation.Work{Busy: busy, Prompts: measured.PromptTokens[model], Pause: s.tracker.Pause(model, now)}
	}
	return all
}

// onStall processes a stalled replica that this daemon detected itself.
func (s *Server) onStall(r *fleet.Replica) {
	now := time.Now()
	s.logger.Warn("replica stalled", "replica", r.ID, "head", r.Head.ID)
	s.suspicions.add(peers.Stall{Replica: r.ID, Head: r.Head.ID}, now)
	s.suspect(r.ID)
	s.agent.SendHeartbeat(now)
}

// suspect reports a suspicion to the keeper if this daemon leads.
func (s *Server) suspect(replica string) {
	s.mu.Lock()
	keeper := s.keeper
	s.mu.Unlock()
	if keeper != nil && s.suspicions.due(replica, time.Now()) {
		keeper.Suspect(replica)
	}
}
