package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFollowerCatchesUpOnMissedDecisions checks that a follower that has reached the leader's
// position lacks none of its decisions, although some were lost before and requested again later.
func TestFollowerCatchesUpOnMissedDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := NewInventory(InventoryOptions{Heartbeat: time.Second}), NewInventory(InventoryOptions{Heartbeat: time.Second})
		term, decided := int64(1), 0
		leader.BeginTerm(term)
		delivered := leader.Decided()
		follower.FollowDecisions(leader.DecisionsSince(follower.Decided()))
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 6), 1, 60).Draw(t, "steps") {
			switch step {
			case 0:
				term++
				leader.BeginTerm(term)
			case 1:
				follower.FollowDecisions(leader.DecisionsSince(follower.Decided()))
			case 2:
				deliverSomeDecisions(t, leader.DecisionsSince(delivered), follower)
				delivered = leader.Decided()
			default:
				decided++
				leader.Decide(term, Announcement{Group: fmt.Sprint("g", decided), Epoch: int64(decided), Head: "h"})
			}
			checkClosedGroups(t, leader, follower, term)
		}
	})
}

// deliverSomeDecisions delivers a random selection of a leader's decisions to a follower.
func deliverSomeDecisions(t *rapid.T, d Decisions, follower *Inventory) {
	if d.IsSnapshot {
		return
	}
	for _, part := range d.Split(2) {
		if rapid.Bool().Draw(t, "arrives") {
			follower.FollowDecisions(part)
		}
	}
}

// checkClosedGroups checks that a follower is never ahead of the leader. A follower at the leader's
// position must have closed all groups that the leader closed in the term.
func checkClosedGroups(t *rapid.T, leader, follower *Inventory, term int64) {
	if leader.Decided().Before(follower.Decided()) {
		t.Fatalf("the follower knows %v, the leader %v", follower.Decided(), leader.Decided())
	}
	if follower.Decided() != leader.Decided() {
		return
	}
	for _, a := range leader.DecisionsSince(DecisionPosition{Term: term}).All {
		if leader.IsGroupClosed(a.Group) && !follower.IsGroupClosed(a.Group) {
			t.Fatalf("at %v the follower lacks %s", follower.Decided(), a.Group)
		}
	}
}

// TestDecisionsSince checks from which positions a peer gets a snapshot, and how many decisions.
func TestDecisionsSince(t *testing.T) {
	i := NewInventory(InventoryOptions{Heartbeat: time.Second})
	i.BeginTerm(3)
	i.Decide(3, Announcement{Group: "a", Epoch: 1, Head: "h"})
	i.BeginTerm(4)
	i.Decide(4, Announcement{Group: "b", Epoch: 2, Head: "i"})
	tests := map[string]struct {
		from  DecisionPosition
		whole bool
		count int
	}{
		"a new process":           {whole: true, count: 2},
		"one that knows all":      {from: DecisionPosition{Term: 4, Seq: 1}},
		"one that knows the term": {from: DecisionPosition{Term: 4}, count: 1},
		"one of the term before":  {from: DecisionPosition{Term: 3, Seq: 1}, count: 1},
		"one of a later term":     {from: DecisionPosition{Term: 5}, whole: true, count: 2},
		"one that knows too much": {from: DecisionPosition{Term: 4, Seq: 9}, whole: true, count: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := i.DecisionsSince(test.from)
			assert.Equal(t, d.IsSnapshot, test.whole)
			assert.Equal(t, len(d.All), test.count)
		})
	}
}
