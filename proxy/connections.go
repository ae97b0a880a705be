package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/fleet"
)

const (
	// dialTimeout limits opening a connection to a worker.
	dialTimeout = 500 * time.Millisecond
	// maxIdlePerWorker limits this daemon's idle connections to one worker. Engines commonly have
	// as many slots.
	maxIdlePerWorker = 16
	// maxIdleTotal limits the idle connections of a daemon. Their read buffers take at most 2 MiB.
	maxIdleTotal    = 512
	readBufferBytes = 4 << 10
)

// upstream manages connections to workers. It is safe for concurrent use.
type upstream struct {
	// dial opens a connection to a worker's address.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// idleShare returns how many idle connections this daemon may keep to a worker of a service.
	// onConnection is called for each connection opened or reused.
	idleShare    func(service string) int
	onConnection func(service string, reused bool)
	// onResend is called for each request that is sent to the same worker again.
	onResend func()
	// onConnectFailed is called for each connection that could not be opened.
	onConnectFailed func(w *fleet.Worker, err error)
	// onSlowConnect is called if opening a connection takes longer than slowConnect.
	onSlowConnect func(w *fleet.Worker)

	mu        sync.Mutex
	idle      map[string][]*connection
	idleCount int
	// earlyDrops holds the services whose workers drop idle connections early.
	earlyDrops map[string]earlyDrop
}

// connection is a connection to a worker.
type connection struct {
	net.Conn
	worker  string
	service string
	// workerBorn is the start time of the worker instance to which the connection was opened. It
	// distinguishes instances with the same ID.
	workerBorn int64
	reader     *bufio.Reader
	// head limits what is read for the head of an answer.
	head headLimiter
	// idleSince is when the connection was last used, closeAt when it must be closed.
	idleSince time.Time
	closeAt   time.Time
	// idleBefore is how long it was idle before its current request; zero for a new connection.
	idleBefore time.Duration
	// onInterrupt is called by interrupted reads. Nil if reads are not interrupted.
	onInterrupt func() error
}

func newUpstream() *upstream {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &upstream{
		dial:            dialer.DialContext,
		idleShare:       func(string) int { return maxIdlePerWorker },
		onConnection:    func(string, bool) {},
		onResend:        func() {},
		onConnectFailed: func(*fleet.Worker, error) {},
		onSlowConnect:   func(*fleet.Worker) {},
		idle:            make(map[string][]*connection), earlyDrops: make(map[string]earlyDrop),
	}
}

// get returns an idle connection to a worker if one has been idle for less than maxIdle, and a new
// one otherwise.
func (u *upstream) get(ctx context.Context, w *fleet.Worker, maxIdle time.Duration) (*connection, error) {
	if c := u.reuse(w, maxIdle); c != nil {
		u.onConnection(w.Service, true)
		return c, nil
	}
	return u.open(ctx, w)
}

// open opens a connection to a worker.
func (u *upstream) open(ctx context.Context, w *fleet.Worker) (*connection, error) {
	slow := time.AfterFunc(slowConnect, func() { u.onSlowConnect(w) })
	raw, err := u.dial(ctx, "tcp", w.Address)
	slow.Stop()
	if err != nil {
		u.onConnectFailed(w, err)
		return nil, &sendError{cause: failure.Wrap(failure.Refused, "connect to worker", w.ID, err)}
	}
	u.onConnection(w.Service, false)
	c := &connection{Conn: raw, worker: w.ID, service: w.Service, workerBorn: w.StartedAt}
	c.limitHeads()
	return c, nil
}

// reuse returns the most recently used idle connection, or nil if none is usable. The most recent
// one is the least likely to have been closed by the worker. Connections that were idle for longer
// than maxIdle are left for other requests or the next sweep. Connections to an earlier instance of
// the worker are closed.
func (u *upstream) reuse(w *fleet.Worker, maxIdle time.Duration) *connection {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		conns := u.idle[w.ID]
		if len(conns) == 0 {
			return nil
		}
		c := conns[len(conns)-1]
		if c.workerBorn == w.StartedAt && !u.isUsable(c, maxIdle, now) {
			return nil
		}
		u.idle[w.ID] = conns[:len(conns)-1]
		u.idleCount--
		if c.workerBorn == w.StartedAt && c.isIntact() {
			c.idleBefore = now.Sub(c.idleSince)
			return c
		}
		_ = c.Close()
	}
}

// isUsable reports whether a connection has been idle for less than maxIdle and is not expected to
// have been closed by its worker.
func (u *upstream) isUsable(c *connection, maxIdle time.Duration, now time.Time) bool {
	idleTime := now.Sub(c.idleSince)
	return idleTime < maxIdle && now.Before(c.closeAt) && !u.dropsEarly(c.service, idleTime, now)
}

// connectedWorkers returns the workers whose last idle connection is usable for a request with this
// maxIdle.
func (u *upstream) connectedWorkers(maxIdle time.Duration) map[string]bool {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	workers := make(map[string]bool, len(u.idle))
	for worker, conns := range u.idle {
		if len(conns) > 0 && u.isUsable(conns[len(conns)-1], maxIdle, now) {
			workers[worker] = true
		}
	}
	return workers
}

// isIntact reports whether the worker has neither closed the connection nor sent data since its
// last answer.
func (c *connection) isIntact() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	intact := false
	err = socket.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		intact = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && intact
}

// put keeps a connection whose answer was read completely, or closes it if a limit is reached.
func (u *upstream) put(c *connection, keepFor time.Duration) {
	now := time.Now()
	c.idleSince, c.closeAt = now, now.Add(keepFor)
	share := u.idleShare(c.service)
	u.mu.Lock()
	defer u.mu.Unlock()
	if keepFor <= 0 || len(u.idle[c.worker]) >= share || u.idleCount >= maxIdleTotal {
		_ = c.Close()
		return
	}
	u.idle[c.worker] = append(u.idle[c.worker], c)
	u.idleCount++
}

// closeWorkerConnections closes the idle connections to a worker. It is called after a request on
// another connection got no answer, since the same fault may have broken them too.
func (u *upstream) closeWorkerConnections(worker string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeIdle(worker, 0)
}

// closeService closes the idle connections to the workers of a service.
func (u *upstream) closeService(service string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for worker, conns := range u.idle {
		if len(conns) > 0 && conns[0].service == service {
			u.closeIdle(worker, 0)
		}
	}
}

// closeAll closes all idle connections.
func (u *upstream) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for worker := range u.idle {
		u.closeIdle(worker, 0)
	}
}

// closeIdle closes the oldest idle connections to a worker until at most limit are left.
func (u *upstream) closeIdle(worker string, limit int) {
	conns := u.idle[worker]
	excess := max(len(conns)-limit, 0)
	for _, c := range conns[:excess] {
		_ = c.Close()
	}
	u.idleCount -= excess
	if limit <= 0 || len(conns) == 0 {
		delete(u.idle, worker)
		return
	}
	u.idle[worker] = conns[excess:]
}

// sweep closes connections that have been idle for too long, and those beyond the daemon's share.
// The share shrinks as daemons join.
func (u *upstream) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for worker, conns := range u.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.closeAt) && !u.dropsEarly(c.service, now.Sub(c.idleSince), now) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			u.idleCount--
		}
		u.idle[worker] = kept
		limit := 0
		if len(kept) > 0 {
			limit = u.idleShare(kept[0].service)
		}
		u.closeIdle(worker, limit)
	}
}

// idleShare returns how many idle connections this daemon may keep to a worker of a service. All
// daemons together keep up to half of the connections that the worker accepts. The other half is
// left for requests in flight and for daemons that just joined.
func (p *Proxy) idleShare(service string) int {
	config := p.opts.Config()
	if config == nil {
		return maxIdlePerWorker
	}
	s, ok := config.Service(service)
	if !ok || s.MaxConns <= 0 {
		return maxIdlePerWorker
	}
	return min(maxIdlePerWorker, s.MaxConns/2/max(p.opts.Budget.Daemons(), 1))
}
