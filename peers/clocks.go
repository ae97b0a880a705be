package peers

import (
	"sync"
	"time"
)

// heldFor is how long a daemon counts as holding what it showed that it had
// heard: longer than two daemons that report to each other are ever silent while
// both live.
const heldFor = 2 * time.Second

// clocks holds what this daemon and each other one have heard of each other's
// clocks, by address. It is safe for concurrent use.
type clocks struct {
	mu sync.Mutex
	// theirs holds the newest clock heard from a daemon.
	theirs map[string]int64
	// ours holds the newest clock of this daemon that the other one has heard.
	ours map[string]time.Duration
	// grant is the epoch of the grant told last, changedAt the clock at which it
	// was first told.
	grant     int64
	changedAt time.Duration
}

func newClocks() *clocks {
	return &clocks{theirs: make(map[string]int64), ours: make(map[string]time.Duration)}
}

// heard notes the clock of a daemon, and the one of this daemon that it has heard.
func (c *clocks) heard(address string, theirs int64, ours time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.theirs[address] = theirs
	c.ours[address] = ours
}

// of returns the newest clock heard from a daemon, 0 if there is none.
func (c *clocks) of(address string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.theirs[address]
}

// noteGrant notes when the grant that is told changes.
func (c *clocks) noteGrant(epoch int64, clock time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.grant {
		c.grant, c.changedAt = epoch, clock
	}
}

// holds reports whether a daemon has shown of late that it heard this one since
// the grant changed: it then holds all that a brief heartbeat leaves out.
func (c *clocks) holds(address string, clock time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := c.ours[address]
	return heard > 0 && heard >= c.changedAt && clock-heard < heldFor
}
