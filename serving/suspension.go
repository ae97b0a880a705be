package serving

import "time"

// suspended returns the total time for which the machine was suspended. If there was a new
// suspension, it calls afterSuspension first. The caller must not hold a lock that afterSuspension
// takes.
func (s *Server) suspended() time.Duration {
	s.suspensionWatch.Check()
	return s.opts.Suspended()
}

// afterSuspension adds the time for which the machine was suspended to the age of all state. The
// monotonic clock does not count that time. Without the correction, revoked keys could still be
// accepted and a superseded leader could continue.
func (s *Server) afterSuspension(suspended time.Duration) {
	s.logger.Warn("the machine was suspended", "ms", suspended.Milliseconds())
	s.meter.CountSuspension(suspended)
	s.elector.Yield("the machine was suspended")
	s.configCache.AddSuspension(suspended)
	s.inventory.AddSuspension(suspended)
	s.halls.AddSuspension(suspended)
	s.agent.Table().NoteSuspension(time.Now(), suspended)
	s.proxy.AddSuspension(suspended)
}
