package standin

import (
	"context"
	"sync"
	"time"
)

// weightStep is how often the store's rate is shared out anew.
const weightStep = 50 * time.Millisecond

// WeightStore is a rate-limited store: its rate is shared evenly by those who
// load at the same time.
type WeightStore struct {
	gbPerSecond float64

	mu      sync.Mutex
	loading int
}

// NewWeightStore returns a store that delivers gbPerSecond gigabytes a second in all.
func NewWeightStore(gbPerSecond float64) *WeightStore {
	return &WeightStore{gbPerSecond: gbPerSecond}
}

// Load returns after size gigabytes have been delivered, or with an error when
// ctx ends first.
func (w *WeightStore) Load(ctx context.Context, size float64) error {
	w.add(1)
	defer w.add(-1)
	ticker := time.NewTicker(weightStep)
	defer ticker.Stop()
	for size > 0 {
		select {
		case <-ticker.C:
			size -= w.share() * weightStep.Seconds()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (w *WeightStore) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading += n
}

func (w *WeightStore) share() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gbPerSecond / float64(max(w.loading, 1))
}
