package routing

import (
	"sync"
	"time"
)

// Inflight counts the requests that this daemon has sent to each replica and
// not yet ended. It is safe for concurrent use.
type Inflight struct {
	mu       sync.Mutex
	replicas map[string]*flights
	accounts map[string]int
	total    int
}

// flights is the count of one replica.
type flights struct {
	own int
	// report is the deadline of the last report seen, by which a new one is told.
	report      time.Time
	ownAtReport int
}

// NewInflight returns a count of nothing.
func NewInflight() *Inflight {
	return &Inflight{replicas: make(map[string]*flights), accounts: make(map[string]int)}
}

// Observe returns the replica's own count now and at its last report, which
// the deadline that came with the report identifies.
func (f *Inflight) Observe(replica string, report time.Time) (own, ownAtReport int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replica(replica)
	if !r.report.Equal(report) {
		r.report, r.ownAtReport = report, r.own
	}
	return r.own, r.ownAtReport
}

// Count returns the replica's own count now.
func (f *Inflight) Count(replica string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[replica]; ok {
		return r.own
	}
	return 0
}

// Start counts a request of a client account to a replica. The returned
// function ends it; it does so once, however often it is called.
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

// Account returns the account's requests in flight and how many accounts have any.
func (f *Inflight) Account(account string) (own, active int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own, active = f.accounts[account], len(f.accounts)
	if own == 0 {
		active++
	}
	return own, active
}

// Total returns how many requests are in flight.
func (f *Inflight) Total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

func (f *Inflight) replica(id string) *flights {
	r, ok := f.replicas[id]
	if !ok {
		r = &flights{}
		f.replicas[id] = r
	}
	return r
}
