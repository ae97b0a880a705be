package formation

import (
	"context"
	"fmt"
	"testing"
	"time"

	"quartzshelf.dev/fleet"
)

// BenchmarkTick measures one tick of a fleet of several sizes, with all workers in serving groups.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{760, 3000, 6200} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			w := newUnlistedWorld(1, workers/20, 20)
			for _, s := range w.workers {
				w.publish(s)
			}
			options := w.options()
			k := NewReconciler(options, Term{Epoch: 1}, func() {})
			openGroups(w)
			w.hasTraffic = true
			ctx := context.Background()
			now := time.Now()
			for b.Loop() {
				k.tick(ctx, now)
			}
		})
	}
}

// openGroups puts the workers of each domain into open groups of four.
func openGroups(w *world) {
	var changes []fleet.Change
	members := make(map[string]int)
	for _, s := range w.workers {
		n := members[s.domain]
		members[s.domain]++
		state := fleet.Open
		if n%4 > 0 {
			state = fleet.Ready
		}
		group := fleet.GroupName("big", int64(n/4+1), nil) + s.domain
		changes = append(changes, fleet.Change{ID: s.id, Worker: &fleet.Worker{
			ID: s.id, Service: "models", Domain: s.domain, Loaded: "big",
			Member: fleet.Membership{Group: group, Epoch: int64(n/4 + 1), Rank: n % 4, State: state},
		}})
	}
	w.listPosition++
	w.inventory.Apply(changes, w.listPosition, time.Now())
}
