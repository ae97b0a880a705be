package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawWorker returns the head or another member of a group, or a worker without a group.
func drawWorker(t *rapid.T, id string, epoch int64) *Worker {
	states := []GroupState{Joining, Ready, Open, Closing, Broken}
	w := headWorker(id, "g"+id, epoch, states[rapid.IntRange(0, len(states)-1).Draw(t, "state")])
	w.Member.Rank = rapid.IntRange(0, 2).Draw(t, "rank")
	if rapid.IntRange(0, 4).Draw(t, "grouped") == 0 {
		w.Member = Membership{}
	}
	return w
}

// TestHeadsFollowTheWholeList checks an inventory that follows a complete one while its scope
// changes at random. In the end it must hold the same heads, and the same workers after all are
// requested.
func TestHeadsFollowTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, member := NewInventory(InventoryOptions{Heartbeat: time.Second}), NewInventory(InventoryOptions{Heartbeat: time.Second})
		member.SetScope(HeadsOnly)
		position := int64(0)
		for n, step := range rapid.SliceOfN(rapid.IntRange(0, 6), 1, 60).Draw(t, "steps") {
			switch step {
			case 0, 1, 2:
				var changes []Change
				for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
					id := fmt.Sprint((n + i) % 7)
					changes = append(changes, Change{ID: id, Worker: drawWorker(t, id, int64(10*n+i))})
				}
				position += int64(len(changes) + max(step-1, 0))
				source.Apply(changes, position, time.Now())
			case 3:
				position++
				source.Apply([]Change{{ID: fmt.Sprint(n % 7)}}, position, time.Now())
			case 4:
				deliverSomeHeadParts(t, source, member)
			case 5:
				member.SetScope([]Scope{AllWorkers, HeadsOnly}[rapid.IntRange(0, 1).Draw(t, "scope")])
			default:
				catchUpHeads(source, member)
			}
		}
		member.SetScope(HeadsOnly)
		catchUpHeads(source, member)
		checkHeads(t, source, member)
		member.SetScope(AllWorkers)
		d, _ := source.Since(-1)
		member.Replace(d.Changes, d.To, time.Now())
		checkSameWorkers(t, source.View(), member.View())
		if !member.IsComplete() {
			t.Fatalf("the list is not complete")
		}
	})
}

// deliverSomeHeadParts delivers a random selection of the missing parts to a member.
func deliverSomeHeadParts(t *rapid.T, source, member *Inventory) {
	d, whole := source.Since(member.Position())
	if whole {
		return
	}
	parts, _ := d.SplitHeads(rapid.IntRange(1, 3).Draw(t, "most"))
	for _, part := range parts {
		if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
			member.Follow(part, time.Now())
		}
	}
}

// catchUpHeads brings a member to the source's position, with heads only unless it holds all
// workers.
func catchUpHeads(source, member *Inventory) {
	if member.IsComplete() {
		catchUp(source, member, time.Now())
		return
	}
	d, whole := source.HeadsSince(member.Position())
	if whole {
		member.ReplaceHeads(d.Changes, d.To, time.Now())
		return
	}
	member.Follow(d, time.Now())
}

// checkHeads checks that a member holds exactly the heads of a list.
func checkHeads(t *rapid.T, source, member *Inventory) {
	heads := 0
	for id, w := range source.View().Workers() {
		if !w.isHead() {
			continue
		}
		heads++
		if held, ok := member.View().Worker(id); !ok || held.Member != w.Member {
			t.Fatalf("head %s differs", id)
		}
	}
	if heads != len(member.View().Workers()) {
		t.Fatalf("%d heads, %d held", heads, len(member.View().Workers()))
	}
}

// TestCompleteListIgnoresHeadDeltas checks that an inventory of all workers ignores the changes of
// heads only, since it would miss those of other workers.
func TestCompleteListIgnoresHeadDeltas(t *testing.T) {
	i := NewInventory(InventoryOptions{Heartbeat: time.Second})
	i.Replace([]Change{{ID: "h", Worker: headWorker("h", "g", 1, Open)}}, 1, time.Now())
	i.Follow(Delta{From: 1, To: 3, HeadsOnly: true}, time.Now())
	assert.Equal(t, i.Position(), int64(1))
	i.ReplaceHeads(nil, 5, time.Now())
	assert.Equal(t, i.Position(), int64(1))
	assert.Assert(t, i.IsComplete())
}

// TestHeadChangesGrowWithGroups checks that the number of changes and workers sent to a member with
// HeadsOnly depends on the number of groups, not of workers. Each worker changes three times.
func TestHeadChangesGrowWithGroups(t *testing.T) {
	tests := map[string]int{"3,040 workers": 3040, "6,200 workers": 6200}
	for name, workers := range tests {
		t.Run(name, func(t *testing.T) {
			const size = 8
			source := NewInventory(InventoryOptions{Heartbeat: time.Second})
			source.Replace(nil, 0, time.Now())
			received, position := 0, int64(0)
			for _, state := range []GroupState{Joining, Ready, Open} {
				var changes []Change
				for n := range workers {
					w := headWorker(fmt.Sprint("w", n), fmt.Sprint("g", n/size), 1, state)
					w.Member.Rank = n % size
					changes = append(changes, Change{ID: w.ID, Worker: w})
				}
				from := position
				position += int64(len(changes))
				source.Apply(changes, position, time.Now())
				d, _ := source.HeadsSince(from)
				received += len(d.Changes)
			}
			allHeads, _ := source.HeadsSince(-1)
			assert.Assert(t, received <= 3*(workers/size+1), "%d changes", received)
			assert.Assert(t, len(allHeads.Changes) <= workers/size+1, "%d held", len(allHeads.Changes))
		})
	}
}

// newInventoryNeedingList returns an inventory that needs a whole list. It holds the heads of the
// source and requests all workers.
func newInventoryNeedingList(source *Inventory) *Inventory {
	i := NewInventory(InventoryOptions{Heartbeat: time.Second})
	i.SetScope(HeadsOnly)
	whole, _ := source.Since(-1)
	i.Replace(whole.Changes, whole.To, time.Now())
	i.SetScope(AllWorkers)
	return i
}

// TestOutdatedListIsCompletedFromJournal checks that a list that became outdated while it was read
// is applied together with the later changes in the journal.
func TestOutdatedListIsCompletedFromJournal(t *testing.T) {
	source := NewInventory(InventoryOptions{Heartbeat: time.Second})
	source.Replace([]Change{{ID: "a", Worker: headWorker("a", "g", 1, Open)}, {ID: "b", Worker: headWorker("b", "h", 2, Open)}}, 2, time.Now())
	i := newInventoryNeedingList(source)
	whole, _ := source.Since(-1)
	member := headWorker("c", "g", 1, Ready)
	member.Member.Rank = 1
	source.Apply([]Change{{ID: "b"}, {ID: "c", Worker: member}}, 4, time.Now())
	d, _ := source.Since(2)
	i.Follow(d, time.Now())
	assert.Equal(t, i.Position(), int64(4))
	i.Replace(whole.Changes, whole.To, time.Now())
	assert.Assert(t, i.IsComplete(), "a list is still needed")
	assert.Equal(t, i.Position(), int64(4))
	_, isListed := i.View().Worker("b")
	assert.Assert(t, !isListed, "a worker that left came back")
	_, joined := i.View().Worker("c")
	assert.Assert(t, joined)
}

// TestRejectedListIsRetriedWithDelay checks that a whole list is not read continuously while the
// source returns an outdated one that the journal cannot complete.
func TestRejectedListIsRetriedWithDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1}
		inventory := NewInventory(InventoryOptions{Heartbeat: time.Second})
		inventory.SetScope(HeadsOnly)
		inventory.Replace(nil, 50, time.Now())
		inventory.SetScope(AllWorkers)
		stop := startFollower(source, NewConfigCache(), inventory)
		time.Sleep(3 * time.Second)
		stop()
		assert.Assert(t, inventory.NeedsList())
		assert.Assert(t, source.listReads > 0 && source.listReads <= 10, "read %d times in 3 s", source.listReads)
	})
}
