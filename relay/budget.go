package relay

import (
	"sync"
	"time"
)

const (
	// budgetShare is the part of the allowed repeats that is used.
	budgetShare = 0.8
	// budgetParts is into how many parts the window is cut for counting.
	budgetParts = 20
)

// BudgetOptions bounds the repeats of a service over the fleet: in any window
// at most Ratio times its requests, and Extra more.
type BudgetOptions struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
	// Daemons returns how many daemons share the extra.
	Daemons func() int
}

// budget counts a daemon's requests and repeats by service.
type budget struct {
	opts BudgetOptions

	mu       sync.Mutex
	services map[string]*tally
}

// tally holds the counts of the parts of a window.
type tally struct {
	part     int64
	requests [budgetParts]float64
	repeats  [budgetParts]float64
}

func newBudget(opts BudgetOptions) *budget {
	return &budget{opts: opts, services: make(map[string]*tally)}
}

// at returns the tally of a service, moved on to now, and the current part.
func (b *budget) at(service string, now time.Time) (*tally, int) {
	part := now.UnixNano() / (int64(b.opts.Window) / budgetParts)
	t, ok := b.services[service]
	if !ok {
		t = &tally{part: part}
		b.services[service] = t
	}
	for t.part < part {
		if part-t.part > budgetParts {
			*t = tally{part: part}
			break
		}
		t.part++
		t.requests[t.part%budgetParts], t.repeats[t.part%budgetParts] = 0, 0
	}
	return t, int(part % budgetParts)
}

// earn counts a request.
func (b *budget) earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, i := b.at(service, now)
	t.requests[i]++
}

// take reports whether a repeat is allowed and counts it.
func (b *budget) take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, i := b.at(service, now)
	requests, repeats := 0.0, 0.0
	for p := range budgetParts {
		requests += t.requests[p]
		repeats += t.repeats[p]
	}
	extra := b.opts.Extra / float64(max(b.opts.Daemons(), 1))
	if repeats+1 > budgetShare*(b.opts.Ratio*requests+extra) {
		return false
	}
	t.repeats[i]++
	return true
}
