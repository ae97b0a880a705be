package serving

import (
	"context"
	"time"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/common/pause"
)

// signalsLook is how often it is looked which workers' words are void.
const signalsLook = time.Second

func (s *Server) newSignals() *backpressure.Table {
	t := backpressure.NewTable(backpressure.Options{Changed: s.signalChanged})
	s.meter.Gauge("workers_limited", func() float64 { return float64(t.Limited()) })
	s.meter.Gauge("workers_resting", func() float64 { return float64(t.Resting(time.Now())) })
	return t
}

// signalChanged counts and logs what a worker asks for.
func (s *Server) signalChanged(c backpressure.Change) {
	s.meter.Signal(string(c.Event))
	log := s.logger.Info
	if c.Event == backpressure.LimitChanged {
		log = s.logger.Debug
	}
	log("worker asks", "event", string(c.Event), "worker", c.Worker, "per_second", c.PerSecond,
		"rest_ms", c.Rest.Milliseconds(), "by", c.By)
}

// watchSignals forgets what workers asked for that are gone until ctx ends.
func (s *Server) watchSignals(ctx context.Context) {
	for ctx.Err() == nil {
		view := s.inventory.View()
		s.signals.Forget(func(worker string, born int64) bool {
			w, listed := view.Worker(worker)
			return listed && w.Born == born
		})
		pause.For(ctx, signalsLook)
	}
}
