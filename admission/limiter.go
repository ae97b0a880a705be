package admission

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// leaseEvery is how often leases are renewed, demandWindow over how long
	// demand is averaged.
	leaseEvery  = time.Second
	leaseWait   = 500 * time.Millisecond
	burstSecond = 1.0
	minBurst    = 1
	// demandMemory is how much of the old demand is kept at each renewal.
	demandMemory = 0.5
	// demandFloor keeps an idle daemon's share above nothing, in requests a second.
	demandFloor = 0.5
)

// LimiterOptions configures a Limiter.
type LimiterOptions struct {
	// Lease asks the home of an account for a share of its limit.
	Lease func(ctx context.Context, account string, demand float64) (share float64, expiresAt time.Time, err error)
	// Daemons returns how many daemons share the limits.
	Daemons func() int
}

// Limiter holds the requests of each client account at this daemon to its
// leased share of the account's limit.
type Limiter struct {
	opts LimiterOptions
	done chan struct{}

	mu       sync.Mutex
	accounts map[string]*accountLimit
}

// accountLimit is the limit of one account at this daemon.
type accountLimit struct {
	limit   float64
	bucket  *rate.Limiter
	arrived int
	demand  float64
	share   float64
	// leasedUntil is when the share runs out.
	leasedUntil time.Time
}

// NewLimiter returns a limiter; Run renews its leases.
func NewLimiter(opts LimiterOptions) *Limiter {
	return &Limiter{opts: opts, done: make(chan struct{}), accounts: make(map[string]*accountLimit)}
}

// Done is closed when Run has returned.
func (l *Limiter) Done() <-chan struct{} { return l.done }

// Allow reports whether a request of the account may pass now, and if not,
// when to come again. A limit of zero is none.
func (l *Limiter) Allow(account string, limit float64) (bool, time.Duration) {
	if limit <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	a, ok := l.accounts[account]
	if !ok {
		a = &accountLimit{bucket: rate.NewLimiter(0, minBurst)}
		l.accounts[account] = a
	}
	a.limit = limit
	a.arrived++
	a.adjust(now, l.opts.Daemons())
	if a.bucket.AllowN(now, 1) {
		return true, 0
	}
	return false, a.retryAfter()
}

// adjust sets the bucket to the share that is in force now.
func (a *accountLimit) adjust(now time.Time, daemons int) {
	allowed := Floor(a.limit, daemons)
	if now.Before(a.leasedUntil) {
		allowed += a.share
	}
	if rate.Limit(allowed) == a.bucket.Limit() {
		return
	}
	a.bucket.SetLimitAt(now, rate.Limit(allowed))
	a.bucket.SetBurstAt(now, max(int(allowed*burstSecond), minBurst))
}

func (a *accountLimit) retryAfter() time.Duration {
	perSecond := float64(a.bucket.Limit())
	if perSecond <= 0 {
		return maxRetry
	}
	return max(min(time.Duration(float64(time.Second)/perSecond), maxRetry), minRetry)
}

// Run renews leases until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(leaseEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.renew(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Limiter) renew(ctx context.Context) {
	for account, demand := range l.demands() {
		leaseCtx, cancel := context.WithTimeout(ctx, leaseWait)
		share, expiresAt, err := l.opts.Lease(leaseCtx, account, demand)
		cancel()
		if err != nil {
			// The old lease runs out by itself; the floor remains.
			continue
		}
		l.mu.Lock()
		a := l.accounts[account]
		a.share, a.leasedUntil = share, expiresAt
		l.mu.Unlock()
	}
}

// demands returns each account's demand in requests a second.
func (l *Limiter) demands() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]float64, len(l.accounts))
	for account, a := range l.accounts {
		recent := float64(a.arrived) / leaseEvery.Seconds()
		a.demand = max(a.demand*demandMemory+recent*(1-demandMemory), demandFloor)
		a.arrived = 0
		all[account] = a.demand
	}
	return all
}
