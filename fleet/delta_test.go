package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDeltaPartsHaveCorrectPositions checks the positions of the parts that a daemon passes on
// after it lost part of a batch itself and caught up. A follower that gets only the first of these
// parts must still catch up on the rest.
func TestDeltaPartsHaveCorrectPositions(t *testing.T) {
	source := NewInventory(InventoryOptions{Heartbeat: time.Second})
	relay, follower := NewInventory(InventoryOptions{Heartbeat: time.Second}), NewInventory(InventoryOptions{Heartbeat: time.Second})
	var batch []Change
	for i := range 10 {
		id := fmt.Sprint(i)
		batch = append(batch, Change{ID: id, Worker: headWorker(id, "g", 1, Open)})
	}
	source.Apply(batch, 10, time.Now())
	d, _ := source.Since(0)
	parts, ok := d.Split(3)
	assert.Assert(t, ok)
	for _, part := range parts[:2] {
		relay.Follow(part, time.Now())
		follower.Follow(part, time.Now())
	}
	rest, _ := source.Since(relay.Position())
	relay.Follow(rest, time.Now())
	assert.Equal(t, relay.Position(), int64(10))
	d, _ = relay.Since(6)
	parts, _ = d.Split(3)
	for _, part := range parts {
		assert.Assert(t, part.To <= 10, "a part leads to position %d", part.To)
	}
	follower.Follow(parts[0], time.Now())
	catchUp(relay, follower, time.Now())
	assert.Equal(t, len(follower.View().Workers()), 10)
}

// TestInexactDeltaIsNotSplit checks that a delta from which invalid entries were left out is
// neither split nor trimmed.
func TestInexactDeltaIsNotSplit(t *testing.T) {
	d := Delta{From: 3, To: 9, Changes: make([]Change, 4)}.withExactness()
	_, ok := d.Split(3)
	assert.Assert(t, !ok)
	parts, ok := d.Split(4)
	assert.Assert(t, ok)
	assert.Equal(t, len(parts), 1)
	assert.Equal(t, len(d.since(5).Changes), 4, "an inexact delta is not trimmed")
}
