package serving

import "time"

// suspended returns for how long the machine was suspended in all, once what is believed is as
// old as it is. It must not be called with a lock that slept takes.
func (s *Server) suspended() time.Duration {
	s.awake.Check()
	return s.opts.Suspended()
}

// slept makes all that is believed as old as it is, after the machine was suspended: what the
// steady clock does not count would else let keys that were taken away pass, and a leader whom
// another one followed go on.
func (s *Server) slept(asleep time.Duration) {
	s.logger.Warn("the machine was suspended", "ms", asleep.Milliseconds())
	s.meter.Slept(asleep)
	s.elector.Yield("the machine was suspended")
	s.beliefs.Slept(asleep)
	s.inventory.Slept(asleep)
	s.halls.Slept(asleep)
	s.agent.Table().NoteSuspension(time.Now(), asleep)
	s.relay.Slept()
}
