package formation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestFencedOrders checks that an order is retried if another order of the same term reached the
// worker first. An order of a superseded leader must end the term.
func TestFencedOrders(t *testing.T) {
	tests := map[string]struct {
		verdicts []Verdict
		want     Verdict
		endsTerm bool
	}{
		"accepted at once":                 {verdicts: []Verdict{Started}, want: Started},
		"overtaken by another of the term": {verdicts: []Verdict{Fenced, Started}, want: Started},
		"superseded by a later leader":     {verdicts: []Verdict{Fenced, Fenced}, want: Fenced, endsTerm: true},
		"does not fit":                     {verdicts: []Verdict{StateMismatch}, want: StateMismatch},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 1, 1)
				ended := false
				k := NewReconciler(w.options(), Term{Epoch: 1}, func() { ended = true })
				sentCount := 0
				last := Fence(0)
				verdict, ok := k.sendOrder(context.Background(), "join", &fleet.Worker{ID: "w0-0"}, func(_ context.Context, f Fence) (Verdict, error) {
					assert.Assert(t, f > last, "each attempt must have a higher fence")
					last = f
					sentCount++
					return test.verdicts[sentCount-1], nil
				})
				assert.Assert(t, ok)
				assert.Equal(t, verdict, test.want)
				assert.Equal(t, ended, test.endsTerm)
				assert.Equal(t, sentCount, len(test.verdicts))
			})
		})
	}
}

// TestOrdersOfOneTermOvertakeEachOther guards against a leader that takes the refusal of an order for
// the work of another leader, although orders of its own overtook that order more than once.
func TestOrdersOfOneTermOvertakeEachOther(t *testing.T) {
	tests := map[string]overtakenCase{
		"once":                            {overtakingCount: 1, want: Started},
		"twice":                           {overtakingCount: 2, want: Started},
		"at all attempts but the last":    {overtakingCount: maxOrderAttempts - 1, want: Started},
		"at all attempts":                 {overtakingCount: maxOrderAttempts, want: Fenced},
		"a later leader":                  {isSuperseded: true, endsTerm: true, want: Fenced},
		"twice, and there is a later one": {overtakingCount: 2, isSuperseded: true, endsTerm: true, want: Fenced},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, test.run)
		})
	}
}

// overtakenCase describes an order whose first attempts other orders of the same term overtake.
type overtakenCase struct {
	overtakingCount int
	// isSuperseded reports whether the worker has also received an order of a later leader.
	isSuperseded, endsTerm bool
	want                   Verdict
}

func (o overtakenCase) run(t *testing.T) {
	w, worker := newWorld(1, 1, 1), &fleet.Worker{ID: "w0-0"}
	ended := false
	k := NewReconciler(w.options(), Term{Epoch: 1}, func() { ended = true })
	if o.isSuperseded {
		w.workers[worker.ID].fence = NewFence(2, 0, 1)
	}
	stage := func(ctx context.Context, f Fence) (Verdict, error) {
		return w.execute(ctx, "stage", worker.ID, f, func(*simWorker) Verdict { return Started })
	}
	sentCount := 0
	verdict, ok := k.sendOrder(context.Background(), "stage", worker, func(ctx context.Context, f Fence) (Verdict, error) {
		if sentCount++; sentCount <= o.overtakingCount {
			_, _, err := k.sendOrderOnce(ctx, worker, stage)
			assert.NilError(t, err)
		}
		return stage(ctx, f)
	})
	assert.Assert(t, ok)
	assert.Equal(t, verdict, o.want)
	assert.Equal(t, ended, o.endsTerm)
	assert.Assert(t, !k.isUnresponsive(worker.ID))
}

// TestFencesNeverDecrease checks that the term ends when its fences are used up, and that no fence
// is lower than an earlier one.
func TestFencesNeverDecrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 1)
		ended := make(chan struct{}, 10)
		k := NewReconciler(w.options(), Term{Epoch: 1}, func() { ended <- struct{}{} })
		k.lastSequence = maxSequence - 2
		lastFence := Fence(0)
		for range 5 {
			f := k.nextFenceFor("w0-0")
			assert.Assert(t, f >= lastFence, "%d after %d", f, lastFence)
			lastFence = f
		}
		<-ended
	})
}

// TestUnansweredOrders guards against treating a worker that pauses as gone because it left orders
// unanswered.
func TestUnansweredOrders(t *testing.T) {
	tests := map[string]struct {
		pause          time.Duration
		isDead, isGone bool
	}{
		"the worker pauses":  {pause: 1900 * time.Millisecond},
		"the worker is lost": {isDead: true, isGone: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 1, 1)
				k := NewReconciler(w.options(), Term{Epoch: 1}, func() {})
				worker := &fleet.Worker{ID: "w0-0"}
				w.pause(worker.ID, test.pause)
				w.workers[worker.ID].isDead = test.isDead
				_, ok := k.sendOrder(context.Background(), "stage", worker, func(ctx context.Context, f Fence) (Verdict, error) {
					return w.stage(ctx, worker, f, 0, "big")
				})
				assert.Assert(t, !ok)
				assert.Equal(t, k.isUnresponsive(worker.ID), test.isGone)
				w.pending.Wait()
			})
		})
	}
}
