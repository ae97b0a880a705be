package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawnWorker returns a worker of a group, its head or not, or one of none.
func drawnWorker(t *rapid.T, id string, epoch int64) *Worker {
	states := []GroupState{Joining, Ready, Open, Closing, Broken}
	w := head(id, "g"+id, epoch, states[rapid.IntRange(0, len(states)-1).Draw(t, "state")])
	w.Member.Rank = rapid.IntRange(0, 2).Draw(t, "rank")
	if rapid.IntRange(0, 4).Draw(t, "grouped") == 0 {
		w.Member = Membership{}
	}
	return w
}

// TestHeadsFollowTheWholeList draws changes and lets an inventory that holds heads alone
// follow one that holds all workers, by parts or by all of what it lacks, changing its scope
// at any moment: it must end with the same replicas, and with all workers once it wants them.
func TestHeadsFollowTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, member := NewInventory(time.Second, 0), NewInventory(time.Second, 0)
		member.SetScope(HeadsOnly)
		position := int64(0)
		for n, step := range rapid.SliceOfN(rapid.IntRange(0, 6), 1, 60).Draw(t, "steps") {
			switch step {
			case 0, 1, 2:
				var changes []Change
				for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
					id := fmt.Sprint((n + i) % 7)
					changes = append(changes, Change{ID: id, Worker: drawnWorker(t, id, int64(10*n+i))})
				}
				position += int64(len(changes) + max(step-1, 0))
				source.Apply(changes, position, time.Now())
			case 3:
				position++
				source.Apply([]Change{{ID: fmt.Sprint(n % 7)}}, position, time.Now())
			case 4:
				followHeads(t, source, member)
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
		checkSame(t, source.View(), member.View())
		if !member.Complete() {
			t.Fatalf("the list is not complete")
		}
	})
}

// followHeads lets a member take some of the parts of what it lacks.
func followHeads(t *rapid.T, source, member *Inventory) {
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

// catchUpHeads lets a member ask for what it lacks.
func catchUpHeads(source, member *Inventory) {
	if member.Complete() {
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

// checkHeads checks that a member holds all heads of a list and nobody else.
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

// TestCompleteListTakesNoHeads: who holds all workers would miss the changes of the others.
func TestCompleteListTakesNoHeads(t *testing.T) {
	i := NewInventory(time.Second, 0)
	i.Replace([]Change{{ID: "h", Worker: head("h", "g", 1, Open)}}, 1, time.Now())
	i.Follow(Delta{From: 1, To: 3, Heads: true}, time.Now())
	assert.Equal(t, i.Position(), int64(1))
	i.ReplaceHeads(nil, 5, time.Now())
	assert.Equal(t, i.Position(), int64(1))
	assert.Assert(t, i.Complete())
}

// TestHeadsAreFewOfAllChanges counts what a member of a fleet of 3,040 workers in groups of
// eight is told of the start, in which each worker changes three times: what it holds and
// hears must follow the groups, not the workers.
func TestHeadsAreFewOfAllChanges(t *testing.T) {
	tests := map[string]int{"3,040 workers": 3040, "6,200 workers": 6200}
	for name, workers := range tests {
		t.Run(name, func(t *testing.T) {
			const size = 8
			source := NewInventory(time.Second, 0)
			source.Replace(nil, 0, time.Now())
			heard, position := 0, int64(0)
			for _, state := range []GroupState{Joining, Ready, Open} {
				var changes []Change
				for n := range workers {
					w := head(fmt.Sprint("w", n), fmt.Sprint("g", n/size), 1, state)
					w.Member.Rank = n % size
					changes = append(changes, Change{ID: w.ID, Worker: w})
				}
				from := position
				position += int64(len(changes))
				source.Apply(changes, position, time.Now())
				d, _ := source.HeadsSince(from)
				heard += len(d.Changes)
			}
			held, _ := source.HeadsSince(-1)
			assert.Assert(t, heard <= 3*(workers/size+1), "%d changes", heard)
			assert.Assert(t, len(held.Changes) <= workers/size+1, "%d held", len(held.Changes))
		})
	}
}

// awaiting returns an inventory that held heads alone and wants all workers, while the list
// changes: it has followed all changes since a list was asked for.
func awaiting(source *Inventory) *Inventory {
	i := NewInventory(time.Second, 0)
	i.SetScope(HeadsOnly)
	whole, _ := source.Since(-1)
	i.Replace(whole.Changes, whole.To, time.Now())
	i.SetScope(AllWorkers)
	return i
}

// TestListBehindWhatWasFollowedIsTaken: the list changes while it is read, so that it is
// behind the changes that were followed meanwhile. It is taken, with these.
func TestListBehindWhatWasFollowedIsTaken(t *testing.T) {
	source := NewInventory(time.Second, 0)
	source.Replace([]Change{{ID: "a", Worker: head("a", "g", 1, Open)}, {ID: "b", Worker: head("b", "h", 2, Open)}}, 2, time.Now())
	i := awaiting(source)
	whole, _ := source.Since(-1)
	member := head("c", "g", 1, Ready)
	member.Member.Rank = 1
	source.Apply([]Change{{ID: "b"}, {ID: "c", Worker: member}}, 4, time.Now())
	d, _ := source.Since(2)
	i.Follow(d, time.Now())
	assert.Equal(t, i.Position(), int64(4))
	i.Replace(whole.Changes, whole.To, time.Now())
	assert.Assert(t, i.Complete(), "it awaits a list still")
	assert.Equal(t, i.Position(), int64(4))
	_, left := i.View().Worker("b")
	assert.Assert(t, !left, "a worker that left came back")
	_, joined := i.View().Worker("c")
	assert.Assert(t, joined)
}

// TestListThatCannotBeTakenIsNotReadAllTheTime: the source shows an older list for a while,
// and only the changes of heads were followed since.
func TestListThatCannotBeTakenIsNotReadAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 1}
		inventory := NewInventory(time.Second, 0)
		inventory.SetScope(HeadsOnly)
		inventory.Replace(nil, 50, time.Now())
		inventory.SetScope(AllWorkers)
		stop := follow(source, NewBeliefs(), inventory)
		time.Sleep(3 * time.Second)
		stop()
		assert.Assert(t, inventory.AwaitsList())
		assert.Assert(t, source.lists > 0 && source.lists <= 10, "read %d times in 3 s", source.lists)
	})
}
