package serving

import "time"

// settleAloneAfter is how long after its start a daemon that hears no other and cannot read the
// member list assumes that its state is current.
const settleAloneAfter = 2 * time.Second

// settled reports whether the state that this daemon read after its start is known to be at least
// as new as that of daemons already running: it heard one and has the newest configuration
// reported, or there is no other. A store just restored from a copy may briefly return an older
// configuration with keys that were revoked since.
func (s *Server) settled(now time.Time) bool {
	if s.isSettled.Load() {
		return true
	}
	readAt := s.membersReadAt.Load()
	alone := readAt != nil && now.Sub(*readAt) > listenPeriod || now.Sub(s.start) > settleAloneAfter
	hasPeers := len(s.agent.Table().Alive(now)) > 0
	if !hasPeers && !alone || s.newestConfigHeard.Load() > s.beliefs.Version() {
		return false
	}
	s.isSettled.Store(true)
	return true
}

// noteConfigVersion records the configuration version of a peer.
func (s *Server) noteConfigVersion(version int64) {
	for {
		known := s.newestConfigHeard.Load()
		if version <= known || s.newestConfigHeard.CompareAndSwap(known, version) {
			return
		}
	}
}

// configConfirmed returns when the current configuration was last known to be the newest; zero
// while it may be out of date.
func (s *Server) configConfirmed() time.Time {
	if !s.settled(time.Now()) {
		return time.Time{}
	}
	return s.beliefs.Confirmed()
}
