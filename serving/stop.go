package serving

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// entryLives is how many times the given time some callers keep an answer
	// that names addresses.
	entryLives = 3
	// graceMargin is how long before it would be killed the process ends.
	graceMargin = 300 * time.Millisecond
	// acceptMargin is how long after the last connection was taken its serving
	// has begun for certain.
	acceptMargin = 100 * time.Millisecond
)

// stop is the planned stop: peers and callers are told first, then callers
// that kept an address are still served, then what is in flight may end.
func (s *Server) stop(server *http.Server, front net.Listener) {
	start := time.Now()
	end := start.Add(s.opts.Bounds.Grace - graceMargin)
	s.leaving.Store(true)
	s.elector.Yield("the daemon leaves")
	s.agent.SendHeartbeat(start)
	s.logger.Info("stopping", "until", end)
	void := start.Add(entryLives*s.opts.Bounds.KeepEntries + graceMargin)
	if void.After(end) {
		void = end
	}
	time.Sleep(time.Until(void))
	// The library does not wait for a connection that was taken in the moment
	// in which it stops, so taking them ends first.
	_ = front.Close()
	time.Sleep(acceptMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.logger.Warn("stopped with requests in flight", "error", err)
		_ = server.Close()
		return
	}
	s.logger.Info("stopped with nothing in flight", "ms", time.Since(start).Milliseconds())
}
