package serving

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const manyWorkers = 200

// warmUpFleet is a fleet whose workers are all cold, by what one daemon knows.
func warmUpFleet(s *Server) {
	warmUp := fleet.WarmUp{PerSecond: 14, For: 3 * time.Second}
	s.beliefs.Offer(fleet.NewConfig(fleet.Parts{Version: 2, Services: []*fleet.Service{{Name: "models", WarmUp: warmUp}}}), time.Now())
	var all []fleet.Change
	for i := range manyWorkers {
		id := fmt.Sprint("w", i)
		all = append(all, fleet.Change{ID: id, Worker: &fleet.Worker{ID: id, Service: "models", Zone: "hall", ColdLeft: time.Hour.Milliseconds()}})
	}
	s.inventory.Replace(all, 2, time.Now())
}

// held returns for how many of the cold workers a daemon ever gets a token.
func held(s *Server) int {
	count, later := 0, time.Now().Add(time.Minute)
	for i := range manyWorkers {
		w, _ := s.inventory.View().Worker(fmt.Sprint("w", i))
		r := &fleet.Replica{ID: w.ID, Head: w}
		s.warmUp.Look(time.Now())
		if _, ok := s.takeWarmUp(r, later); ok {
			count++
		}
	}
	return count
}

// TestWhoHoldsColdWorkers: a daemon holds its part of the cold workers by all daemons that
// were ever registered, whether they are alive or not, and none before it read of them.
func TestWhoHoldsColdWorkers(t *testing.T) {
	others := func(count int) []peers.Identity {
		var all []peers.Identity
		for i := range count {
			all = append(all, peers.Identity{ID: fmt.Sprint("b", i), Incarnation: 1, Address: fmt.Sprint("b:", i), Zone: "z"})
		}
		return all
	}
	tests := map[string]struct {
		store *fakeStore
		heard int
		least int
		most  int
	}{
		"it knows nobody and has not read the list": {store: &fakeStore{away: true}},
		"it is alone, by the list":                  {store: &fakeStore{}, least: manyWorkers, most: manyWorkers},
		"many are listed and none is alive":         {store: &fakeStore{known: others(79)}, least: 1, most: 25},
		"others were heard and the list is away":    {store: &fakeStore{away: true}, heard: 29},
		"many are listed and more were heard":       {store: &fakeStore{known: others(49)}, heard: 79, least: 1, most: 25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, test.store)
			for _, b := range others(test.heard) {
				s.agent.Table().RecordHeartbeat(peers.Heartbeat{Identity: b}, time.Now(), time.Now())
			}
			s.readMembers(context.Background())
			warmUpFleet(s)
			got := held(s)
			assert.Assert(t, got >= test.least && got <= test.most, "%d held", got)
		})
	}
}

// TestMembersAreReadAgain: what registers after the first read is found by a later one.
func TestMembersAreReadAgain(t *testing.T) {
	store := &fakeStore{}
	s := newServer(t, store)
	s.readMembers(context.Background())
	assert.Assert(t, time.Until(s.readAgain) <= readMembersSoon)
	learn(s, time.Now())
	soon := time.Now().Add(readMembersSoon)
	assert.Assert(t, !s.membersDue(soon), "no service bounds what cold workers get")
	warmUpFleet(s)
	assert.Assert(t, !s.membersDue(time.Now()))
	assert.Assert(t, s.membersDue(soon))
	store.known = []peers.Identity{{ID: "b", Incarnation: 1, Address: "b:1"}}
	s.readMembers(context.Background())
	assert.DeepEqual(t, s.registered(), []string{"a", "b"})
	assert.Assert(t, time.Until(s.readAgain) > readMembersSoon)
}
