package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestChangingListIsConfirmed checks that reports of a peer confirm the list although the follower
// has always read more changes than the peer reports. This is the case while the list changes
// continuously. An entry that disappears is then removed immediately.
func TestChangingListIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := NewInventory(InventoryOptions{Heartbeat: time.Second, LeaveBound: 4 * time.Second})
		i.Replace([]Change{{ID: "w", Worker: headWorker("w", "g", 1, Open)}}, 1, time.Now())
		position := int64(1)
		for range 30 {
			reported, at := position, time.Now()
			time.Sleep(100 * time.Millisecond)
			position++
			change := Change{ID: fmt.Sprint(position), Worker: headWorker(fmt.Sprint(position), "g", 1, Joining)}
			i.Follow(Delta{From: position - 1, To: position, Changes: []Change{change}}, time.Time{})
			i.Confirm(reported, at)
			assert.Assert(t, time.Since(i.Confirmed()) < time.Second, "not confirmed for %s", time.Since(i.Confirmed()))
		}
		i.Follow(Delta{From: position, To: position + 1, Changes: []Change{{ID: "w"}}}, time.Now())
		_, listed := i.View().Worker("w")
		assert.Assert(t, !listed, "a removed entry is tolerated")
	})
}
