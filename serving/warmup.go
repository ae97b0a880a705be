package serving

import (
	"context"
	"slices"
	"time"

	"quartzshelf.dev/allowance"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
)

const (
	// warmUpHeartbeats is the number of heartbeats within which a worker reports that it is cold:
	// the next one, and one already in transit.
	warmUpHeartbeats = 2
	// warmUpCheckInterval is the time between two checks of which workers warm up, which keep the
	// gauge and the logs current on a daemon without requests.
	warmUpCheckInterval = time.Second
)

func (s *Server) newWarmUp() *allowance.Allowance {
	a := allowance.New(allowance.Options{
		Self: s.opts.Self.ID, Members: s.registeredIDs,
		Bound:  allowance.Bound{Burst: s.opts.Bounds.WarmUp.Burst, Slack: s.opts.Bounds.WarmUp.Slack},
		Settle: warmUpHeartbeats * s.opts.Bounds.Heartbeat,
		View:   s.inventory.View, Halls: s.halls.View, Config: s.beliefs.Config, Changed: s.warmUpChanged,
	})
	s.meter.Gauge("workers_warming", func() float64 { return float64(a.Warming()) })
	return a
}

// registeredIDs returns the ids of all daemons ever known, or none before this daemon has read the
// member lists of all data halls: with only those of the own hall, each hall would choose its own
// holders of shares.
func (s *Server) registeredIDs() []string {
	if !s.allMembersRead.Load() {
		return nil
	}
	return s.agent.Table().EverKnownIDs()
}

// memberReadDue reports whether the member list is to be read again although others are heard: the
// daemons that hold shares of a worker that warms up are chosen from all registered ones.
func (s *Server) memberReadDue(now time.Time) bool {
	return !now.Before(s.nextMemberRead) && s.boundsWarmUp()
}

// boundsWarmUp reports whether requests to workers that warm up are limited.
func (s *Server) boundsWarmUp() bool {
	config := s.beliefs.Config()
	bounded := func(v *fleet.Service) bool { return v.WarmUp.PerSecond > 0 }
	return config != nil && slices.ContainsFunc(config.Services(), bounded)
}

// takeWarmUp takes a token for a request to a replica that warms up, and counts it.
func (s *Server) takeWarmUp(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool) {
	sendBy, ok = s.warmUp.Take(r, now)
	switch {
	case !ok:
		s.meter.WarmUp("refused")
	case !sendBy.IsZero():
		s.meter.WarmUp("used")
	}
	return sendBy, ok
}

// warmUpChanged logs the start or end of a worker's warm-up. All daemons see it, so only the
// leader logs it at level info.
func (s *Server) warmUpChanged(w *fleet.Worker, warming bool) {
	message := "worker warmed up"
	if warming {
		message = "worker is warming up"
	}
	log := s.logger.Debug
	if s.isReader() {
		log = s.logger.Info
	}
	log(message, "worker", w.ID, "service", w.Service, "hall", w.Zone, "group", w.Member.Group, "cold_ms", w.ColdLeft)
}

// watchWarmUp regularly checks which workers warm up until ctx ends.
func (s *Server) watchWarmUp(ctx context.Context) {
	for ctx.Err() == nil {
		s.warmUp.Look(time.Now())
		pause.For(ctx, warmUpCheckInterval)
	}
}
