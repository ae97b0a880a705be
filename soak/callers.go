package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	tenantCount   = 3
	keysPerTenant = 5
	// revokeBound is the time after which a key that was taken away must not
	// work, revokeSlack what is allowed beyond it here, where the daemons share
	// the machine with all else.
	revokeBound = 3 * time.Second
	revokeSlack = 500 * time.Millisecond
)

// outcome is how one request ended.
type outcome struct {
	at   time.Time
	what string
}

// callers is what all callers know together. It is safe for concurrent use.
type callers struct {
	tenants map[string][]string

	mu       sync.Mutex
	outcomes []outcome
	promises []string
	taken    map[string]time.Time
	route    bool
	// routeKnown holds since when lives of daemons have served the added route.
	routeKnown map[string]time.Time
}

func tenantName(number int) string { return fmt.Sprintf("tenant-%d", number) }

func keyName(tenant, number int) string { return fmt.Sprintf("key-%d-%d", tenant, number) }

func newCallers() *callers {
	c := &callers{tenants: make(map[string][]string), taken: make(map[string]time.Time), routeKnown: make(map[string]time.Time)}
	for t := range tenantCount {
		name := tenantName(t)
		for k := range keysPerTenant {
			c.tenants[name] = append(c.tenants[name], keyName(t, k))
		}
	}
	return c
}

// key draws a key and returns its tenant. Keys that were taken away are drawn
// too.
func (c *callers) key(random *rand.Rand) (key, tenant string) {
	tenant = tenantName(random.IntN(tenantCount))
	return c.tenants[tenant][random.IntN(keysPerTenant)], tenant
}

// revokeKey chooses a key to take away, as long as every tenant keeps most.
func (c *callers) revokeKey() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t := range tenantCount {
		key := keyName(t, 0)
		if _, gone := c.taken[key]; !gone {
			// From here on a refusal is right; the bound runs from revoked.
			c.taken[key] = time.Time{}
			return key, true
		}
	}
	return "", false
}

// revoked notes when the taking away of a key was acknowledged.
func (c *callers) revoked(key string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken[key] = at
}

func (c *callers) isRevoked(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, gone := c.taken[key]
	return gone
}

func (c *callers) revokedAt(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, gone := c.taken[key]
	return at, gone && !at.IsZero()
}

func (c *callers) routeAdded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.route = true
}

func (c *callers) hasRoute() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.route
}

func lifeOf(d *daemon, life int) string { return fmt.Sprintf("%s/%d", d.settings.Name, life) }

// knowsRoute notes that a life of a daemon served the added route.
func (c *callers) knowsRoute(d *daemon, life int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now, _ := d.status(); now != life {
		return
	}
	name := lifeOf(d, life)
	if _, known := c.routeKnown[name]; !known {
		c.routeKnown[name] = time.Now()
	}
}

// knewRoute reports whether a life of a daemon, which it still is in, had
// served the added route by a time.
func (c *callers) knewRoute(d *daemon, life int, by time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, known := c.routeKnown[lifeOf(d, life)]
	now, _ := d.status()
	return known && at.Before(by) && now == life
}

// promised notes a request that was answered with the promise that it did not
// and will not run.
func (c *callers) promised(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promises = append(c.promises, request)
}

func (c *callers) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, outcome{at: time.Now(), what: what})
}

// served returns how many requests ended since a time, and how many of them
// were served. Requests with keys that were taken away are left out.
func (c *callers) served(since time.Time) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if o.at.Before(since) || o.what == "401" {
			continue
		}
		all++
		if o.what == "served" {
			served++
		}
	}
	return served, all
}

// totals counts the outcomes.
func (c *callers) totals() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int)
	for _, o := range c.outcomes {
		counts[o.what]++
	}
	return counts
}
