package serving

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/suspension"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// newWorkerChanges returns changes that add workers to the list.
func newWorkerChanges(first, count int) []fleet.Change {
	var all []fleet.Change
	for i := first; i < first+count; i++ {
		id := fmt.Sprintf("w%d", i)
		all = append(all, fleet.Change{ID: id, Worker: &fleet.Worker{ID: id, Service: "s", Address: "127.0.0.1:80"}})
	}
	return all
}

// newLeader returns a daemon that has a list of workers and has begun a term as leader.
func newLeader(t *testing.T, workers int) *Server {
	t.Helper()
	s := newServer(t, &fakeStore{})
	s.inventory.Replace(newWorkerChanges(0, workers), int64(workers), time.Now())
	s.inventory.BeginTerm(1)
	return s
}

// TestNewsIsForwardedOnce checks that a leader forwards each new change and decision exactly once,
// in parts of limited size. It must not forward its initial state.
func TestNewsIsForwardedOnce(t *testing.T) {
	leader, follower := newLeader(t, 3), newServer(t, &fakeStore{})
	follower.inventory.Replace(newWorkerChanges(0, 3), 3, time.Now())
	follower.inventory.FollowDecisions(leader.inventory.DecisionsSince(fleet.DecisionPosition{}))
	n, forwarded := leader.newsSince(newsPosition{})
	assert.Equal(t, len(n.all)+len(n.members), 0, "the initial state is fetched, not sent as news")
	const count = 40
	leader.inventory.Apply(newWorkerChanges(3, count), 3+count, time.Now())
	for i := range count {
		leader.inventory.Decide(1, fleet.Announcement{Group: fmt.Sprint("g", i), Epoch: int64(i + 1), Head: "h"})
	}
	n, forwarded = leader.newsSince(forwarded)
	changes, decisions := 0, 0
	for _, n := range n.all {
		if n.Workers != nil {
			assert.Assert(t, len(n.Workers.Changes) <= changesPerNews)
			changes += len(n.Workers.Changes)
		}
		if n.Decisions != nil {
			assert.Assert(t, len(n.Decisions.All) <= decisionsPerNews)
			decisions += len(n.Decisions.All)
		}
		follower.onNews(&peers.Peer{}, &n)
	}
	assert.Equal(t, changes, count)
	assert.Equal(t, decisions, count)
	assert.Equal(t, follower.inventory.Position(), leader.inventory.Position())
	assert.Equal(t, follower.inventory.Decided(), leader.inventory.Decided())
	n, _ = leader.newsSince(forwarded)
	assert.Equal(t, len(n.all)+len(n.members), 0)
}

// TestMembersGetNewsInScope checks that news brings members to the leader's position in the worker
// list without a fetch. Members may hold only group heads or all workers.
func TestMembersGetNewsInScope(t *testing.T) {
	tests := map[string]struct {
		limitsWarmUp bool
		scope        fleet.Scope
	}{
		"heads alone": {scope: fleet.HeadsOnly},
		"all workers": {limitsWarmUp: true, scope: fleet.AllWorkers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader, member := newServer(t, &fakeStore{}), newServer(t, &fakeStore{})
			if test.limitsWarmUp {
				setColdWorkers(leader)
			}
			member.inventory.SetScope(test.scope)
			start := leader.inventory.Position()
			leader.inventory.Apply(nil, start+1, time.Now())
			whole, _ := leader.inventory.Since(-1)
			member.inventory.Replace(whole.Changes, whole.To, time.Now())
			_, forwarded := leader.newsSince(newsPosition{})
			const count = 40
			var changes []fleet.Change
			for _, c := range newWorkerChanges(100, count) {
				c.Worker.Domain = "d"
				changes = append(changes, c)
			}
			leader.inventory.Apply(changes, start+1+count, time.Now())
			n, _ := leader.newsSince(forwarded)
			for _, part := range n.members {
				member.onNews(&peers.Peer{}, &part)
			}
			assert.Equal(t, member.inventory.Position(), leader.inventory.Position())
			_, isHeld := member.inventory.View().Worker("w100")
			assert.Equal(t, isHeld, test.scope == fleet.AllWorkers)
		})
	}
}

// TestMissedNewsIsFetched checks that a daemon that missed news is up to date after it fetched from
// a peer.
func TestMissedNewsIsFetched(t *testing.T) {
	tests := map[string]func(leader, follower *Server){
		"all of it": func(*Server, *Server) {},
		"decisions of the term, but not the first": func(leader, follower *Server) {
			follower.inventory.FollowDecisions(leader.inventory.DecisionsSince(fleet.DecisionPosition{}))
			leader.inventory.Decide(1, fleet.Announcement{Group: "missed", Epoch: 9, Head: "h"})
		},
		"a whole term": func(leader, follower *Server) {
			follower.inventory.FollowDecisions(leader.inventory.DecisionsSince(fleet.DecisionPosition{}))
			leader.inventory.BeginTerm(2)
			leader.inventory.Decide(2, fleet.Announcement{Group: "missed", Epoch: 9, Head: "h"})
		},
	}
	for name, miss := range tests {
		t.Run(name, func(t *testing.T) {
			leader, follower := newLeader(t, 3), newServer(t, &fakeStore{})
			leader.inventory.Decide(1, fleet.Announcement{Group: "closed", Epoch: 1, Head: "h"})
			miss(leader, follower)
			p := &peers.Peer{Heartbeat: peers.Heartbeat{
				Identity:        peers.Identity{ID: "leader", Address: servePeer(t, leader)},
				WorkersPosition: leader.inventory.Position(), Decided: leader.inventory.Decided(),
			}}
			follower.fetcher.fetch(context.Background(), fetchRequest{Peer: p, requestedAt: suspension.NewStamp(suspension.Never)})
			assert.Equal(t, follower.inventory.Position(), leader.inventory.Position())
			assert.Equal(t, follower.inventory.Decided(), leader.inventory.Decided())
			for _, group := range []string{"closed", "missed"} {
				assert.Equal(t, follower.inventory.IsGroupClosed(group), leader.inventory.IsGroupClosed(group), "%s", group)
			}
		})
	}
}
