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
	// warmUpBeats is how many heartbeats a worker may take to tell that it is cold: its
	// next one, and one that was on its way.
	warmUpBeats = 2
	// lookAtWarmUp is how often a daemon without requests looks which workers warm up, so
	// that its gauge and log lines follow.
	lookAtWarmUp = time.Second
)

func (s *Server) newWarmUp() *allowance.Allowance {
	a := allowance.New(allowance.Options{
		Self: s.opts.Self.ID, Members: s.registered,
		Bound:  allowance.Bound{Burst: s.opts.Bounds.WarmUp.Burst, Slack: s.opts.Bounds.WarmUp.Slack},
		Settle: warmUpBeats * s.opts.Bounds.Heartbeat,
		View:   s.inventory.View, Halls: s.halls.View, Config: s.beliefs.Config, Changed: s.warmUpChanged,
	})
	s.meter.Gauge("workers_warming", func() float64 { return float64(a.Warming()) })
	return a
}

// registered returns the ids of all registered daemons, or none before this daemon has read
// the member list of all data halls: daemons that were started without the store hear those
// of their own data hall only, so each hall would choose holders of its own.
func (s *Server) registered() []string {
	if !s.metAll.Load() {
		return nil
	}
	return s.agent.Table().EverKnownIDs()
}

// membersDue reports whether the member list is to be read again though others are heard:
// who holds a worker that warms up is found among all that are registered.
func (s *Server) membersDue(now time.Time) bool {
	return !now.Before(s.readAgain) && s.boundsWarmUp()
}

// boundsWarmUp reports whether requests to workers that warm up are bounded.
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

// warmUpChanged logs that a worker begins or ceases to warm up. All daemons see it; the
// leader tells it for all.
func (s *Server) warmUpChanged(w *fleet.Worker, warming bool) {
	message := "worker warmed up"
	if warming {
		message = "worker warms up"
	}
	log := s.logger.Debug
	if s.isReader() {
		log = s.logger.Info
	}
	log(message, "worker", w.ID, "service", w.Service, "hall", w.Zone, "group", w.Member.Group, "cold_ms", w.ColdLeft)
}

// watchWarmUp looks now and then which workers warm up until ctx ends.
func (s *Server) watchWarmUp(ctx context.Context) {
	for ctx.Err() == nil {
		s.warmUp.Look(time.Now())
		pause.For(ctx, lookAtWarmUp)
	}
}
