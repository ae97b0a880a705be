package serving

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/awake"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// listed returns changes that list some workers.
func listed(from, count int) []fleet.Change {
	var all []fleet.Change
	for i := from; i < from+count; i++ {
		id := fmt.Sprintf("w%d", i)
		all = append(all, fleet.Change{ID: id, Worker: &fleet.Worker{ID: id, Service: "s"}})
	}
	return all
}

// leading returns a daemon that knows some workers and leads a term.
func leading(t *testing.T, workers int) *Server {
	t.Helper()
	s := newServer(t, &fakeStore{})
	s.inventory.Replace(listed(0, workers), int64(workers), time.Now())
	s.inventory.BeginTerm(1)
	return s
}

// TestNewsIsPassedOnOnce follows what a leader passes on: each change and decision
// once, in parts of a bounded size, and nothing of what was known before.
func TestNewsIsPassedOnOnce(t *testing.T) {
	leader, follower := leading(t, 3), newServer(t, &fakeStore{})
	follower.inventory.Replace(listed(0, 3), 3, time.Now())
	follower.inventory.FollowDecisions(leader.inventory.DecisionsSince(fleet.DecisionPosition{}))
	n, passed := leader.newsSince(newsPosition{})
	assert.Equal(t, len(n.all)+len(n.members), 0, "what was there at the start is fetched by those that lack it")
	const count = 40
	leader.inventory.Apply(listed(3, count), 3+count, time.Now())
	for i := range count {
		leader.inventory.Decide(1, fleet.Announcement{Group: fmt.Sprint("g", i), Epoch: int64(i + 1), Head: "h"})
	}
	n, passed = leader.newsSince(passed)
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
		follower.taken(&peers.Peer{}, &n)
	}
	assert.Equal(t, changes, count)
	assert.Equal(t, decisions, count)
	assert.Equal(t, follower.inventory.Position(), leader.inventory.Position())
	assert.Equal(t, follower.inventory.Decided(), leader.inventory.Decided())
	n, _ = leader.newsSince(passed)
	assert.Equal(t, len(n.all)+len(n.members), 0)
}

// TestMembersAreToldWhatTheyHold: members hold heads alone, or all workers where requests to
// those that warm up are bounded. What they are passed on brings them to the leader's position
// without asking.
func TestMembersAreToldWhatTheyHold(t *testing.T) {
	tests := map[string]struct {
		bounded bool
		scope   fleet.Scope
	}{
		"heads alone": {scope: fleet.HeadsOnly},
		"all workers": {bounded: true, scope: fleet.AllWorkers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader, member := newServer(t, &fakeStore{}), newServer(t, &fakeStore{})
			if test.bounded {
				warmUpFleet(leader)
			}
			member.inventory.SetScope(test.scope)
			start := leader.inventory.Position()
			leader.inventory.Apply(nil, start+1, time.Now())
			whole, _ := leader.inventory.Since(-1)
			member.inventory.Replace(whole.Changes, whole.To, time.Now())
			_, passed := leader.newsSince(newsPosition{})
			const count = 40
			var changes []fleet.Change
			for _, c := range listed(100, count) {
				c.Worker.Domain = "d"
				changes = append(changes, c)
			}
			leader.inventory.Apply(changes, start+1+count, time.Now())
			n, _ := leader.newsSince(passed)
			for _, part := range n.members {
				member.taken(&peers.Peer{}, &part)
			}
			assert.Equal(t, member.inventory.Position(), leader.inventory.Position())
			_, held := member.inventory.View().Worker("w100")
			assert.Equal(t, held, test.scope == fleet.AllWorkers)
		})
	}
}

// TestWhatWasMissedIsFetched lets a daemon miss news in several ways and ask a peer.
func TestWhatWasMissedIsFetched(t *testing.T) {
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
			leader, follower := leading(t, 3), newServer(t, &fakeStore{})
			leader.inventory.Decide(1, fleet.Announcement{Group: "closed", Epoch: 1, Head: "h"})
			miss(leader, follower)
			p := &peers.Peer{Heartbeat: peers.Heartbeat{
				Identity:        peers.Identity{ID: "leader", Address: servePeer(t, leader)},
				WorkersPosition: leader.inventory.Position(), Decided: leader.inventory.Decided(),
			}}
			follower.fetcher.fetch(context.Background(), wish{Peer: p, wanted: awake.NewStamp(awake.Never)})
			assert.Equal(t, follower.inventory.Position(), leader.inventory.Position())
			assert.Equal(t, follower.inventory.Decided(), leader.inventory.Decided())
			for _, group := range []string{"closed", "missed"} {
				assert.Equal(t, follower.inventory.Closed(group), leader.inventory.Closed(group), "%s", group)
			}
		})
	}
}
