package serving

import (
	"time"

	"quartzshelf.dev/fleet"
)

// newInventory returns the inventory of the worker list, and exports its state.
func (s *Server) newInventory() *fleet.Inventory {
	bounds := &s.opts.Bounds
	i := fleet.NewInventory(fleet.InventoryOptions{
		Heartbeat: bounds.WorkerHeartbeatInterval, LeaveBound: bounds.RemovedWorkerBound, SettleTime: bounds.SettleTime,
	})
	i.OnOutage(func(o fleet.Outage) {
		s.logger.Info("worker list available again", "unconfirmed_ms", o.Unconfirmed.Milliseconds(), "since_failure_ms", o.SinceFailure.Milliseconds())
	})
	s.meter.ExportGauge("workers_missing", func() float64 {
		listed, _ := i.Missing()
		return float64(listed)
	})
	s.meter.ExportGauge("workers_missing_used", func() float64 {
		_, usable := i.Missing()
		return float64(usable)
	})
	s.meter.ExportGauge("worker_list_age_seconds", func() float64 {
		if confirmed := i.Confirmed(); !confirmed.IsZero() {
			return time.Since(confirmed).Seconds()
		}
		return -1
	})
	return i
}
