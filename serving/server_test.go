package serving

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/proxy"
)

var errUnavailable = errors.New("away")

// fakeStore is a source and a member list with preset results.
type fakeStore struct {
	members       []peers.Identity
	isUnavailable bool
}

func (f *fakeStore) source() fleet.Source {
	return fleet.Source{ReadConfig: f.readConfig, NextConfig: f.nextConfig, ReadWorkers: f.readWorkers, NextWorkers: f.nextWorkers}
}

func (f *fakeStore) readConfig(context.Context) (fleet.ConfigUpdate, error) {
	return fleet.ConfigUpdate{Config: fleet.NewConfig(fleet.Parts{Version: 1})}, nil
}

func (f *fakeStore) nextConfig(context.Context, int64, time.Duration) (fleet.ConfigUpdate, error) {
	return fleet.ConfigUpdate{}, errUnavailable
}

func (f *fakeStore) readWorkers(context.Context, string) (fleet.WorkerUpdate, error) {
	return fleet.WorkerUpdate{Next: 1}, nil
}

func (f *fakeStore) nextWorkers(context.Context, int64, time.Duration) (fleet.WorkerUpdate, error) {
	return fleet.WorkerUpdate{}, errUnavailable
}

func (f *fakeStore) register(context.Context, peers.Identity) error { return nil }

func (f *fakeStore) read(context.Context, string) ([]peers.Identity, error) {
	if f.isUnavailable {
		return nil, errUnavailable
	}
	return f.members, nil
}

func newServer(t *testing.T, store *fakeStore) *Server {
	t.Helper()
	s, err := New(optionsOf(t, store))
	assert.NilError(t, err)
	return s
}

// optionsOf returns the options of a daemon that uses the given store and a free peer address.
func optionsOf(t *testing.T, store *fakeStore) Options {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := c.LocalAddr().String()
	assert.NilError(t, c.Close())
	return Options{
		Self:   peers.Identity{ID: "a", Incarnation: 1, Zone: "z", Address: address, ServingAddress: "front-a"},
		Bounds: Bounds{WorkerHeartbeatInterval: time.Second, RevocationBound: 5 * time.Second, AddressTTL: time.Second},
		Source: store.source(), MemberList: MemberList{Register: store.register, Read: store.read}, Logger: hclog.NewNullLogger(),
	}
}

// setState gives a daemon a configuration and a worker list that were confirmed at a time. The
// daemon then counts as settled.
func setState(s *Server, at time.Time) {
	s.configCache.Offer(fleet.NewConfig(fleet.Parts{Version: 1}), at)
	s.inventory.Replace(nil, 1, at)
	s.isSettled.Store(true)
}

// TestStartingDaemonTrustsPeers checks that a starting daemon accepts no keys until it knows that
// its configuration is the newest. A store that was just restored from a copy may return an older
// one. The daemon must wait for a peer's heartbeat, and then for the version that the peer reports.
func TestStartingDaemonTrustsPeers(t *testing.T) {
	s, now := newServer(t, &fakeStore{}), time.Now()
	s.configCache.Offer(fleet.NewConfig(fleet.Parts{Version: 1}), now)
	s.inventory.Replace(nil, 1, now)
	assert.Assert(t, !s.IsReady() && s.proxy.IsConfigStale(now), "it has heard no peer yet")
	p := &peers.Peer{Heartbeat: peers.Heartbeat{Identity: peers.Identity{ID: "b", Incarnation: 1, Address: "b"}, ConfigVersion: 2}, LastHeartbeatAt: now}
	s.agent.Table().RecordHeartbeat(p.Heartbeat, now, now)
	s.onHeartbeat(p)
	assert.Assert(t, !s.IsReady() && s.proxy.IsConfigStale(now), "a peer has a newer configuration")
	s.configCache.Offer(fleet.NewConfig(fleet.Parts{Version: 2}), now)
	assert.Assert(t, s.IsReady() && !s.proxy.IsConfigStale(now))
	loneServer := newServer(t, &fakeStore{})
	loneServer.configCache.Offer(fleet.NewConfig(fleet.Parts{Version: 1}), now)
	loneServer.inventory.Replace(nil, 1, now)
	longAgo := now.Add(-2 * listenPeriod)
	loneServer.membersReadAt.Store(&longAgo)
	assert.Assert(t, loneServer.IsReady(), "there are no peers")
}

func TestNoLeadershipBeforeDiscovery(t *testing.T) {
	store := &fakeStore{isUnavailable: true}
	s := newServer(t, store)
	setState(s, time.Now())
	s.readMembers(context.Background())
	assert.Assert(t, !s.canLead(), "the member list was not read")
	store.isUnavailable = false
	s.readMembers(context.Background())
	assert.Assert(t, !s.canLead(), "there was no time to hear peers")
	longAgo := time.Now().Add(-2 * listenPeriod)
	s.membersReadAt.Store(&longAgo)
	assert.Assert(t, s.canLead())
	s.shutdown.Store(&proxy.Shutdown{})
	assert.Assert(t, !s.canLead())
}

func TestEntries(t *testing.T) {
	recordPeer := func(s *Server, id string, ready, leaving bool) {
		b := peers.Heartbeat{Identity: peers.Identity{ID: id, Incarnation: 1, Address: id, ServingAddress: "front-" + id}, Ready: ready, Leaving: leaving}
		s.agent.Table().RecordHeartbeat(b, time.Now(), time.Now())
	}
	tests := map[string]struct {
		prepare func(s *Server)
		want    []string
	}{
		"itself and a ready peer": {
			prepare: func(s *Server) { setState(s, time.Now()); recordPeer(s, "b", true, false) },
			want:    []string{"front-a", "front-b"},
		},
		"peers that are leaving or not ready are omitted": {
			prepare: func(s *Server) {
				setState(s, time.Now())
				recordPeer(s, "b", true, true)
				recordPeer(s, "c", false, false)
			},
			want: []string{"front-a"},
		},
		"a daemon with outdated state returns others": {
			prepare: func(s *Server) { setState(s, time.Now().Add(-time.Hour)); recordPeer(s, "b", true, false) },
			want:    []string{"front-b"},
		},
		"if no daemon is ready, all that are not leaving": {
			prepare: func(s *Server) { recordPeer(s, "b", false, false) },
			want:    []string{"front-a", "front-b"},
		},
		"a leaving daemon returns others": {
			prepare: func(s *Server) {
				setState(s, time.Now())
				s.shutdown.Store(&proxy.Shutdown{})
				recordPeer(s, "b", true, false)
			},
			want: []string{"front-b"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, &fakeStore{})
			test.prepare(s)
			assert.DeepEqual(t, s.AddressesFor(Caller{}), test.want)
		})
	}
}

func TestOnlyOneDaemonReads(t *testing.T) {
	s := newServer(t, &fakeStore{})
	now := time.Now()
	membersReadAt := now.Add(-roleSettleTime)
	s.membersReadAt.Store(&membersReadAt)
	assert.Assert(t, s.shouldRead(time.Time{}), "it has no state")
	assert.Assert(t, !s.shouldRead(now), "its state is current, though there is no leader")
	b := peers.Heartbeat{Identity: peers.Identity{ID: "b", Incarnation: 1, Address: "b"}, OwnClaim: &peers.Claim{Epoch: 1}}
	s.agent.Table().RecordHeartbeat(b, now, now)
	assert.Assert(t, !s.shouldRead(now), "the leader reads")
	assert.Assert(t, s.shouldRead(now.Add(-fleet.MaxStaleness(false, fleet.ReadSpread, 0))), "the state from the leader is too old")
}

// TestOnlyMembersSpreadTheirRetries checks that a daemon alone retries without delay, and that a
// member of a large fleet spreads its retries by the number of daemons.
func TestOnlyMembersSpreadTheirRetries(t *testing.T) {
	s := newServer(t, &fakeStore{})
	assert.Equal(t, s.retrySpread(), time.Duration(0), "it knows no other daemon")
	now := time.Now()
	for n := range 200 {
		id := fmt.Sprint("front-", n)
		s.agent.Table().Learn(peers.Identity{ID: id, Incarnation: 1, Zone: "z", Address: id, Capacity: 100}, now)
	}
	s.agent.UpdateLayout(now)
	s.agent.UpdateLayout(now)
	assert.Equal(t, s.agent.Role(), peers.Member)
	assert.Equal(t, s.retrySpread(), retryInterval(s.agent.DaemonCount()))
	assert.Assert(t, retryInterval(986) > 4*time.Second && retryInterval(9) < 100*time.Millisecond)
}
