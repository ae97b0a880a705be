package serving

import (
	"slices"
	"time"

	"quartzshelf.dev/peers"
	"quartzshelf.dev/proxy"
)

// The distances of peers to which requests can be forwarded.
const (
	sameHall = iota
	sameRegion
	otherRegion
)

// forwardPeers returns the other daemons that are alive, for forwarding requests to them.
func (s *Server) forwardPeers() []proxy.Peer {
	alive := s.agent.Table().Alive(time.Now())
	all := make([]proxy.Peer, 0, len(alive))
	for _, p := range alive {
		all = append(all, proxy.Peer{
			ID: p.ID, Incarnation: p.Incarnation, Address: p.ServingAddress,
			Distance: s.distanceOf(p), IsReady: isReadyPeer(p),
		})
	}
	return all
}

func (s *Server) distanceOf(p *peers.Peer) int {
	switch {
	case p.Zone == s.opts.Self.Zone:
		return sameHall
	case s.regionOf(p.Zone) == s.regionOf(s.opts.Self.Zone):
		return sameRegion
	}
	return otherRegion
}

// isWorseLinked reports whether this daemon reaches no worker of some service with an engine, although
// another daemon reaches workers of each service. Only services with an engine have replicas to
// manage.
func (s *Server) isWorseLinked() bool {
	if s.proxy.ReachesEngines() {
		return false
	}
	return s.hasReadyPeer()
}

// hasReadyPeer reports whether another daemon serves callers and is not about to end.
func (s *Server) hasReadyPeer() bool {
	return slices.ContainsFunc(s.agent.Table().Alive(time.Now()), isReadyPeer)
}

func isReadyPeer(p *peers.Peer) bool { return p.Ready && !p.Leaving }
