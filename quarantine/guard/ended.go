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
	// endedWait bounds how long it is looked whether a worker has ended. It takes a round
	// trip, 2.8 ms between data halls.
	endedWait = 500 * time.Millisecond
	// endedSoon is how long a request waits for that before it goes on elsewhere: ten round
	// trips, a tenth of the pauses that callers bear.
	endedSoon = 30 * time.Millisecond
	// endedFor is how long an answer counts. A worker that lives may end a moment later,
	// which connections that break then show.
	endedFor = 100 * time.Millisecond
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// BrokeOff reports whether an exchange failed since the worker's side of its connection
// ended, or since nobody listened when it was to be sent there once more.
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
	// ID names its life.
	ID      string
	Address string
	// Replaced reports whether another life answers at the address, if somebody does; nil if
	// that can't be told.
	Replaced func(ctx context.Context) (bool, error)
}

// endings tells whether workers have ended whose connections broke: a connection also breaks
// at a worker that lives, or on its way there. It is safe for concurrent use.
type endings struct {
	dial Dial
	// unclear is called when an error left it open whether a worker ended.
	unclear func(w Worker, err error)
	checks  conc.WaitGroup

	mu   sync.Mutex
	held map[string]*ending
}

// ending is one look at a worker.
type ending struct {
	// forgetAt is from when it is looked again.
	forgetAt time.Time
	// done is closed when it is known whether the worker has ended.
	done  chan struct{}
	ended bool
}

// of returns the look at a worker whose connection broke now. All that break at the same
// moment share one.
func (e *endings) of(w Worker, now time.Time) *ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, held := range e.held {
		if held.isDone() && !now.Before(held.forgetAt) {
			delete(e.held, id)
		}
	}
	if held, ok := e.held[w.ID]; ok {
		return held
	}
	look := &ending{forgetAt: now.Add(endedFor), done: make(chan struct{})}
	e.held[w.ID] = look
	e.checks.Go(func() {
		defer close(look.done)
		look.ended = e.look(w)
	})
	return look
}

func (l *ending) isDone() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// look reports whether nobody listens at a worker's address any more, or another life of it.
// Silence tells nothing: a link may be cut, or the machine stand still.
func (e *endings) look(w Worker) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endedWait)
	defer cancel()
	c, err := e.dial(ctx, "tcp", w.Address)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if !refused {
			e.unclear(w, err)
		}
		return refused
	}
	_ = c.Close()
	if w.Replaced == nil {
		return false
	}
	replaced, err := w.Replaced(ctx)
	if err != nil {
		e.unclear(w, err)
	}
	return replaced
}
