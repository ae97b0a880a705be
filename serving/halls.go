package serving

import (
	"context"
	"time"

	"quartzshelf.dev/fleet"
)

// hallCheckInterval is the time between two checks whether a closed data hall is empty.
const hallCheckInterval = 100 * time.Millisecond

// hallWatch tracks closed data halls for logs and metrics.
type hallWatch struct {
	server *Server
	// closedAt holds when this daemon learned that a hall is to be closed.
	closedAt map[string]time.Time
	// states holds the state logged last, by hall. empty holds the closed halls with no requests
	// of this daemon left.
	states map[string]fleet.HallState
	empty  map[string]bool
}

// watchHalls forwards changes of data halls and logs each hall's states until ctx ends.
func (s *Server) watchHalls(ctx context.Context) {
	w := &hallWatch{
		server: s, closedAt: make(map[string]time.Time),
		states: make(map[string]fleet.HallState), empty: make(map[string]bool),
	}
	ticker := time.NewTicker(hallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.halls.Changed():
			if s.forwardsNews() {
				s.agent.SendHeartbeat(time.Now())
			}
		case <-ticker.C:
		}
		w.update(s.halls.View(), time.Now())
	}
}

// update logs the changes since its last call.
func (w *hallWatch) update(view *fleet.HallView, now time.Time) {
	for _, hall := range view.Closed() {
		if _, known := w.closedAt[hall]; !known {
			w.closedAt[hall] = now
		}
	}
	for hall, since := range w.closedAt {
		state := view.State(hall, now)
		if w.states[hall] != state {
			w.states[hall] = state
			w.server.logger.Info("data hall is "+state.String(), "hall", hall, "ms", now.Sub(since).Milliseconds())
		}
		switch {
		case state == fleet.HallOpen:
			delete(w.closedAt, hall)
			delete(w.states, hall)
			delete(w.empty, hall)
		case state == fleet.HallClosed && !w.empty[hall] && w.server.tracker.InFlightIn(hall) == 0:
			w.empty[hall] = true
			w.server.logger.Info("data hall is empty", "hall", hall, "ms", now.Sub(since).Milliseconds())
		}
	}
}

// hallCounter returns a gauge of the number of data halls in a state.
func (s *Server) hallCounter(state fleet.HallState) func() float64 {
	return func() float64 {
		view, now, count := s.halls.View(), time.Now(), 0
		for _, hall := range view.Closed() {
			if view.State(hall, now) == state {
				count++
			}
		}
		return float64(count)
	}
}
