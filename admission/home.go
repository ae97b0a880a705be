package admission

import (
	"sync"
	"time"
)

const (
	// leaseTerm is the duration of a lease.
	leaseTerm = 4 * time.Second
	// floorShare is the part of a limit that is split evenly between daemons without leases, so
	// that a daemon that cannot reach the home still serves requests.
	floorShare = 0.25
)

// Home leases shares of the limits of the accounts that this daemon is responsible for. The leases
// in force never exceed the leased part of a limit: a home that has just taken over grants nothing
// for one leaseTerm, until the leases of a previous home have expired.
type Home struct {
	mu       sync.Mutex
	accounts map[string]*homeAccount
}

type homeAccount struct {
	// grantFrom is when this home may start to grant leases.
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

// Lease grants the daemon a share of the account's limit, both in requests a second, in proportion
// to the demands of all daemons. It returns the share and when the lease expires.
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

// share returns the daemon's share in proportion to its demand, limited by what others hold.
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

// Floor returns the part of a limit that each daemon has without a lease.
func Floor(limit float64, daemons int) float64 {
	return limit * floorShare / float64(max(daemons, 1))
}
