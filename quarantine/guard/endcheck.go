package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// checkTimeout limits the time that a check whether a worker has ended takes.
	checkTimeout = 500 * time.Millisecond
	// blameDelay is the maximum time for which the retry of a request waits for that check.
	blameDelay = 30 * time.Millisecond
	// resultTTL is how long the result of a check is reused for further broken connections to the
	// same worker.
	resultTTL = 100 * time.Millisecond
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// IsConnectionBroken reports whether an exchange failed because the worker closed or reset the
// connection, or because it refused a new one.
func IsConnectionBroken(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Worker is a worker whose connection broke.
type Worker struct {
	// ID identifies its incarnation.
	ID      string
	Address string
	// Replaced sends a request to the address, and reports whether another incarnation answers it.
	// It is nil if that cannot be determined.
	Replaced func(ctx context.Context) (bool, error)
}

// endChecker checks whether workers whose connections broke have ended. A connection can also
// break while its worker is alive. It is safe for concurrent use.
type endChecker struct {
	dial Dial
	// onError is called if a check failed, so that it is unknown whether the worker ended.
	onError func(w Worker, err error)
	checks  conc.WaitGroup

	mu       sync.Mutex
	byWorker map[string]*endCheck
}

// endCheck is one check of a worker.
type endCheck struct {
	// expiresAt is the time from which the result is not reused.
	expiresAt time.Time
	// done is closed when the result is available.
	done     chan struct{}
	hasEnded bool
}

// check starts a check of a worker whose connection broke now, or returns the current one if it
// has not expired. Connections that break at the same time thus share one check.
func (e *endChecker) check(w Worker, now time.Time) *endCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, existing := range e.byWorker {
		if existing.isDone() && !now.Before(existing.expiresAt) {
			delete(e.byWorker, id)
		}
	}
	if held, ok := e.byWorker[w.ID]; ok {
		return held
	}
	created := &endCheck{expiresAt: now.Add(resultTTL), done: make(chan struct{})}
	e.byWorker[w.ID] = created
	e.checks.Go(func() {
		defer close(created.done)
		created.hasEnded = e.hasEnded(w)
	})
	return created
}

func (c *endCheck) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// hasEnded reports whether the worker has ended, that is, whether its address refuses connections
// or belongs to another incarnation now. It returns false after a timeout, since the network or
// the machine may be stalled.
func (e *endChecker) hasEnded(w Worker) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	c, err := e.dial(ctx, "tcp", w.Address)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if !refused {
			e.onError(w, err)
		}
		return refused
	}
	_ = c.Close()
	if w.Replaced == nil {
		return false
	}
	replaced, err := w.Replaced(ctx)
	if err != nil {
		e.onError(w, err)
	}
	return replaced
}
