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
	// revocationBound is the time within which daemons must start to reject a revoked key.
	// revocationSlack is added to it in the check, because the daemons share a loaded machine.
	revocationBound = 3 * time.Second
	revocationSlack = 500 * time.Millisecond
)

// outcome is the result of one request. The result is a status code, "served", "cut" or "no answer".
type outcome struct {
	endedAt time.Time
	result  string
}

// callerState is the state that all callers share. It is safe for concurrent use.
type callerState struct {
	keysByTenant map[string][]string

	mu       sync.Mutex
	outcomes []outcome
	// notExecuted holds the IDs of the requests whose responses guarantee that no worker executes
	// them.
	notExecuted []string
	// revokedKeys maps each revoked key to the time when the store acknowledged its revocation. The
	// time is zero before that.
	revokedKeys map[string]time.Time
	// routePublished is true once the operator has published the route that is added during the soak.
	routePublished bool
	// routeServedSince maps the name of each daemon incarnation to the time when it first served
	// the added route.
	routeServedSince map[string]time.Time
}

func tenantName(index int) string { return fmt.Sprintf("tenant-%d", index) }

func keyName(tenant, number int) string { return fmt.Sprintf("key-%d-%d", tenant, number) }

func newCallerState() *callerState {
	c := &callerState{keysByTenant: make(map[string][]string), revokedKeys: make(map[string]time.Time), routeServedSince: make(map[string]time.Time)}
	for t := range tenantCount {
		name := tenantName(t)
		for k := range keysPerTenant {
			c.keysByTenant[name] = append(c.keysByTenant[name], keyName(t, k))
		}
	}
	return c
}

// drawKey returns a random key and its tenant. The key may have been revoked.
func (c *callerState) drawKey(random *rand.Rand) (key, tenant string) {
	tenant = tenantName(random.IntN(tenantCount))
	return c.keysByTenant[tenant][random.IntN(keysPerTenant)], tenant
}

// chooseKeyToRevoke returns a key to revoke and marks it as revoked. It chooses only one key of each
// tenant, and returns false once all of these are revoked.
func (c *callerState) chooseKeyToRevoke() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t := range tenantCount {
		key := keyName(t, 0)
		if _, revoked := c.revokedKeys[key]; !revoked {
			// From now on a daemon may reject the key. The time of revocation is set by
			// recordRevocation.
			c.revokedKeys[key] = time.Time{}
			return key, true
		}
	}
	return "", false
}

// recordRevocation records when the store acknowledged the revocation of a key.
func (c *callerState) recordRevocation(key string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedKeys[key] = at
}

func (c *callerState) isRevoked(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, revoked := c.revokedKeys[key]
	return revoked
}

func (c *callerState) revocationTime(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, revoked := c.revokedKeys[key]
	return at, revoked && !at.IsZero()
}

func (c *callerState) markRoutePublished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routePublished = true
}

func (c *callerState) isRoutePublished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routePublished
}

func incarnationName(d *daemon, incarnation int) string {
	return fmt.Sprintf("%s/%d", d.settings.Name, incarnation)
}

// recordRouteServed records that an incarnation of a daemon served the added route. It does nothing
// if the daemon has been restarted since.
func (c *callerState) recordRouteServed(d *daemon, incarnation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if currentIncarnation, _ := d.status(); currentIncarnation != incarnation {
		return
	}
	name := incarnationName(d, incarnation)
	if _, isRecorded := c.routeServedSince[name]; !isRecorded {
		c.routeServedSince[name] = time.Now()
	}
}

// hadServedRoute reports whether an incarnation of a daemon had served the added route before a time.
// It returns false if the daemon has been restarted meanwhile.
func (c *callerState) hadServedRoute(d *daemon, incarnation int, before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	servedSince, hasServed := c.routeServedSince[incarnationName(d, incarnation)]
	currentIncarnation, _ := d.status()
	return hasServed && servedSince.Before(before) && currentIncarnation == incarnation
}

// recordNotExecuted records a request whose response guarantees that no worker executes it.
func (c *callerState) recordNotExecuted(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notExecuted = append(c.notExecuted, requestID)
}

func (c *callerState) recordOutcome(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, outcome{endedAt: time.Now(), result: result})
}

// countServed considers the requests that ended at or after since, except those answered with
// status 401. It returns how many of them were served, and how many there are.
func (c *callerState) countServed(since time.Time) (served, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if o.endedAt.Before(since) || o.result == "401" {
			continue
		}
		total++
		if o.result == "served" {
			served++
		}
	}
	return served, total
}

// countByResult returns the number of ended requests for each result.
func (c *callerState) countByResult() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int)
	for _, o := range c.outcomes {
		counts[o.result]++
	}
	return counts
}
