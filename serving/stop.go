package serving

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// entryLifetimeFactor multiplies AddressTTL, because some callers keep addresses for longer.
	entryLifetimeFactor = 3
	// graceMargin is the time between the end of this process and the time when it would be killed.
	graceMargin = 300 * time.Millisecond
	// acceptMargin is how long stop waits, after it stopped accepting connections, for the server
	// to start serving the last one.
	acceptMargin = 100 * time.Millisecond
	// endMargin is how long requests that are ended may take to answer or break off.
	endMargin = 100 * time.Millisecond
)

// stop shuts the daemon down gracefully. It first reports to peers that the daemon is leaving. Then
// it continues to serve callers until they no longer use this daemon's address. At last it closes
// the listener and waits for requests in flight.
func (s *Server) stop(server *http.Server, front net.Listener) {
	start := time.Now()
	deadline := start.Add(s.opts.Bounds.StopGracePeriod - graceMargin)
	s.isLeaving.Store(true)
	s.elector.Yield("the daemon leaves")
	s.agent.SendHeartbeat(start)
	s.logger.Info("stopping", "until", deadline)
	addressExpiry := start.Add(entryLifetimeFactor*s.opts.Bounds.AddressTTL + graceMargin)
	if addressExpiry.After(deadline) {
		addressExpiry = deadline
	}
	time.Sleep(time.Until(addressExpiry))
	// Shutdown does not wait for a connection that is accepted at the same moment, so the listener
	// is closed first.
	_ = front.Close()
	time.Sleep(acceptMargin)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.endRequests(server)
		return
	}
	s.logger.Info("stopped with nothing in flight", "ms", time.Since(start).Milliseconds())
}

// endRequests ends the requests in flight, waits until they are answered as far as possible, for endMargin
// at most, and closes all connections of callers.
func (s *Server) endRequests(server *http.Server) {
	s.logger.Warn("stopped with requests in flight", "requests", s.proxy.EndRequests())
	ctx, cancel := context.WithTimeout(context.Background(), endMargin)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.logger.Warn("connections of callers closed within answers", "error", err)
	}
	_ = server.Close()
}
