package relay

import (
	"errors"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// defaultKeepAlive is how long a connection is kept if the worker states no timeout: a second
	// less than the shortest default of common servers.
	defaultKeepAlive = 4 * time.Second
	// maxKeepAlive limits how long a connection is kept, whatever the worker states.
	maxKeepAlive = 30 * time.Second
	// keepAliveMargin is how long before the worker's stated timeout a connection is closed:
	// workers state whole seconds, which may be rounded up.
	keepAliveMargin = time.Second
	// maxIdleRunOnce is how long a connection may have been idle to carry a request that must run
	// at most once, and fails if the worker has dropped the connection: a quarter of the shortest
	// timeout that a worker can state.
	maxIdleRunOnce = 250 * time.Millisecond
	// earlyDropTTL is how long a service is assumed to drop idle connections early: several times
	// defaultKeepAlive, so that probing again affects few requests.
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
func maxIdleFor(once bool) time.Duration {
	if once {
		return maxIdleRunOnce
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
	// limit is how long connections may be idle; zero until a second worker has dropped one.
	limit     time.Duration
	expiresAt time.Time
}

// dropsEarly reports whether workers of a service are known to drop connections that were idle
// for the given time.
func (u *upstream) dropsEarly(service string, idled time.Duration, now time.Time) bool {
	f, ok := u.earlyDrops[service]
	return ok && f.limit > 0 && idled >= f.limit && now.Before(f.expiresAt)
}

// recordReset records that a worker reset a kept connection instead of answering. A single worker
// may have restarted; a second one shows that the service drops idle connections.
func (u *upstream) recordReset(c *connection, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f, known := u.earlyDrops[c.service]
	known = known && now.Before(f.expiresAt)
	noted := earlyDrop{worker: c.worker, shortestIdle: c.idleBefore, expiresAt: now.Add(earlyDropTTL)}
	if known {
		noted.limit = f.limit
		noted.shortestIdle = min(f.shortestIdle, c.idleBefore)
	}
	if known && f.worker != c.worker {
		noted.limit = noted.shortestIdle / 2
	}
	u.earlyDrops[c.service] = noted
}

// isReset reports whether an error means that the peer no longer knows the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
