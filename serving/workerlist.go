package serving

import (
	"time"

	"quartzshelf.dev/fleet"
)

// newInventory returns the inventory of the worker list, and exports its state.
func (s *Server) newInventory() *fleet.Inventory {
	i := fleet.NewInventory(s.opts.Bounds.WorkerHeartbeatInterval, s.opts.Bounds.RemovedWorkerBound)
	i.OnOutage(func(o fleet.Outage) {
		s.logger.Info("worker list available again", "unconfirmed_ms", o.Unconfirmed.Milliseconds(), "since_failure_ms", o.SinceFailure.Milliseconds())
	})
	s.meter.ExportGauge("workers_missing", func() float64 { return float64(i.CountMissing()) })
	s.meter.ExportGauge("worker_list_age_seconds", func() float64 {
		if confirmed := i.Confirmed(); !confirmed.IsZero() {
			return time.Since(confirmed).Seconds()
		}
		return -1
	})
	return i
}
