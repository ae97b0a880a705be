package serving

import (
	"net"
	"net/http"
	"time"

	"quartzshelf.dev/common/drain"
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
	// quietTime is how long no request must have come before the listener is closed.
	quietTime = 200 * time.Millisecond
	// acceptMargin is how long connections that were accepted last, and requests that are ended, may
	// take to be answered.
	acceptMargin = 100 * time.Millisecond
)

// stopSchedule holds the times of a stop.
type stopSchedule struct {
	begin time.Time
	// From bindingFrom on, only requests that can be answered in time are accepted, even if no other daemon is
	// ready. At addressExpiry, no caller uses this daemon's address any more. At end, requests still in
	// flight are ended.
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
// no longer use its address, it serves the requests that it can answer in time. It then refuses new requests if
// another daemon is ready, but keeps the listener and the connections open until the requests in flight are
// answered, because a connection that is closed just as a request arrives takes the request with it.
func (s *Server) stop(server *http.Server, conns *drain.Conns, front net.Listener) {
	schedule := newStopSchedule(time.Now(), s.opts.Bounds)
	shutdown := proxy.NewShutdown(schedule.begin, schedule.bindingFrom, schedule.addressExpiry, schedule.end.Add(-acceptMargin))
	s.shutdown.Store(shutdown)
	s.elector.Yield("the daemon leaves")
	s.agent.SendHeartbeat(schedule.begin)
	s.logger.Info("stopping", "until", schedule.end)
	time.Sleep(time.Until(schedule.addressExpiry))
	ended := 0
	isQuiet := conns.AwaitIdle(quietTime, schedule.end)
	shutdown.RefuseAll()
	if err := front.Close(); err != nil {
		s.logger.Warn("closing the listener for callers failed", "error", err)
	}
	if !isQuiet {
		ended = s.proxy.EndRequests()
	}
	time.Sleep(acceptMargin)
	conns.SealWhenIdle(schedule.end)
	if !conns.AwaitClosed(latest(schedule.end, time.Now().Add(acceptMargin))) {
		s.logger.Warn("connections of callers closed within answers")
	}
	_ = server.Close()
	s.logStopped(schedule.begin, ended)
}

// logStopped logs how a stop ended. ended is the number of requests that it cut or refused at its end.
func (s *Server) logStopped(begin time.Time, ended int) {
	took := time.Since(begin).Milliseconds()
	if ended > 0 {
		s.logger.Warn("stopped with requests in flight", "requests", ended, "ms", took)
		return
	}
	s.logger.Info("stopped with nothing in flight", "ms", took)
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
