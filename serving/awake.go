package serving

import "time"

// suspended returns the total time for which the machine was suspended, after state that depends
// on it has been corrected. It must not be called with a lock held that afterSuspension takes.
func (s *Server) suspended() time.Duration {
	s.awake.Check()
	return s.opts.Suspended()
}

// afterSuspension corrects the age of all state after the machine was suspended, which the
// monotonic clock does not count. Otherwise revoked keys could still be accepted, and a superseded
// leader could go on.
func (s *Server) afterSuspension(suspended time.Duration) {
	s.logger.Warn("the machine was suspended", "ms", suspended.Milliseconds())
	s.meter.Slept(suspended)
	s.elector.Yield("the machine was suspended")
	s.beliefs.Slept(suspended)
	s.inventory.Slept(suspended)
	s.halls.Slept(suspended)
	s.agent.Table().NoteSuspension(time.Now(), suspended)
	s.relay.Slept()
}
