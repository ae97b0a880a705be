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
	// warmUpHeartbeats is the number of heartbeat intervals after which a worker that has become
	// cold must have reported it.
	warmUpHeartbeats = 2
	// warmUpCheckInterval is the time between two checks of which workers warm up. They keep the
	// gauge and the logs current on a daemon that gets no requests.
	warmUpCheckInterval = time.Second
)

func (s *Server) newWarmUp() *allowance.Allowance {
	a := allowance.New(allowance.Options{
		Self: s.opts.Self.ID, Members: s.registeredIDs,
		Bound:  allowance.Bound{Burst: s.opts.Bounds.WarmUp.Burst, Slack: s.opts.Bounds.WarmUp.Slack},
		Settle: warmUpHeartbeats * s.opts.Bounds.WorkerHeartbeatInterval,
		View:   s.inventory.View, Halls: s.halls.View, Config: s.configCache.Config, Changed: s.onWarmUpChange,
	})
	s.meter.ExportGauge("workers_warming", func() float64 { return float64(a.CountWarming()) })
	return a
}

// registeredIDs returns the ids of all daemons ever known. Before this daemon has read the member
// lists of all data halls, it returns none, because daemons with different lists would choose
// different ones to send to a cold worker.
func (s *Server) registeredIDs() []string {
	if !s.hasReadAllMembers.Load() {
		return nil
	}
	return s.agent.Table().EverKnownIDs()
}

// isMemberReadDue reports whether the member list must be read again, even if other daemons are
// alive. That is needed only if requests to cold workers are limited, since the daemons that may
// send them are chosen from all registered ones.
func (s *Server) isMemberReadDue(now time.Time) bool {
	return !now.Before(s.nextMemberRead) && s.limitsWarmUp()
}

// limitsWarmUp reports whether any service limits the requests to its cold workers.
func (s *Server) limitsWarmUp() bool {
	config := s.configCache.Config()
	bounded := func(v *fleet.Service) bool { return v.WarmUp.PerSecond > 0 }
	return config != nil && slices.ContainsFunc(config.Services(), bounded)
}

// takeWarmUp asks whether a request may be sent to a replica now, and counts refusals and uses in
// the metrics. While a replica warms up, the rate of requests to it is limited. The result ok is
// false if the limit is used up. sendBy is the time by which the request must be sent, or zero if
// the replica is not warming up.
func (s *Server) takeWarmUp(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool) {
	sendBy, ok = s.warmUp.Take(r, now)
	switch {
	case !ok:
		s.meter.CountWarmUp("refused")
	case !sendBy.IsZero():
		s.meter.CountWarmUp("used")
	}
	return sendBy, ok
}

// onWarmUpChange logs the start or end of a worker's warm-up. Only the leader logs it at level
// info, because all daemons detect it.
func (s *Server) onWarmUpChange(w *fleet.Worker, warming bool) {
	message := "worker warmed up"
	if warming {
		message = "worker is warming up"
	}
	log := s.logger.Debug
	if s.isReader() {
		log = s.logger.Info
	}
	log(message, "worker", w.ID, "service", w.Service, "hall", w.Zone, "group", w.Member.Group, "cold_ms", w.ColdRemainingMillis)
}

// watchWarmUp regularly checks which workers warm up, until ctx ends.
func (s *Server) watchWarmUp(ctx context.Context) {
	for ctx.Err() == nil {
		s.warmUp.Refresh(time.Now())
		pause.Sleep(ctx, warmUpCheckInterval)
	}
}
