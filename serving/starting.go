package serving

import (
	"context"
	"time"

	"quartzshelf.dev/common/pause"
)

const (
	// startCheckInterval is the time between two checks of the progress of the start.
	startCheckInterval = 20 * time.Millisecond
	// startLogPeriod is the period after the start in which steps are logged. A daemon that is
	// alone or gets no requests never reaches some of them.
	startLogPeriod = 10 * time.Second
)

// startStep is a milestone of a daemon's start.
type startStep struct {
	name      string
	isReached func(now time.Time) bool
}

// startSteps returns the milestones between the start of a daemon and its first response, in their
// usual order.
func (s *Server) startSteps() []startStep {
	return []startStep{
		{"configuration known", func(time.Time) bool { return s.configCache.Config() != nil }},
		{"worker list known", func(time.Time) bool { return !s.inventory.Confirmed().IsZero() }},
		{"ready for callers", func(time.Time) bool { return s.IsReady() }},
		{"daemons listed", func(time.Time) bool { return s.membersReadAt.Load() != nil }},
		{"peers heard", func(now time.Time) bool { return len(s.agent.Table().Alive(now)) > 0 }},
		{"loads of peers known", func(now time.Time) bool { return len(s.agent.FleetSummary(now).Loads) > len(s.tracker.OwnLoads()) }},
		{"leader known", func(time.Time) bool { _, highest, _ := s.elector.State(); return highest.Epoch > 0 }},
		{"first answer", func(time.Time) bool { return s.proxy.HasAnswered() }},
	}
}

// logStart logs each step of the start as soon as it is reached. It returns when all are reached,
// when startLogPeriod is over, or when ctx ends.
func (s *Server) logStart(ctx context.Context) {
	began, remaining := time.Now(), s.startSteps()
	for ctx.Err() == nil && len(remaining) > 0 && time.Since(began) < startLogPeriod {
		now, pending := time.Now(), remaining[:0:0]
		for _, step := range remaining {
			if !step.isReached(now) {
				pending = append(pending, step)
				continue
			}
			s.logger.Info("start: "+step.name, "ms", now.Sub(began).Milliseconds(), "workers", len(s.inventory.View().Workers()))
		}
		remaining = pending
		pause.Sleep(ctx, startCheckInterval)
	}
}
