package routing

import (
	"sync"
	"time"
)

// Inflight counts the unfinished requests of this daemon by replica and by client account. It is
// safe for concurrent use.
type Inflight struct {
	mu       sync.Mutex
	replicas map[string]*replicaCount
	accounts map[string]int
	total    int
}

// replicaCount is the count of one replica.
type replicaCount struct {
	own int
	// report is the deadline of the last report seen, which identifies the report.
	report      time.Time
	ownAtReport int
}

// NewInflight returns a counter without requests.
func NewInflight() *Inflight {
	return &Inflight{replicas: make(map[string]*replicaCount), accounts: make(map[string]int)}
}

// Observe returns the replica's count now and at the time of its last report. The deadline that
// came with the report identifies it.
func (f *Inflight) Observe(replica string, report time.Time) (own, ownAtReport int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replica(replica)
	if !r.report.Equal(report) {
		r.report, r.ownAtReport = report, r.own
	}
	return r.own, r.ownAtReport
}

// Count returns the number of requests in flight at the replica.
func (f *Inflight) Count(replica string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[replica]; ok {
		return r.own
	}
	return 0
}

// Start counts a request of a client account to a replica until the returned function is called,
// which may be called more than once.
func (f *Inflight) Start(replica, account string) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica(replica).own++
	f.accounts[account]++
	f.total++
	return sync.OnceFunc(func() { f.end(replica, account) })
}

func (f *Inflight) end(replica, account string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica(replica).own--
	f.total--
	f.accounts[account]--
	if f.accounts[account] == 0 {
		delete(f.accounts, account)
	}
}

// Account returns the number of the account's requests in flight, and the number of accounts with
// requests in flight, the given one included.
func (f *Inflight) Account(account string) (own, active int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own, active = f.accounts[account], len(f.accounts)
	if own == 0 {
		active++
	}
	return own, active
}

// Total returns the number of requests in flight.
func (f *Inflight) Total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

func (f *Inflight) replica(id string) *replicaCount {
	r, ok := f.replicas[id]
	if !ok {
		r = &replicaCount{}
		f.replicas[id] = r
	}
	return r
}
