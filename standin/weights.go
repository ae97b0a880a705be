package standin

import (
	"context"
	"sync"
	"time"
)

// rateInterval is the interval at which a load receives data at its current share of the rate.
const rateInterval = 50 * time.Millisecond

// WeightStore simulates a store of model weights with a limited rate, which concurrent loads share
// evenly.
type WeightStore struct {
	gbPerSecond float64

	mu          sync.Mutex
	activeLoads int
}

// NewWeightStore returns a store with a total rate of gbPerSecond gigabytes per second.
func NewWeightStore(gbPerSecond float64) *WeightStore {
	return &WeightStore{gbPerSecond: gbPerSecond}
}

// Load waits until the store has delivered remainingGB gigabytes. It returns an error if ctx is done
// first.
func (w *WeightStore) Load(ctx context.Context, remainingGB float64) error {
	w.addLoading(1)
	defer w.addLoading(-1)
	ticker := time.NewTicker(rateInterval)
	defer ticker.Stop()
	for remainingGB > 0 {
		select {
		case <-ticker.C:
			remainingGB -= w.rateEach() * rateInterval.Seconds()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (w *WeightStore) addLoading(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeLoads += n
}

func (w *WeightStore) rateEach() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gbPerSecond / float64(max(w.activeLoads, 1))
}
