package admission

import (
	"sync"
	"time"
)

const (
	// leaseTerm is the duration of a lease.
	leaseTerm = 4 * time.Second
	// floorShare is the fraction of a limit that is split evenly between all daemons and needs no
	// lease. A daemon that cannot reach the home can still serve requests with it.
	floorShare = 0.25
)

// Home leases shares of accounts' limits to daemons. One daemon is the home of an account. The
// leases in force never add up to more than the leasable part of a limit (1 - floorShare). A home
// that has just taken over an account does not know the previous home's leases. It therefore grants
// shares of zero for one leaseTerm, until those leases have expired.
type Home struct {
	mu       sync.Mutex
	accounts map[string]*homeAccount
}

// homeAccount is an account that this daemon is the home of.
type homeAccount struct {
	// grantFrom is when this home may start to grant shares above zero.
	grantFrom time.Time
	// leases maps the IDs of daemons to their leases.
	leases map[string]lease
}

// lease is the lease of one daemon. Its share and demand are in requests a second.
type lease struct {
	share     float64
	demand    float64
	expiresAt time.Time
}

// NewHome returns a home without leases.
func NewHome() *Home {
	return &Home{accounts: make(map[string]*homeAccount)}
}

// Lease grants the daemon a share of the account's limit in proportion to its part of the demand of
// all daemons. It returns the share and when the lease expires. Limit, demand and share are in
// requests a second.
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
		share = a.computeShare(daemon, limit*(1-floorShare), demand)
	}
	a.leases[daemon] = lease{share: share, demand: demand, expiresAt: expiresAt}
	return share, expiresAt
}

// computeShare returns the daemon's share of the limit in proportion to its demand. It is at most
// the part of the limit that is not leased to others.
func (a *homeAccount) computeShare(daemon string, limit, demand float64) float64 {
	demands, leasedToOthers := demand, 0.0
	for id, l := range a.leases {
		if id != daemon {
			demands += l.demand
			leasedToOthers += l.share
		}
	}
	if demands <= 0 {
		return 0
	}
	return max(min(limit*demand/demands, limit-leasedToOthers), 0)
}

// expire removes the leases that have expired.
func (a *homeAccount) expire(now time.Time) {
	for id, l := range a.leases {
		if !now.Before(l.expiresAt) {
			delete(a.leases, id)
		}
	}
}

// Floor returns the part of a limit, in requests a second, that each daemon may use without a
// lease.
func Floor(limit float64, daemons int) float64 {
	return limit * floorShare / float64(max(daemons, 1))
}
