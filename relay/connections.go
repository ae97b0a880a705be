package relay

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
	// dialTimeout bounds the opening of a connection to a worker.
	dialTimeout = 500 * time.Millisecond
	// idlePerWorker bounds the idle connections to one worker: as many as the
	// slots that engines commonly have.
	idlePerWorker = 16
	// idleTotal bounds the idle connections of a daemon. With their buffers of
	// 4 KiB they take 2 MiB, and less than a fifth of the 2,870 descriptors of
	// the smallest machine.
	idleTotal  = 512
	readBuffer = 4 << 10
)

// upstream keeps connections to workers. It is safe for concurrent use.
type upstream struct {
	// dial opens a connection to a worker's address.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// share returns how many idle connections this daemon may keep to a worker
	// of a service; count notes each connection that is opened or reused.
	share func(service string) int
	count func(service string, reused bool)

	mu    sync.Mutex
	idle  map[string][]*connection
	total int
	// forgetful holds the services whose workers drop idle connections early.
	forgetful map[string]forgetting
}

// connection is a connection to a worker.
type connection struct {
	net.Conn
	worker  string
	service string
	// born is when the worker's life began to which the connection leads.
	born   int64
	reader *bufio.Reader
	// idleSince is when it was last used, closeAt until when it may be used.
	idleSince time.Time
	closeAt   time.Time
	// idled is how long it had been idle before its request; zero for a new one.
	idled time.Duration
}

func newUpstream() *upstream {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &upstream{
		dial:  dialer.DialContext,
		share: func(string) int { return idlePerWorker },
		count: func(string, bool) {},
		idle:  make(map[string][]*connection), forgetful: make(map[string]forgetting),
	}
}

// get returns a connection to a worker: one that has been idle for less than
// idleFor, or a new one.
func (u *upstream) get(ctx context.Context, w *fleet.Worker, idleFor time.Duration) (*connection, error) {
	if c := u.reuse(w, idleFor); c != nil {
		u.count(w.Service, true)
		return c, nil
	}
	return u.open(ctx, w)
}

// open opens a connection to a worker.
func (u *upstream) open(ctx context.Context, w *fleet.Worker) (*connection, error) {
	raw, err := u.dial(ctx, "tcp", w.Address)
	if err != nil {
		return nil, &sendError{cause: failure.At(failure.Refused, "connect to worker", w.ID, err)}
	}
	u.count(w.Service, false)
	return &connection{Conn: raw, worker: w.ID, service: w.Service, born: w.Born, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// reuse takes the connection that was used last, which is the least likely to
// be closed by its worker. One that has been idle for too long stays for
// requests that bear it, or until the next sweep.
// Those to an earlier life of the worker are closed.
func (u *upstream) reuse(w *fleet.Worker, idleFor time.Duration) *connection {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		all := u.idle[w.ID]
		if len(all) == 0 {
			return nil
		}
		c := all[len(all)-1]
		if c.born == w.Born && !u.usable(c, idleFor, now) {
			return nil
		}
		u.idle[w.ID] = all[:len(all)-1]
		u.total--
		if c.born == w.Born && c.quiet() {
			c.idled = now.Sub(c.idleSince)
			return c
		}
		_ = c.Close()
	}
}

// usable reports whether a connection may carry a request that bears idleFor.
func (u *upstream) usable(c *connection, idleFor time.Duration, now time.Time) bool {
	idled := now.Sub(c.idleSince)
	return idled < idleFor && now.Before(c.closeAt) && !u.forgets(c.service, idled, now)
}

// kept returns the workers to which there is a connection that has been idle
// for less than idleFor.
func (u *upstream) kept(idleFor time.Duration) map[string]bool {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	workers := make(map[string]bool, len(u.idle))
	for worker, all := range u.idle {
		if len(all) > 0 && u.usable(all[len(all)-1], idleFor, now) {
			workers[worker] = true
		}
	}
	return workers
}

// quiet reports whether the worker neither closed the connection nor sent
// anything on it since its last answer.
func (c *connection) quiet() bool {
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
	quiet := false
	err = socket.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// put keeps a connection whose answer was read to its end.
func (u *upstream) put(c *connection, keep time.Duration) {
	now := time.Now()
	c.idleSince, c.closeAt = now, now.Add(keep)
	share := u.share(c.service)
	u.mu.Lock()
	defer u.mu.Unlock()
	if keep <= 0 || len(u.idle[c.worker]) >= share || u.total >= idleTotal {
		_ = c.Close()
		return
	}
	u.idle[c.worker] = append(u.idle[c.worker], c)
	u.total++
}

// distrust closes the idle connections to a worker on whose connection a request got no
// answer: what ended that one may have ended them as well.
func (u *upstream) distrust(worker string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeIdle(worker, 0)
}

// closeAll closes all idle connections.
func (u *upstream) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for worker := range u.idle {
		u.closeIdle(worker, 0)
	}
}

// closeIdle closes the oldest idle connections to a worker until most are left.
func (u *upstream) closeIdle(worker string, most int) {
	all := u.idle[worker]
	surplus := max(len(all)-most, 0)
	for _, c := range all[:surplus] {
		_ = c.Close()
	}
	u.total -= surplus
	if most <= 0 || len(all) == 0 {
		delete(u.idle, worker)
		return
	}
	u.idle[worker] = all[surplus:]
}

// sweep closes connections that were idle for too long, that their worker has
// closed, or that are more than the daemon's share, which falls as daemons come.
func (u *upstream) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for worker, all := range u.idle {
		kept := all[:0]
		for _, c := range all {
			if now.Before(c.closeAt) && !u.forgets(c.service, now.Sub(c.idleSince), now) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			u.total--
		}
		u.idle[worker] = kept
		most := 0
		if len(kept) > 0 {
			most = u.share(kept[0].service)
		}
		u.closeIdle(worker, most)
	}
}

// idleShare returns how many idle connections this daemon may keep to a worker of a
// service. What all daemons keep takes half of the connections that the worker accepts;
// the other half is for requests under way and for daemons that came just now.
func (r *Relay) idleShare(service string) int {
	config := r.opts.Config()
	if config == nil {
		return idlePerWorker
	}
	s, ok := config.Service(service)
	if !ok || s.MaxConns <= 0 {
		return idlePerWorker
	}
	return min(idlePerWorker, s.MaxConns/2/max(r.opts.Budget.Daemons(), 1))
}
