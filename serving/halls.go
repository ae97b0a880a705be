package serving

import (
	"context"
	"time"

	"quartzshelf.dev/fleet"
)

// hallsEvery is how often it is looked whether a closed data hall is empty.
const hallsEvery = 100 * time.Millisecond

// hallWatch follows the data halls that are closed, for logs and metrics.
type hallWatch struct {
	server *Server
	// closedAt holds when this daemon saw that a hall is to be closed.
	closedAt map[string]time.Time
	// states holds the state that was logged last, by hall; empty halls are those
	// that are closed and have no request of this daemon.
	states map[string]fleet.HallState
	empty  map[string]bool
}

// watchHalls passes changes of the data halls on and logs each hall's states until ctx
// ends.
func (s *Server) watchHalls(ctx context.Context) {
	w := &hallWatch{
		server: s, closedAt: make(map[string]time.Time),
		states: make(map[string]fleet.HallState), empty: make(map[string]bool),
	}
	ticker := time.NewTicker(hallsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.halls.Changed():
			if s.passesOn() {
				s.agent.SendHeartbeat(time.Now())
			}
		case <-ticker.C:
		}
		w.look(s.halls.View(), time.Now())
	}
}

// look logs what changed since the last look.
func (w *hallWatch) look(view *fleet.HallView, now time.Time) {
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

// hallsIn returns how many data halls are in a state, for the metrics.
func (s *Server) hallsIn(state fleet.HallState) func() float64 {
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
