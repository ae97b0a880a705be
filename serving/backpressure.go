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

// signalCheckInterval is the time between two checks for expired signals and for changes of the
// daemons that share limits.
const signalCheckInterval = time.Second

func (s *Server) newSignals() *backpressure.Table {
	halls := slices.Sorted(maps.Keys(s.opts.Regions))
	if !slices.Contains(halls, s.opts.Self.Zone) {
		halls = append(halls, s.opts.Self.Zone)
	}
	t := backpressure.NewTable(backpressure.Options{
		Self: s.opts.Self.ID, Hall: s.opts.Self.Zone, Halls: halls, Members: s.limitShareHolders,
		Bound: s.opts.Bounds.LimitBound, Changed: s.onSignalChange,
	})
	s.meter.ExportGauge("workers_limited", func() float64 { return float64(t.CountLimited()) })
	s.meter.ExportGauge("workers_leaving", func() float64 { return float64(t.CountLeaving()) })
	s.meter.ExportGauge("workers_resting", func() float64 { return float64(t.CountResting(time.Now())) })
	return t
}

// limitShareHolders returns the ids of the daemons in the own data hall that share the request
// limits of workers. It returns none before the member list has been read, and none while limits
// must not be shared.
func (s *Server) limitShareHolders() []string {
	if s.membersReadAt.Load() == nil || s.needsMemberReread.Load() || !s.canShareLimits(time.Now()) {
		return nil
	}
	return s.agent.Table().FittestInHall(backpressure.MaxShareholders)
}

// onSignalChange counts and logs a worker's signal. A worker that signals that it is leaving is
// marked as leaving at once, before the worker list shows it.
func (s *Server) onSignalChange(c backpressure.Change) {
	if c.Event == backpressure.Leaving {
		s.inventory.MarkLeaving(c.Worker, c.Born)
	}
	s.meter.CountWorkerSignal(string(c.Event))
	log := s.logger.Info
	if c.Event == backpressure.LimitChanged || c.By != "" {
		log = s.logger.Debug
	}
	log("worker sent signal", "event", string(c.Event), "worker", c.Worker, "per_second", c.PerSecond,
		"rest_ms", c.Rest.Milliseconds(), "by", c.By)
}

// mergeSignals adds the workers' signals that a peer reports. A leader or relay forwards them with
// its next regular heartbeat.
func (s *Server) mergeSignals(p *peers.Peer) {
	at := p.SentAfter
	if at.IsZero() {
		at = p.LastHeartbeatAt
	}
	s.signals.Merge(p.Signals, p.ID, at, p.LastHeartbeatAt)
}

// watchSignals regularly deletes the signals of workers that are no longer listed. It also updates
// the shares of limits. It returns when ctx ends.
func (s *Server) watchSignals(ctx context.Context) {
	for ctx.Err() == nil {
		view := s.inventory.View()
		s.signals.Forget(func(worker string, born int64) bool {
			w, listed := view.Worker(worker)
			return listed && w.StartedAt == born
		}, time.Now())
		s.signals.Refresh(time.Now())
		// A worker that was removed from the list and added again is no longer marked as leaving,
		// so it is marked again.
		s.signals.EachLeaving(s.inventory.MarkLeaving)
		pause.Sleep(ctx, signalCheckInterval)
	}
}
