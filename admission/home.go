package admission

import (
	"sync"
	"time"
)

const (
	// leaseTerm is how long a share is leased.
	leaseTerm = 4 * time.Second
	// floorShare is the part of a limit that is dealt out evenly without a
	// lease, so that a daemon that cannot reach the home still serves.
	floorShare = 0.25
)

// Home leases shares of the limits for which this daemon is the home. The sum
// of the leases in force never exceeds the leased part of a limit: a home that
// has just taken over grants nothing for one term, until the leases that an
// earlier home may have given have run out.
type Home struct {
	mu       sync.Mutex
	accounts map[string]*homeAccount
}

type homeAccount struct {
	// grantFrom is when this home may begin to lease.
	grantFrom time.Time
	leases    map[string]lease
}

type lease struct {
	share     float64
	demand    float64
	expiresAt time.Time
}

// NewHome returns a home without leases.
func NewHome() *Home {
	return &Home{accounts: make(map[string]*homeAccount)}
}

// Lease gives the daemon a share of the account's limit, both in requests a
// second, in proportion to the demands that the daemons state. It returns the
// share and when the lease runs out.
func (h *Home) Lease(account, daemon string, limit, demand float64) (float64, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	a, ok := h.accounts[account]
	if !ok {
		a = &homeAccount{grantFrom: now.Add(leaseTerm), leases: make(map[string]lease)}
		h.accounts[account] = a
	}
	a.expire(now)
	expiresAt := now.Add(leaseTerm)
	share := 0.0
	if !now.Before(a.grantFrom) {
		share = a.share(daemon, limit*(1-floorShare), demand)
	}
	a.leases[daemon] = lease{share: share, demand: demand, expiresAt: expiresAt}
	return share, expiresAt
}

// share returns the daemon's part by demand, bounded by what others hold.
func (a *homeAccount) share(daemon string, limit, demand float64) float64 {
	demands, held := demand, 0.0
	for id, l := range a.leases {
		if id != daemon {
			demands += l.demand
			held += l.share
		}
	}
	if demands <= 0 {
		return 0
	}
	return max(min(limit*demand/demands, limit-held), 0)
}

func (a *homeAccount) expire(now time.Time) {
	for id, l := range a.leases {
		if !now.Before(l.expiresAt) {
			delete(a.leases, id)
		}
	}
}

// Floor returns the part of a limit that each of the daemons has without a lease.
func Floor(limit float64, daemons int) float64 {
	return limit * floorShare / float64(max(daemons, 1))
}
