package standin

import (
	"context"
	"sync"
	"time"
)

// rateInterval is the interval at which concurrent loads share the store's rate anew.
const rateInterval = 50 * time.Millisecond

// WeightStore simulates a store of model weights with a limited rate, which concurrent loads share
// evenly.
type WeightStore struct {
	gbPerSecond float64

	mu      sync.Mutex
	loading int
}

// NewWeightStore returns a store with a total rate of gbPerSecond gigabytes per second.
func NewWeightStore(gbPerSecond float64) *WeightStore {
	return &WeightStore{gbPerSecond: gbPerSecond}
}

// Load waits until size gigabytes have been delivered. It returns an error if ctx is done first.
func (w *WeightStore) Load(ctx context.Context, size float64) error {
	w.addLoading(1)
	defer w.addLoading(-1)
	ticker := time.NewTicker(rateInterval)
	defer ticker.Stop()
	for size > 0 {
		select {
		case <-ticker.C:
			size -= w.rateEach() * rateInterval.Seconds()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (w *WeightStore) addLoading(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading += n
}

func (w *WeightStore) rateEach() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gbPerSecond / float64(max(w.loading, 1))
}
