package serving

import "time"

// settleAlone is how long after its start a daemon that hears nobody and cannot read the
// member list takes what it knows for the newest.
const settleAlone = 2 * time.Second

// settled reports whether what this daemon read after its start is known to be no older than
// what daemons that ran before know: it heard one, and has the newest configuration heard of,
// or there is none. A store that has just come back from a copy shows an older configuration
// for a moment, in which keys are in force that were taken away.
func (s *Server) settled(now time.Time) bool {
	if s.settledOnce.Load() {
		return true
	}
	met := s.metAt.Load()
	alone := met != nil && now.Sub(*met) > hearFor || now.Sub(s.start) > settleAlone
	heard := len(s.agent.Table().Alive(now)) > 0
	if !heard && !alone || s.newestHeard.Load() > s.beliefs.Version() {
		return false
	}
	s.settledOnce.Store(true)
	return true
}

// hearVersion notes the version of the configuration that a peer has in force.
func (s *Server) hearVersion(version int64) {
	for {
		known := s.newestHeard.Load()
		if version <= known || s.newestHeard.CompareAndSwap(known, version) {
			return
		}
	}
}

// configConfirmed returns when the configuration in force was last known to be the newest;
// the zero time while it may be an older one.
func (s *Server) configConfirmed() time.Time {
	if !s.settled(time.Now()) {
		return time.Time{}
	}
	return s.beliefs.Confirmed()
}
