package routing

import (
	"sync"
	"time"
)

// InFlightCounter counts the requests that this daemon has in flight, by replica and by client
// account. It is safe for concurrent use.
type InFlightCounter struct {
	mu       sync.Mutex
	replicas map[string]*replicaCount
	accounts map[string]int
	total    int
}

// replicaCount holds the numbers of one replica.
type replicaCount struct {
	// inFlight is the number of requests in flight, and inFlightAtReport that number when the last
	// report arrived.
	inFlight int
	// reportDeadline is the deadline of the replica's last report, which identifies the report.
	reportDeadline   time.Time
	inFlightAtReport int
}

// NewInFlightCounter returns a counter of zero requests.
func NewInFlightCounter() *InFlightCounter {
	return &InFlightCounter{replicas: make(map[string]*replicaCount), accounts: make(map[string]int)}
}

// Observe returns the number of requests in flight at the replica, now and when its last report
// arrived. Each report has a different deadline. If reportDeadline is new, the report counts as
// arrived now.
func (f *InFlightCounter) Observe(replica string, reportDeadline time.Time) (own, ownAtReport int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.countOf(replica)
	if !r.reportDeadline.Equal(reportDeadline) {
		r.reportDeadline, r.inFlightAtReport = reportDeadline, r.inFlight
	}
	return r.inFlight, r.inFlightAtReport
}

// Count returns the number of requests in flight at the replica.
func (f *InFlightCounter) Count(replica string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[replica]; ok {
		return r.inFlight
	}
	return 0
}

// Start counts a request of a client account to a replica until the returned function is called.
// Further calls of that function have no effect.
func (f *InFlightCounter) Start(replica, account string) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countOf(replica).inFlight++
	f.accounts[account]++
	f.total++
	return sync.OnceFunc(func() { f.finish(replica, account) })
}

func (f *InFlightCounter) finish(replica, account string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countOf(replica).inFlight--
	f.total--
	f.accounts[account]--
	if f.accounts[account] == 0 {
		delete(f.accounts, account)
	}
}

// Account returns the number of requests that the account has in flight. It also returns the number
// of accounts with requests in flight, which always includes the given one.
func (f *InFlightCounter) Account(account string) (inFlight, activeAccounts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inFlight, activeAccounts = f.accounts[account], len(f.accounts)
	if inFlight == 0 {
		activeAccounts++
	}
	return inFlight, activeAccounts
}

// Total returns the number of requests in flight.
func (f *InFlightCounter) Total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

func (f *InFlightCounter) countOf(id string) *replicaCount {
	r, ok := f.replicas[id]
	if !ok {
		r = &replicaCount{}
		f.replicas[id] = r
	}
	return r
}
