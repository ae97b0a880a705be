package gateway

import "sync"

const (
	// budgetPerRequest is how many retries each request adds to the budget.
	budgetPerRequest = 0.1
	// budgetMax bounds the retries saved up.
	budgetMax = 100.0
	// budgetStart lets a fresh daemon retry.
	budgetStart = 20.0
)

// budget bounds retries to a share of the requests, so that they cannot double
// the load of a system that is already failing.
type budget struct {
	mu   sync.Mutex
	left float64
}

func newBudget() *budget {
	return &budget{left: budgetStart}
}

// earn counts a request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+budgetPerRequest, budgetMax)
}

// take reports whether a retry is allowed and counts it.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
