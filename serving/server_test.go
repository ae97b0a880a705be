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
)

var errAway = errors.New("away")

// fakeStore is a source and a member list whose answers a test sets.
type fakeStore struct {
	known []peers.Identity
	away  bool
}

func (f *fakeStore) source() fleet.Source {
	return fleet.Source{ReadConfig: f.readConfig, NextConfig: f.nextConfig, ReadWorkers: f.readWorkers, NextWorkers: f.nextWorkers}
}

func (f *fakeStore) readConfig(context.Context) (fleet.ConfigNews, error) {
	return fleet.ConfigNews{Config: fleet.NewConfig(fleet.Parts{Version: 1})}, nil
}

func (f *fakeStore) nextConfig(context.Context, int64, time.Duration) (fleet.ConfigNews, error) {
	return fleet.ConfigNews{}, errAway
}

func (f *fakeStore) readWorkers(context.Context, string) (fleet.WorkerNews, error) {
	return fleet.WorkerNews{Next: 1}, nil
}

func (f *fakeStore) nextWorkers(context.Context, int64, time.Duration) (fleet.WorkerNews, error) {
	return fleet.WorkerNews{}, errAway
}

func (f *fakeStore) register(context.Context, peers.Identity) error { return nil }

func (f *fakeStore) read(context.Context, string) ([]peers.Identity, error) {
	if f.away {
		return nil, errAway
	}
	return f.known, nil
}

func newServer(t *testing.T, store *fakeStore) *Server {
	t.Helper()
	s, err := New(optionsOf(t, store))
	assert.NilError(t, err)
	return s
}

// optionsOf returns the options of a daemon alone.
func optionsOf(t *testing.T, store *fakeStore) Options {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := c.LocalAddr().String()
	assert.NilError(t, c.Close())
	return Options{
		Self:   peers.Identity{ID: "a", Incarnation: 1, Zone: "z", Address: address, Front: "front-a"},
		Bounds: Bounds{Heartbeat: time.Second, Revoke: 5 * time.Second, KeepEntries: time.Second},
		Source: store.source(), MemberList: MemberList{Register: store.register, Read: store.read}, Logger: hclog.NewNullLogger(),
	}
}

// learn lets the server know a configuration and the workers as of a time.
func learn(s *Server, at time.Time) {
	s.beliefs.Offer(fleet.NewConfig(fleet.Parts{Version: 1}), at)
	s.inventory.Replace(nil, 1, at)
	s.settledOnce.Store(true)
}

// TestWhoHasJustStartedBelievesPeers: the store came back from a copy and shows an older
// configuration. A daemon that starts then serves no keys by it once it hears of a newer one,
// nor before it could hear of any.
func TestWhoHasJustStartedBelievesPeers(t *testing.T) {
	s, now := newServer(t, &fakeStore{}), time.Now()
	s.beliefs.Offer(fleet.NewConfig(fleet.Parts{Version: 1}), now)
	s.inventory.Replace(nil, 1, now)
	assert.Assert(t, !s.Ready() && s.relay.BeliefTooOld(now), "it heard nobody yet")
	p := &peers.Peer{Heartbeat: peers.Heartbeat{Identity: peers.Identity{ID: "b", Incarnation: 1, Address: "b"}, ConfigVersion: 2}, HeardAt: now}
	s.agent.Table().RecordHeartbeat(p.Heartbeat, now, now)
	s.heard(p)
	assert.Assert(t, !s.Ready() && s.relay.BeliefTooOld(now), "a newer one is in force at a peer")
	s.beliefs.Offer(fleet.NewConfig(fleet.Parts{Version: 2}), now)
	assert.Assert(t, s.Ready() && !s.relay.BeliefTooOld(now))
	alone := newServer(t, &fakeStore{})
	alone.beliefs.Offer(fleet.NewConfig(fleet.Parts{Version: 1}), now)
	alone.inventory.Replace(nil, 1, now)
	long := now.Add(-2 * hearFor)
	alone.metAt.Store(&long)
	assert.Assert(t, alone.Ready(), "there is nobody to hear")
}

func TestWhoHasNotMetOthersDoesNotLead(t *testing.T) {
	store := &fakeStore{away: true}
	s := newServer(t, store)
	learn(s, time.Now())
	s.readMembers(context.Background())
	assert.Assert(t, !s.fit(), "the member list was not read")
	store.away = false
	s.readMembers(context.Background())
	assert.Assert(t, !s.fit(), "nobody had time to be heard")
	long := time.Now().Add(-2 * hearFor)
	s.metAt.Store(&long)
	assert.Assert(t, s.fit())
	s.leaving.Store(true)
	assert.Assert(t, !s.fit())
}

func TestEntries(t *testing.T) {
	hear := func(s *Server, id string, ready, leaving bool) {
		b := peers.Heartbeat{Identity: peers.Identity{ID: id, Incarnation: 1, Address: id, Front: "front-" + id}, Ready: ready, Leaving: leaving}
		s.agent.Table().RecordHeartbeat(b, time.Now(), time.Now())
	}
	tests := map[string]struct {
		prepare func(s *Server)
		want    []string
	}{
		"itself and a ready peer": {
			prepare: func(s *Server) { learn(s, time.Now()); hear(s, "b", true, false) },
			want:    []string{"front-a", "front-b"},
		},
		"peers that leave or are not ready are left out": {
			prepare: func(s *Server) { learn(s, time.Now()); hear(s, "b", true, true); hear(s, "c", false, false) },
			want:    []string{"front-a"},
		},
		"a daemon that knows too little names others": {
			prepare: func(s *Server) { learn(s, time.Now().Add(-time.Hour)); hear(s, "b", true, false) },
			want:    []string{"front-b"},
		},
		"when nobody is ready, all that stay": {
			prepare: func(s *Server) { hear(s, "b", false, false) },
			want:    []string{"front-a", "front-b"},
		},
		"a leaving daemon names others": {
			prepare: func(s *Server) { learn(s, time.Now()); s.leaving.Store(true); hear(s, "b", true, false) },
			want:    []string{"front-b"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, &fakeStore{})
			test.prepare(s)
			assert.DeepEqual(t, s.Entries(Caller{}), test.want)
		})
	}
}

func TestReaderIsOnlyOne(t *testing.T) {
	s := newServer(t, &fakeStore{})
	now := time.Now()
	met := now.Add(-roleKnown)
	s.metAt.Store(&met)
	assert.Assert(t, s.reads(time.Time{}), "nothing is known")
	assert.Assert(t, !s.reads(now), "what is known is fresh, though nobody leads")
	b := peers.Heartbeat{Identity: peers.Identity{ID: "b", Incarnation: 1, Address: "b"}, Leads: &peers.Claim{Epoch: 1}}
	s.agent.Table().RecordHeartbeat(b, now, now)
	assert.Assert(t, !s.reads(now), "the leader reads")
	assert.Assert(t, s.reads(now.Add(-readAfter-readSpread)), "what the leader tells is too old")
}

// TestRelaysReadBeforeMembers: where the leader is turned away by the store, all relays
// read before any member does, so that a change is known within the bounds by one hop.
func TestRelaysReadBeforeMembers(t *testing.T) {
	for _, role := range []peers.Role{peers.Direct, peers.Relay} {
		assert.Assert(t, readPatience(role, readSpread) < readPatience(peers.Member, 0), "%s", role)
		assert.Equal(t, readPatience(role, 0), readAfter)
	}
}

// TestOnlyMembersSpreadTheirRetries: the leader and relays read for all.
func TestOnlyMembersSpreadTheirRetries(t *testing.T) {
	s := newServer(t, &fakeStore{})
	assert.Equal(t, s.retrySpread(), time.Duration(0), "it does not know of others")
	now := time.Now()
	for n := range 200 {
		id := fmt.Sprint("front-", n)
		s.agent.Table().Learn(peers.Identity{ID: id, Incarnation: 1, Zone: "z", Address: id, Capacity: 100}, now)
	}
	s.agent.UpdateLayout(now)
	s.agent.UpdateLayout(now)
	assert.Equal(t, s.agent.Role(), peers.Member)
	assert.Equal(t, s.retrySpread(), spreadOver(s.agent.DaemonCount()))
	assert.Assert(t, spreadOver(986) > 4*time.Second && spreadOver(9) < 100*time.Millisecond)
}
