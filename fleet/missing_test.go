package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestPeersGetNoMissingWorkers guards against daemons that send requests to a worker for good because
// a peer that kept it after an outage named it in a whole list.
func TestPeersGetNoMissingWorkers(t *testing.T) {
	tests := map[string]func(from, to *Inventory){
		"whole list": func(from, to *Inventory) {
			d, whole := from.Since(0)
			assert.Assert(t, whole)
			to.Replace(d.Changes, d.To, from.Confirmed())
		},
		"whole list of heads": func(from, to *Inventory) {
			d, whole := from.HeadsSince(0)
			assert.Assert(t, whole)
			to.ReplaceHeads(d.Changes, d.To, from.Confirmed())
		},
	}
	for name, fetch := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				from, to := NewInventory(InventoryOptions{Heartbeat: time.Second, LeaveBound: 2 * time.Second}), NewInventory(InventoryOptions{Heartbeat: time.Second, LeaveBound: 2 * time.Second})
				from.Replace([]Change{{ID: "w", Worker: headWorker("w", "g", 1, Open)}}, 1, time.Now())
				failReads(from, 5*time.Second)
				from.Replace(nil, 2, time.Now())
				_, isKept := from.View().Worker("w")
				assert.Assert(t, isKept, "the worker may be one whose entry expired in the outage")
				fetch(from, to)
				for range 10 {
					time.Sleep(time.Second)
					to.Confirm(2, time.Now())
				}
				assert.Equal(t, len(to.View().Replicas("s", "m")), 0)
			})
		})
	}
}

// TestOutageIsReported guards against outages of which no log line tells, so that nothing shows why a
// daemon keeps workers that are not listed.
func TestOutageIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := NewInventory(InventoryOptions{Heartbeat: time.Second})
		var outages []Outage
		i.OnOutage(func(o Outage) { outages = append(outages, o) })
		i.Replace([]Change{{ID: "w", Worker: headWorker("w", "g", 1, Open)}}, 1, time.Now())
		failReads(i, 5*time.Second)
		time.Sleep(700 * time.Millisecond)
		i.Apply([]Change{{ID: "w"}}, 2, time.Now())
		assert.DeepEqual(t, outages, []Outage{{Unconfirmed: 5700 * time.Millisecond, SinceFailure: 700 * time.Millisecond}})
		listed, _ := i.Missing()
		assert.Equal(t, listed, 1)
		time.Sleep(5 * time.Second)
		i.Confirm(2, time.Now())
		assert.Equal(t, len(outages), 1, "nothing confirmed the list, but no read failed")
		listed, _ = i.Missing()
		assert.Equal(t, listed, 0)
	})
}
