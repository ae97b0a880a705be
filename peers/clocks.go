package peers

import (
	"sync"
	"time"
)

// ackLifetime is how long an acknowledgment of a heartbeat stays valid. It exceeds the longest
// silence between two live daemons that report to each other.
const ackLifetime = 2 * time.Second

// clocks holds the clock readings exchanged with other daemons, by their addresses. It is safe for
// concurrent use.
type clocks struct {
	mu sync.Mutex
	// received holds the newest reading of each daemon's clock.
	received map[string]int64
	// acknowledged holds the newest reading of this daemon's clock that each daemon echoed.
	acknowledged map[string]time.Duration
	// grantEpoch is the epoch of the grant sent last. grantChangedAt is the reading of this
	// daemon's clock when that grant was first sent.
	grantEpoch     int64
	grantChangedAt time.Duration
}

func newClocks() *clocks {
	return &clocks{received: make(map[string]int64), acknowledged: make(map[string]time.Duration)}
}

// record stores a reading of a daemon's clock and the reading of this daemon's clock that it echoed.
func (c *clocks) record(address string, received int64, echoed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received[address] = received
	c.acknowledged[address] = echoed
}

// latest returns the newest reading of a daemon's clock, 0 if none was received.
func (c *clocks) latest(address string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received[address]
}

// recordGrant stores the epoch of the grant that is about to be sent, and the clock if the epoch
// changed.
func (c *clocks) recordGrant(epoch int64, clock time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.grantEpoch {
		c.grantEpoch, c.grantChangedAt = epoch, clock
	}
}

// hasAcknowledged reports whether a daemon recently acknowledged a heartbeat sent since the grant
// changed. It then knows everything that a brief heartbeat omits.
func (c *clocks) hasAcknowledged(address string, clock time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	acknowledged := c.acknowledged[address]
	return acknowledged > 0 && acknowledged >= c.grantChangedAt && clock-acknowledged < ackLifetime
}
