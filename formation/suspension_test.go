package formation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestNoOrdersAfterSuspension covers a leader whose machine was suspended until after the end of
// its term. When the machine resumes, the leader must not send the orders that it was about to
// send.
func TestNoOrdersAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 6)
		ctx, stop := context.WithCancel(context.Background())
		opts := w.options()
		suspended := false
		opts.CheckSuspension = func() {
			if suspended {
				stop()
			}
		}
		k := NewReconciler(opts, Term{Epoch: 1, IsFirst: true}, stop)
		suspended = true
		sentCount := 0
		verdict, _ := k.sendOrder(ctx, "join", &fleet.Worker{ID: "w0-0"}, func(context.Context, Fence) (Verdict, error) {
			sentCount++
			return Started, nil
		})
		assert.Equal(t, sentCount, 0)
		assert.Assert(t, verdict != Started)
		go k.Run(ctx)
		time.Sleep(10 * time.Second)
		<-k.Done()
		for _, s := range w.workers {
			assert.Equal(t, s.orderCount, int64(0), "%s was given an order", s.id)
		}
	})
}
