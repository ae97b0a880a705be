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

const coldWorkerCount = 200

// setColdWorkers gives a daemon a worker list in which all workers are cold, and a service that
// limits requests to cold workers.
func setColdWorkers(s *Server) {
	warmUp := fleet.WarmUp{PerSecond: 14, For: 3 * time.Second}
	s.configCache.Offer(fleet.NewConfig(fleet.Parts{Version: 2, Services: []*fleet.Service{{Name: "models", WarmUp: warmUp}}}), time.Now())
	var all []fleet.Change
	for i := range coldWorkerCount {
		id := fmt.Sprint("w", i)
		all = append(all, fleet.Change{ID: id, Worker: &fleet.Worker{ID: id, Service: "models", Zone: "hall", ColdRemainingMillis: time.Hour.Milliseconds()}})
	}
	s.inventory.Replace(all, 2, time.Now())
}

// countHeld returns the number of cold workers to which a daemon may ever send a request.
func countHeld(s *Server) int {
	count, later := 0, time.Now().Add(time.Minute)
	for i := range coldWorkerCount {
		w, _ := s.inventory.View().Worker(fmt.Sprint("w", i))
		r := &fleet.Replica{ID: w.ID, Head: w}
		s.warmUp.Refresh(time.Now())
		if _, ok := s.takeWarmUp(r, later); ok {
			count++
		}
	}
	return count
}

// TestHoldersOfColdWorkers checks the number of cold workers that a daemon may send requests to.
// They are divided among all daemons ever known, alive or not. Before a daemon has read the member
// list, it may not send requests to any.
func TestHoldersOfColdWorkers(t *testing.T) {
	others := func(count int) []peers.Identity {
		var all []peers.Identity
		for i := range count {
			all = append(all, peers.Identity{ID: fmt.Sprint("b", i), Incarnation: 1, Address: fmt.Sprint("b:", i), Zone: "z"})
		}
		return all
	}
	tests := map[string]struct {
		store      *fakeStore
		heardCount int
		minHeld    int
		maxHeld    int
	}{
		"it knows no other and has not read the list":   {store: &fakeStore{isUnavailable: true}},
		"it is the only one listed":                     {store: &fakeStore{}, minHeld: coldWorkerCount, maxHeld: coldWorkerCount},
		"many are listed and none is alive":             {store: &fakeStore{members: others(79)}, minHeld: 1, maxHeld: 25},
		"others were heard and the list is unavailable": {store: &fakeStore{isUnavailable: true}, heardCount: 29},
		"many are listed and more were heard":           {store: &fakeStore{members: others(49)}, heardCount: 79, minHeld: 1, maxHeld: 25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, test.store)
			for _, b := range others(test.heardCount) {
				s.agent.Table().RecordHeartbeat(peers.Heartbeat{Identity: b}, time.Now(), time.Now())
			}
			s.readMembers(context.Background())
			setColdWorkers(s)
			got := countHeld(s)
			assert.Assert(t, got >= test.minHeld && got <= test.maxHeld, "%d held", got)
		})
	}
}

// TestMemberListIsReread checks that the member list is read again if requests to cold workers are
// limited. The later read must find daemons that registered after the first one.
func TestMemberListIsReread(t *testing.T) {
	store := &fakeStore{}
	s := newServer(t, store)
	s.readMembers(context.Background())
	assert.Assert(t, time.Until(s.nextMemberRead) <= memberRereadDelay)
	setState(s, time.Now())
	afterDelay := time.Now().Add(memberRereadDelay)
	assert.Assert(t, !s.isMemberReadDue(afterDelay), "no service limits requests to cold workers")
	setColdWorkers(s)
	assert.Assert(t, !s.isMemberReadDue(time.Now()))
	assert.Assert(t, s.isMemberReadDue(afterDelay))
	store.members = []peers.Identity{{ID: "b", Incarnation: 1, Address: "b:1"}}
	s.readMembers(context.Background())
	assert.DeepEqual(t, s.registeredIDs(), []string{"a", "b"})
	assert.Assert(t, time.Until(s.nextMemberRead) > memberRereadDelay)
}
