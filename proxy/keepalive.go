package proxy

import (
	"errors"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// defaultKeepAlive is how long a connection is kept if the worker states no timeout. It is a
	// second shorter than the shortest default of common servers.
	defaultKeepAlive = 4 * time.Second
	// maxKeepAlive limits how long a connection is kept, whatever the worker states.
	maxKeepAlive = 30 * time.Second
	// keepAliveMargin is how long before the worker's stated timeout a connection is closed.
	// Workers state whole seconds, which may be rounded up.
	keepAliveMargin = time.Second
	// maxIdleAtMostOnce is how long a connection may have been idle to carry a request that must
	// run at most once. Such a request fails if the worker has dropped the connection.
	maxIdleAtMostOnce = 250 * time.Millisecond
	// earlyDropTTL is how long after the last reset a service is assumed to drop idle connections
	// early.
	earlyDropTTL = 20 * time.Second
)

// keepAliveFor returns how long a connection may be kept according to a Keep-Alive header.
func keepAliveFor(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		// On overflow ParseInt returns the largest or smallest value.
		seconds, err := strconv.ParseInt(value, 10, 64)
		if err == nil || errors.Is(err, strconv.ErrRange) {
			seconds = min(max(seconds, 0), int64((maxKeepAlive+keepAliveMargin)/time.Second))
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}

// maxIdleFor returns how long a connection may have been idle to carry a request.
func maxIdleFor(atMostOnce bool) time.Duration {
	if atMostOnce {
		return maxIdleAtMostOnce
	}
	return maxKeepAlive
}

// earlyDrop records that workers of a service drop idle connections before the stated timeout,
// without closing them.
type earlyDrop struct {
	// worker is the last worker that dropped a connection, shortestIdle the shortest idle time of
	// a dropped connection.
	worker       string
	shortestIdle time.Duration
	// maxIdle is the idle time from which connections are expected to be dropped. It is zero, for
	// no limit, until a second worker has dropped a connection.
	maxIdle   time.Duration
	expiresAt time.Time
}

// dropsEarly reports whether workers of a service are known to drop connections that were idle
// for the given time.
func (u *upstream) dropsEarly(service string, idleTime time.Duration, now time.Time) bool {
	drop, ok := u.earlyDrops[service]
	return ok && drop.maxIdle > 0 && idleTime >= drop.maxIdle && now.Before(drop.expiresAt)
}

// recordReset records that a worker reset a kept connection instead of answering. If only one
// worker does, it may have restarted. Resets by a second worker show that the service drops idle
// connections.
func (u *upstream) recordReset(c *connection, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous, isKnown := u.earlyDrops[c.service]
	isKnown = isKnown && now.Before(previous.expiresAt)
	updated := earlyDrop{worker: c.worker, shortestIdle: c.idleBefore, expiresAt: now.Add(earlyDropTTL)}
	if isKnown {
		updated.maxIdle = previous.maxIdle
		updated.shortestIdle = min(previous.shortestIdle, c.idleBefore)
	}
	if isKnown && previous.worker != c.worker {
		updated.maxIdle = updated.shortestIdle / 2
	}
	u.earlyDrops[c.service] = updated
}

// isReset reports whether an error is a connection reset or a broken pipe. An end of file does not
// count.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
