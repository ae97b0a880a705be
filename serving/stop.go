package serving

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// entryLifetimeFactor is how many times longer than KeepEntries some callers keep addresses.
	entryLifetimeFactor = 3
	// graceMargin is how long before it would be killed the process ends.
	graceMargin = 300 * time.Millisecond
	// acceptMargin is enough time for the serving of the last accepted connection to begin.
	acceptMargin = 100 * time.Millisecond
)

// stop shuts down gracefully: it informs peers and callers, then serves callers that still use
// this daemon's address, then waits for requests in flight.
func (s *Server) stop(server *http.Server, front net.Listener) {
	start := time.Now()
	end := start.Add(s.opts.Bounds.Grace - graceMargin)
	s.leaving.Store(true)
	s.elector.Yield("the daemon is stopping")
	s.agent.SendHeartbeat(start)
	s.logger.Info("stopping", "until", end)
	expiry := start.Add(entryLifetimeFactor*s.opts.Bounds.KeepEntries + graceMargin)
	if expiry.After(end) {
		expiry = end
	}
	time.Sleep(time.Until(expiry))
	// Shutdown does not wait for a connection that is accepted at the same moment, so accepting
	// ends first.
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
