package serving

import (
	"context"
	"time"

	"quartzshelf.dev/common/pause"
)

const (
	// startLook is how often a daemon looks how far its start has come.
	startLook = 20 * time.Millisecond
	// startFor is for how long it looks: a daemon that is alone, or that nobody calls,
	// does not reach all steps.
	startFor = 10 * time.Second
)

// startStep is a state that a daemon reaches once after its start.
type startStep struct {
	name    string
	reached func(now time.Time) bool
}

// startSteps are the states between the start of a daemon and its first answer, in the
// order in which they are usually reached.
func (s *Server) startSteps() []startStep {
	return []startStep{
		{"configuration known", func(time.Time) bool { return s.beliefs.Config() != nil }},
		{"worker list known", func(time.Time) bool { return !s.inventory.Confirmed().IsZero() }},
		{"callers come here", func(time.Time) bool { return s.Ready() }},
		{"daemons listed", func(time.Time) bool { return s.metAt.Load() != nil }},
		{"peers heard", func(now time.Time) bool { return len(s.agent.Table().Alive(now)) > 0 }},
		{"loads of peers known", func(now time.Time) bool { return len(s.agent.FleetSummary(now).Loads) > len(s.tracker.Loads()) }},
		{"leader known", func(time.Time) bool { _, highest, _ := s.elector.State(); return highest.Epoch > 0 }},
		{"first answer", func(time.Time) bool { return s.relay.Answered() }},
	}
}

// tellStart logs each step of the start as it is reached, until all are or startFor is over.
func (s *Server) tellStart(ctx context.Context) {
	began, left := time.Now(), s.startSteps()
	for ctx.Err() == nil && len(left) > 0 && time.Since(began) < startFor {
		now, rest := time.Now(), left[:0:0]
		for _, step := range left {
			if !step.reached(now) {
				rest = append(rest, step)
				continue
			}
			s.logger.Info("start: "+step.name, "ms", now.Sub(began).Milliseconds(), "workers", len(s.inventory.View().Workers()))
		}
		left = rest
		pause.For(ctx, startLook)
	}
}
