package relay

import (
	"errors"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// defaultKeepAlive is how long a connection is kept whose worker does not say for
	// how long it does: a second less than the shortest default of common servers.
	defaultKeepAlive = 4 * time.Second
	// maxKeepAlive is how long one is kept whatever its worker says. Every replica that
	// a daemon goes on using is used again well within that time.
	maxKeepAlive = 30 * time.Second
	// keepAliveMargin is how much before the worker's own limit a connection is given
	// up: workers state whole seconds, which may be rounded up.
	keepAliveMargin = time.Second
	// maxIdleRunOnce is how long a connection may have been idle to carry a request
	// that runs at most once, which is lost if the worker has dropped the
	// connection meanwhile: a quarter of the shortest time a worker can state.
	maxIdleRunOnce = 250 * time.Millisecond
	// earlyDropTTL is how long a service counts as forgetful: several times idleUnstated, so
	// that looking again costs few requests.
	earlyDropTTL = 20 * time.Second
)

// keepAliveFor returns for how long a connection may be kept by a Keep-Alive header.
func keepAliveFor(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		// A number out of range becomes the largest or the smallest one.
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

// earlyDrop is what is known of the workers of a service that drop idle
// connections before the time they state, and without closing them.
type earlyDrop struct {
	// worker dropped a connection last, after it was idle for so long.
	worker       string
	shortestIdle time.Duration
	// limit is for how long connections may be idle, zero if only one worker
	// dropped any.
	limit     time.Duration
	expiresAt time.Time
}

// dropsEarly reports whether workers of a service are known to drop connections that were
// idle for so long.
func (u *upstream) dropsEarly(service string, idled time.Duration, now time.Time) bool {
	f, ok := u.earlyDrops[service]
	return ok && f.limit > 0 && idled >= f.limit && now.Before(f.expiresAt)
}

// recordReset notes that a worker reset a kept connection in place of an answer.
// One worker may have been started anew; a second one shows that the service
// drops idle connections.
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

// isReset reports whether the other side no longer knows the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
