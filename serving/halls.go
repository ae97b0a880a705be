package serving

import (
	"context"
	"time"

	"quartzshelf.dev/fleet"
)

// hallCheckInterval is the time between two checks of whether the closed data halls are empty.
const hallCheckInterval = 100 * time.Millisecond

// hallWatch tracks closed data halls for logs and metrics.
type hallWatch struct {
	server *Server
	// closingSince holds, by hall, the time when this daemon learned that the hall is to be closed.
	closingSince map[string]time.Time
	// loggedStates holds, by hall, the state that was logged last. loggedEmpty holds the closed
	// halls that were logged as empty, that is, without requests of this daemon in flight.
	loggedStates map[string]fleet.HallState
	loggedEmpty  map[string]bool
}

// watchHalls forwards and logs changes of the states of data halls until ctx ends.
func (s *Server) watchHalls(ctx context.Context) {
	w := &hallWatch{
		server: s, closingSince: make(map[string]time.Time),
		loggedStates: make(map[string]fleet.HallState), loggedEmpty: make(map[string]bool),
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

// update logs the changes of data halls since its last call.
func (w *hallWatch) update(view *fleet.HallView, now time.Time) {
	for _, hall := range view.Closed() {
		if _, known := w.closingSince[hall]; !known {
			w.closingSince[hall] = now
		}
	}
	for hall, since := range w.closingSince {
		state := view.State(hall, now)
		if w.loggedStates[hall] != state {
			w.loggedStates[hall] = state
			w.server.logger.Info("data hall is "+state.String(), "hall", hall, "ms", now.Sub(since).Milliseconds())
		}
		switch {
		case state == fleet.HallOpen:
			delete(w.closingSince, hall)
			delete(w.loggedStates, hall)
			delete(w.loggedEmpty, hall)
		case state == fleet.HallClosed && !w.loggedEmpty[hall] && w.server.tracker.InFlightInHall(hall) == 0:
			w.loggedEmpty[hall] = true
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
