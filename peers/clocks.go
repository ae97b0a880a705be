package peers

import (
	"sync"
	"time"
)

// ackLifetime is how long an acknowledgment of a heartbeat stays valid. It exceeds the longest
// silence between two live daemons that report to each other.
const ackLifetime = 2 * time.Second

// clocks holds, by address, which clock was last received from each daemon and which clock of this
// daemon it acknowledged. It is safe for concurrent use.
type clocks struct {
	mu sync.Mutex
	// received holds the newest clock received from each daemon.
	received map[string]int64
	// acknowledged holds the newest clock of this daemon that each daemon echoed.
	acknowledged map[string]time.Duration
	// grant is the epoch of the grant sent last, changedAt the clock at which it was first sent.
	grant     int64
	changedAt time.Duration
}

func newClocks() *clocks {
	return &clocks{received: make(map[string]int64), acknowledged: make(map[string]time.Duration)}
}

// record stores the clock of a daemon and the clock of this daemon that it echoed.
func (c *clocks) record(address string, theirs int64, ours time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received[address] = theirs
	c.acknowledged[address] = ours
}

// latest returns the newest clock received from a daemon, 0 if there is none.
func (c *clocks) latest(address string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received[address]
}

// noteGrant records the epoch that is sent, and the clock if it changed.
func (c *clocks) noteGrant(epoch int64, clock time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.grant {
		c.grant, c.changedAt = epoch, clock
	}
}

// hasAcknowledged reports whether a daemon recently acknowledged a heartbeat sent since the grant
// changed. It then knows everything that a brief heartbeat omits.
func (c *clocks) hasAcknowledged(address string, clock time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	acknowledged := c.acknowledged[address]
	return acknowledged > 0 && acknowledged >= c.changedAt && clock-acknowledged < ackLifetime
}
