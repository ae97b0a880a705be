package gateway

import "sync"

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.1
	// maxRetryBudget is the maximum number of retries in the budget.
	maxRetryBudget = 100.0
	// initialRetryBudget is the number of retries in the budget when the daemon starts.
	initialRetryBudget = 20.0
)

// retryBudget limits retries to a fraction of the requests, so that retries don't overload a system
// that is already failing.
type retryBudget struct {
	mu               sync.Mutex
	availableRetries float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{availableRetries: initialRetryBudget}
}

// addRequest increases the budget by retriesPerRequest. It is called for each new request.
func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.availableRetries = min(b.availableRetries+retriesPerRequest, maxRetryBudget)
}

// takeRetry takes one retry from the budget. It returns false if less than one retry is available.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.availableRetries < 1 {
		return false
	}
	b.availableRetries--
	return true
}

// returnRetry gives back a retry that was taken from the budget but not used.
func (b *retryBudget) returnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.availableRetries = min(b.availableRetries+1, maxRetryBudget)
}
