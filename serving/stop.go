package serving

import (
	"context"
	"net"
	"net/http"
	"time"

	"quartzshelf.dev/proxy"
)

const (
	// addressTTLFactor multiplies AddressTTL, because some callers keep addresses for longer.
	addressTTLFactor = 3
	// addressMargin is how long after the begin of a stop other daemons may still hand out the address, and
	// how much later than the stop was asked for it may begin.
	addressMargin = 300 * time.Millisecond
	// graceMargin is the time between the end of the last answer and the time when this process would
	// be killed.
	graceMargin = 300 * time.Millisecond
	// acceptMargin is how long stop waits, after it stopped accepting connections, for the server
	// to start serving the last one.
	acceptMargin = 100 * time.Millisecond
	// endMargin is how long requests that are ended may take to answer or break off.
	endMargin = 100 * time.Millisecond
)

// stopSchedule holds the times of a stop.
type stopSchedule struct {
	begin time.Time
	// From bindingFrom on, only requests that will certainly be answered are accepted. At addressExpiry, no
	// caller uses this daemon's address any more. At end, requests still in flight are ended.
	bindingFrom, addressExpiry, end time.Time
}

func newStopSchedule(begin time.Time, b Bounds) stopSchedule {
	end := begin.Add(b.StopGracePeriod - graceMargin)
	addressLifetime := addressTTLFactor * b.AddressTTL
	return stopSchedule{
		begin: begin, bindingFrom: begin.Add(addressLifetime - addressMargin),
		addressExpiry: earliest(begin.Add(addressLifetime+addressMargin), end), end: end,
	}
}

// stop shuts the daemon down gracefully. It first reports to peers that the daemon is leaving. Until callers
// no longer use its address, it serves the requests that it can answer in time. At last it closes the listener
// and waits for requests in flight.
func (s *Server) stop(server *http.Server, front net.Listener) {
	schedule := newStopSchedule(time.Now(), s.opts.Bounds)
	s.shutdown.Store(proxy.NewShutdown(schedule.bindingFrom, schedule.addressExpiry, schedule.end.Add(-acceptMargin)))
	s.elector.Yield("the daemon leaves")
	s.agent.SendHeartbeat(schedule.begin)
	s.logger.Info("stopping", "until", schedule.end)
	time.Sleep(time.Until(schedule.addressExpiry))
	// Shutdown does not wait for a connection that is accepted at the same moment, so the listener
	// is closed first.
	_ = front.Close()
	time.Sleep(acceptMargin)
	ctx, cancel := context.WithDeadline(context.Background(), schedule.end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.endRequests(server)
		return
	}
	s.logger.Info("stopped with nothing in flight", "ms", time.Since(schedule.begin).Milliseconds())
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

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
