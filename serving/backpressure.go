package serving

import (
	"context"
	"maps"
	"slices"
	"time"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/peers"
)

// signalsLook is how often it is looked which workers' words are void, and which daemons hold
// shares of limits.
const signalsLook = time.Second

func (s *Server) newSignals() *backpressure.Table {
	halls := slices.Sorted(maps.Keys(s.opts.Regions))
	if !slices.Contains(halls, s.opts.Self.Zone) {
		halls = append(halls, s.opts.Self.Zone)
	}
	t := backpressure.NewTable(backpressure.Options{
		Self: s.opts.Self.ID, Hall: s.opts.Self.Zone, Halls: halls, Members: s.sharers,
		Bound: s.opts.Bounds.Limits, Changed: s.signalChanged,
	})
	s.meter.Gauge("workers_limited", func() float64 { return float64(t.Limited()) })
	s.meter.Gauge("workers_leaving", func() float64 { return float64(t.Leaving()) })
	s.meter.Gauge("workers_resting", func() float64 { return float64(t.Resting(time.Now())) })
	return t
}

// sharers returns the daemons of the own data hall that hold shares of limits; none before
// this daemon has read who there is, and while others do not heed limits.
func (s *Server) sharers() []string {
	if s.metAt.Load() == nil || s.readTooSoon.Load() || !s.sharesLimits(time.Now()) {
		return nil
	}
	return s.agent.Table().FittestInHall(backpressure.MembersMost)
}

// signalChanged counts and logs what a worker asks for. One that leaves counts as the list's
// word would, which may come later or never.
func (s *Server) signalChanged(c backpressure.Change) {
	if c.Event == backpressure.Leaves {
		s.inventory.Leave(c.Worker, c.Born)
	}
	s.meter.Signal(string(c.Event))
	log := s.logger.Info
	if c.Event == backpressure.LimitChanged || c.By != "" {
		log = s.logger.Debug
	}
	log("worker asks", "event", string(c.Event), "worker", c.Worker, "per_second", c.PerSecond,
		"rest_ms", c.Rest.Milliseconds(), "by", c.By)
}

// heardAsked takes what a peer reports of workers' words. Heartbeats pass them on soon enough.
func (s *Server) heardAsked(p *peers.Peer) {
	at := p.SentAfter
	if at.IsZero() {
		at = p.HeardAt
	}
	s.signals.Merge(p.Asked, p.ID, at, p.HeardAt)
}

// watchSignals forgets what workers asked for that are gone, and follows who holds shares of
// limits, until ctx ends.
func (s *Server) watchSignals(ctx context.Context) {
	for ctx.Err() == nil {
		view := s.inventory.View()
		s.signals.Forget(func(worker string, born int64) bool {
			w, listed := view.Worker(worker)
			return listed && w.Born == born
		}, time.Now())
		s.signals.Look(time.Now())
		// An entry that went and came back does not tell what the worker said meanwhile.
		s.signals.EachLeaving(s.inventory.Leave)
		pause.For(ctx, signalsLook)
	}
}
