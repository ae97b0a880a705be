package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeave checks that a worker process takes no more requests after it announced that it leaves,
// even if the list later shows it as ready. A restarted process must take requests again.
func TestLeave(t *testing.T) {
	newEntry := func(born, beat int64, draining bool) *Worker {
		return &Worker{ID: "w", Service: "plain", StartedAt: born, HeartbeatCount: beat, Draining: draining}
	}
	tests := map[string]struct {
		update      func(i *Inventory)
		wantServing int
	}{
		"it said nothing":        {update: func(*Inventory) {}, wantServing: 1},
		"it leaves":              {update: func(i *Inventory) { i.MarkLeaving("w", 1) }},
		"an earlier life left":   {update: func(i *Inventory) { i.MarkLeaving("w", 0) }, wantServing: 1},
		"one that is not listed": {update: func(i *Inventory) { i.MarkLeaving("v", 1) }, wantServing: 1},
		"it is listed as ready on": {update: func(i *Inventory) {
			i.MarkLeaving("w", 1)
			i.Apply([]Change{{ID: "w", Worker: newEntry(1, 2, false)}}, 2, time.Now())
		}},
		"the whole list says so": {update: func(i *Inventory) {
			i.MarkLeaving("w", 1)
			i.Replace([]Change{{ID: "w", Worker: newEntry(1, 2, false)}}, 2, time.Now())
		}},
		"its next life is listed": {update: func(i *Inventory) {
			i.MarkLeaving("w", 1)
			i.Apply([]Change{{ID: "w", Worker: newEntry(2, 1, false)}}, 2, time.Now())
		}, wantServing: 1},
		"the list said so, and not": {update: func(i *Inventory) {
			i.Apply([]Change{{ID: "w", Worker: newEntry(1, 2, true)}}, 2, time.Now())
			i.Apply([]Change{{ID: "w", Worker: newEntry(1, 1, false)}}, 3, time.Now())
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := NewInventory(InventoryOptions{Heartbeat: time.Second})
			i.Apply([]Change{{ID: "w", Worker: newEntry(1, 1, false)}}, 1, time.Now())
			test.update(i)
			assert.Equal(t, len(i.View().Replicas("plain", "")), test.wantServing)
			assert.Equal(t, i.View().Leaving("plain", ""), 1-test.wantServing)
		})
	}
}
