package formation

import (
	"maps"
	"math"
	"sync"
	"time"
)

// WorkSmoother tracks the smoothed work of each model on a daemon, whether or not the daemon is the
// leader. A daemon that becomes leader starts with this work (see Options.SmoothedWork). Observe
// may be called at any interval of up to about one second, since work is smoothed over several
// seconds.
type WorkSmoother struct {
	mu        sync.Mutex
	work      map[string]Work
	updatedAt time.Time
}

// Observe adds a measurement taken at the time now.
func (s *WorkSmoother) Observe(measured map[string]Work, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.work == nil {
		s.work = make(map[string]Work)
	}
	ticks := max(now.Sub(s.updatedAt).Seconds()/tickInterval.Seconds(), 0)
	if now.After(s.updatedAt) {
		s.updatedAt = now
	}
	for model, w := range measured {
		previous, ok := s.work[model]
		if !ok {
			previous = w
		}
		s.work[model] = previous.smoothedToward(w, ticks)
	}
}

// Work returns the smoothed work of each model.
func (s *WorkSmoother) Work() map[string]Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.work)
}

// smoothedToward returns the work after smoothing it toward a measurement for a number of ticks.
// ToleratedPause is taken from the measurement without smoothing.
func (w Work) smoothedToward(measured Work, ticks float64) Work {
	return Work{
		BusySlots: smoothValue(w.BusySlots, measured.BusySlots, ticks), PromptTokens: smoothValue(w.PromptTokens, measured.PromptTokens, ticks), ToleratedPause: measured.ToleratedPause,
	}
}

func smoothValue(previous, measured, ticks float64) float64 {
	weight := demandFallWeight
	if measured > previous {
		weight = demandRiseWeight
	}
	return measured + math.Pow(1-weight, ticks)*(previous-measured)
}
