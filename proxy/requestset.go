package proxy

import (
	"context"
	"errors"
	"sync"
)

// errStopping is the cause with which the requests in flight are canceled when the daemon ends.
var errStopping = errors.New("the daemon stops")

// requestSet is a set of requests that can be canceled. It is safe for concurrent use.
type requestSet struct {
	mu      sync.Mutex
	cancels map[*request]context.CancelCauseFunc
}

func newRequestSet() *requestSet {
	return &requestSet{cancels: make(map[*request]context.CancelCauseFunc)}
}

func (s *requestSet) add(c *request, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[c] = cancel
}

func (s *requestSet) remove(c *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, c)
}

func (s *requestSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cancels)
}

// cancel cancels the requests for which matches returns true, and returns their number.
func (s *requestSet) cancel(cause error, matches func(c *request) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	canceled := 0
	for c, cancel := range s.cancels {
		if matches(c) {
			cancel(cause)
			canceled++
		}
	}
	return canceled
}

// EndRequests cancels the requests in flight because the daemon ends, and returns their number. Those whose
// callers have received nothing are answered; the connections of the others are broken off. Each leaves a
// log line.
func (p *Proxy) EndRequests() int {
	return p.inFlight.cancel(errStopping, func(*request) bool { return true })
}

// isEndedByStop reports whether the request was canceled because the daemon ends.
func (c *request) isEndedByStop() bool { return errors.Is(context.Cause(c.ctx), errStopping) }
