package serving

import "time"

// aloneTimeout is the time after which a starting daemon assumes that it is alone. It does so if it
// has neither read the member list nor received a heartbeat.
const aloneTimeout = 2 * time.Second

// hasSettled reports whether the configuration that this daemon read after its start is at least as
// new as that of its peers. It returns false until a peer's heartbeat has arrived, unless the
// daemon seems to be alone. Once true, the result stays true. The check is needed because a store
// that was just restored from a copy may return an older configuration, with keys that have been
// revoked.
func (s *Server) hasSettled(now time.Time) bool {
	if s.isSettled.Load() {
		return true
	}
	readAt := s.membersReadAt.Load()
	alone := readAt != nil && now.Sub(*readAt) > listenPeriod || now.Sub(s.startedAt) > aloneTimeout
	hasPeers := len(s.agent.Table().Alive(now)) > 0
	if !hasPeers && !alone || s.newestPeerConfig.Load() > s.configCache.Version() {
		return false
	}
	s.isSettled.Store(true)
	return true
}

// noteConfigVersion records the configuration version that a peer reported, if it is the newest.
func (s *Server) noteConfigVersion(version int64) {
	for {
		known := s.newestPeerConfig.Load()
		if version <= known || s.newestPeerConfig.CompareAndSwap(known, version) {
			return
		}
	}
}

// configConfirmedAt returns when the current configuration was last known to be the newest. It is
// zero before the daemon has settled.
func (s *Server) configConfirmedAt() time.Time {
	if !s.hasSettled(time.Now()) {
		return time.Time{}
	}
	return s.configCache.Confirmed()
}
