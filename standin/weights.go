package standin

import (
	"context"
	"sync"
	"time"
)

// deliveryInterval is the interval at which the store delivers data to a load.
const deliveryInterval = 50 * time.Millisecond

// WeightStore simulates a store of model weights with a limited rate. Concurrent loads share the rate
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
	w.addActiveLoads(1)
	defer w.addActiveLoads(-1)
	ticker := time.NewTicker(deliveryInterval)
	defer ticker.Stop()
	for remainingGB > 0 {
		select {
		case <-ticker.C:
			remainingGB -= w.ratePerLoad() * deliveryInterval.Seconds()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (w *WeightStore) addActiveLoads(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeLoads += n
}

// ratePerLoad returns the rate of each active load in gigabytes per second.
func (w *WeightStore) ratePerLoad() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gbPerSecond / float64(max(w.activeLoads, 1))
}
