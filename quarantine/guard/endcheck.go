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
	// checkTimeout limits a check whether a worker has ended, which takes one round trip.
	checkTimeout = 500 * time.Millisecond
	// blameDelay is how long a request waits for that check before it is retried elsewhere:
	// several round trips, but short compared to the pauses that clients tolerate.
	blameDelay = 30 * time.Millisecond
	// resultTTL is how long the result of a check is reused. A worker that was alive may end a
	// moment later, which further broken connections then show.
	resultTTL = 100 * time.Millisecond
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// BrokeOff reports whether an exchange failed because the worker closed or reset the connection,
// or because nobody listened when it was sent again.
func BrokeOff(err error) bool {
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
	// Replaced reports whether another incarnation answers at the address, if any does; nil if
	// that cannot be determined.
	Replaced func(ctx context.Context) (bool, error)
}

// endChecker checks whether workers whose connections broke have ended; a connection can also
// break while its worker is alive. It is safe for concurrent use.
type endChecker struct {
	dial Dial
	// onError is called when an error left it open whether a worker ended.
	onError func(w Worker, err error)
	checks  conc.WaitGroup

	mu       sync.Mutex
	byWorker map[string]*endCheck
}

// endCheck is one check of a worker.
type endCheck struct {
	// expiresAt is when the result may no longer be reused.
	expiresAt time.Time
	// done is closed when the result is available.
	done  chan struct{}
	ended bool
}

// check returns the check of a worker whose connection broke now. Connections that break at the
// same moment share one check.
func (e *endChecker) check(w Worker, now time.Time) *endCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, held := range e.byWorker {
		if held.isDone() && !now.Before(held.expiresAt) {
			delete(e.byWorker, id)
		}
	}
	if held, ok := e.byWorker[w.ID]; ok {
		return held
	}
	started := &endCheck{expiresAt: now.Add(resultTTL), done: make(chan struct{})}
	e.byWorker[w.ID] = started
	e.checks.Go(func() {
		defer close(started.done)
		started.ended = e.run(w)
	})
	return started
}

func (c *endCheck) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// run reports whether nobody listens at a worker's address any more, or whether another
// incarnation does. A timeout proves nothing: the network or the machine may be stalled.
func (e *endChecker) run(w Worker) bool {
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
