package gateway

import "sync"

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.1
	// maxRetryBudget limits the retries that can accumulate.
	maxRetryBudget = 100.0
	// initialRetryBudget allows retries before the daemon has served any requests.
	initialRetryBudget = 20.0
)

// retryBudget limits retries to a fraction of the requests, so that retries don't overload a system
// that is already failing.
type retryBudget struct {
	mu        sync.Mutex
	available float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{available: initialRetryBudget}
}

// addRequest adds the share of one request to the budget.
func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+retriesPerRequest, maxRetryBudget)
}

// takeRetry takes one retry from the budget and reports whether there was one left.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
