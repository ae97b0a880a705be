package serving

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// sendHeartbeat passes a heartbeat of one daemon to another. The sender gets the id "sender".
func sendHeartbeat(from, to *Server, now time.Time) {
	h := peers.Heartbeat{Identity: from.opts.Self}
	h.ID, h.Address = "sender", "127.0.0.1:1"
	from.fillHeartbeat(&h, now)
	p := &peers.Peer{Heartbeat: h, LastHeartbeatAt: now, SentAfter: now}
	to.agent.Table().RecordHeartbeat(h, now, now)
	to.onHeartbeat(p)
}

// TestHeartbeatsTransferState checks each kind of state that a daemon learns from a peer's
// heartbeat. The daemon does not read the store.
func TestHeartbeatsTransferState(t *testing.T) {
	now := time.Now()
	earlier := now.Add(-3 * time.Second)
	tests := map[string]struct {
		prepare func(sender *Server)
		isKnown func(s *Server) bool
	}{
		"a closed data hall": {
			prepare: func(sender *Server) {
				sender.halls.ApplyRead(fleet.HallUpdate{IsComplete: true, Changes: []fleet.HallChange{{Hall: "z", Closed: true}}}, 5, now)
			},
			isKnown: func(s *Server) bool { return s.halls.View().State("z", now) != fleet.HallOpen },
		},
		"that the configuration is the newest": {
			prepare: func(sender *Server) { sender.configCache.Confirm(1, now) },
			isKnown: func(s *Server) bool { return now.Sub(s.configCache.Confirmed()) < time.Second },
		},
		"that the worker list is the newest": {
			prepare: func(sender *Server) { sender.inventory.Confirm(1, now) },
			isKnown: func(s *Server) bool { return now.Sub(s.inventory.Confirmed()) < time.Second },
		},
		"that there is a newer configuration": {
			prepare: func(sender *Server) { sender.configCache.Offer(fleet.NewConfig(fleet.Parts{Version: 2}), now) },
			isKnown: func(s *Server) bool { return len(s.fetcher.requests) == 1 && s.newestPeerConfig.Load() == 2 },
		},
		"that there are changes of the worker list": {
			prepare: func(sender *Server) { sender.inventory.Replace(nil, 2, now) },
			isKnown: func(s *Server) bool { return len(s.fetcher.requests) == 1 },
		},
		"that there are decisions of a leader": {
			prepare: func(sender *Server) {
				sender.inventory.BeginTerm(1)
				sender.inventory.Decide(1, fleet.Announcement{Group: "g"})
			},
			isKnown: func(s *Server) bool { return len(s.fetcher.requests) == 1 },
		},
		"who may lead": {
			prepare: func(sender *Server) {
				claim := peers.Claim{Epoch: 7}
				sender.elector.HandleHeartbeat(&peers.Peer{Heartbeat: peers.Heartbeat{HighestClaim: claim, Grant: peers.Grant{Epoch: 7}}})
			},
			isKnown: func(s *Server) bool {
				_, highest, grant := s.elector.State()
				return highest.Epoch == 7 && grant.Epoch == 7
			},
		},
		"that a leader was heard": {
			prepare: func(sender *Server) {
				leader := peers.Identity{ID: "leader", Incarnation: 1, Address: "127.0.0.1:2"}
				sender.agent.Table().RecordHeartbeat(peers.Heartbeat{Identity: leader, OwnClaim: &peers.Claim{Epoch: 1}}, now, now)
			},
			isKnown: func(s *Server) bool {
				hasLeaderAge := func(p *peers.Peer) bool { return p.ID == "sender" && p.LeaderAge > 0 }
				return slices.ContainsFunc(s.agent.Table().Alive(now), hasLeaderAge)
			},
		},
		"that there is traffic": {
			prepare: func(sender *Server) { sender.tracker.RecordPeerTraffic() },
			isKnown: func(s *Server) bool { return s.tracker.HasTraffic() },
		},
		"that a replica stalled": {
			prepare: func(sender *Server) { sender.suspicions.add(peers.Stall{Replica: "r", Head: "w"}, now) },
			isKnown: func(s *Server) bool { return len(s.suspicions.recentStalls(now)) == 1 },
		},
		"that the store was restored from a copy": {
			prepare: func(sender *Server) {
				sender.inventory.Replace(nil, fleet.PositionOf(1, 1), now)
				sender.configCache.Confirm(1, now)
			},
			// For a while after the restoration, reads do not confirm the configuration.
			isKnown: func(s *Server) bool {
				s.configCache.Confirm(1, now)
				return s.configCache.Confirmed().Equal(earlier)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sender, s := newServerWithState(t, earlier), newServerWithState(t, earlier)
			sendHeartbeat(sender, s, now)
			assert.Assert(t, !test.isKnown(newServerWithState(t, earlier)), "the state is known without a heartbeat")
			test.prepare(sender)
			sendHeartbeat(sender, s, now.Add(time.Millisecond))
			assert.Assert(t, test.isKnown(s))
		})
	}
}

// newServerWithState returns a daemon with a configuration and a worker list that were confirmed
// at a time.
func newServerWithState(t *testing.T, at time.Time) *Server {
	t.Helper()
	s := newServer(t, &fakeStore{})
	setState(s, at)
	return s
}
