package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/telemetry"
)

// stallTimeout is how long a stream may be silent before another replica is tried. A silent replica
// may be dead or only pause, so an attempt is not given up for its silence. Other attempts, hedges,
// are begun beside it, and the first one to receive data continues the stream.
const stallTimeout = 15 * time.Second

var (
	errNoRetryLeft = errors.New("the budget of retries is used up")
	errNoStream    = errors.New("the answer is no stream")
)

// hedge is an attempt that was begun beside a silent one and has received no data yet.
type hedge struct {
	// ctx ends when the hedge is no longer needed.
	ctx    context.Context
	cancel context.CancelFunc
}

// mayHedge reports whether another attempt may be begun. It is called with mu held.
func (s *streamRelay) mayHedge() bool {
	if s.isEnded || s.tokens.isDropped || s.isHedgeOpening || s.winner != nil || s.current == nil && len(s.hedges) == 0 {
		return false
	}
	return s.r.repeatable && len(s.tried) < maxAttempts && s.r.ctx.Err() == nil
}

// startHedge is called when the stream has been silent for stallTimeout. It begins a hedge if the
// request may be sent once more. Otherwise the stream waits for the attempts that it has.
func (s *streamRelay) startHedge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isEnded {
		return
	}
	s.stallTimer.Reset(stallTimeout)
	if !s.mayHedge() {
		return
	}
	h := &hedge{}
	h.ctx, h.cancel = context.WithCancel(s.r.ctx)
	s.hedges[h] = true
	s.isHedgeOpening = true
	tokens := slices.Clip(s.tokens.texts)
	go s.runHedge(h, tokens)
}

// runHedge begins a hedge and waits until it has received data or has failed. If it is the first
// one with data and the stream is still silent, it becomes the winner.
func (s *streamRelay) runHedge(h *hedge, tokens []string) {
	events, err := s.openHedge(h, tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.hedgeEnded.Broadcast()
	delete(s.hedges, h)
	switch {
	case h.ctx.Err() != nil:
		s.g.opts.Meter.CountHedge(telemetry.HedgeDropped)
	case err != nil:
		s.g.opts.Meter.CountHedge(telemetry.HedgeFailed)
		s.g.opts.Logger.Info("hedge failed", "request", s.r.id, "error", err)
	default:
		s.g.opts.Meter.CountHedge(telemetry.HedgeUsed)
		s.dropHedges()
		s.winner = events
		if s.current != nil {
			s.current.attempt.cancel()
		}
		return
	}
	h.cancel()
	if events != nil {
		events.close()
	}
}

// openHedge sends the request to another replica, which is to continue after the tokens, and waits
// for the first data of its answer.
func (s *streamRelay) openHedge(h *hedge, tokens []string) (*tokenReader, error) {
	a, err := s.sendHedge(h, tokens)
	s.mu.Lock()
	s.isHedgeOpening = false
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if !isEventStream(a.response) || a.response.StatusCode != http.StatusOK {
		a.close()
		return nil, fmt.Errorf("%w: status %d", errNoStream, a.response.StatusCode)
	}
	events := newTokenReader(a, s.r.id)
	if _, err := events.reader.Peek(1); err != nil {
		if h.ctx.Err() == nil {
			s.g.reportBrokenAttempt(s.r, a.target, err)
		}
		events.close()
		return nil, failure.Wrap(failure.Remote, "read stream", a.target.address, err)
	}
	return events, nil
}

// sendHedge sends the request to another replica. It takes a retry from the budget, and returns it
// if no replica was chosen.
func (s *streamRelay) sendHedge(h *hedge, tokens []string) (*attempt, error) {
	body, err := withResumeTokens(s.r.body, tokens)
	if err != nil {
		return nil, err
	}
	if !s.g.retryBudget.takeRetry() {
		return nil, errNoRetryLeft
	}
	triedBefore := len(s.tried)
	a, refused := s.g.openAttempt(h.ctx, s.r, body, s.choose, s.tried, func(time.Time) bool { return true })
	if len(s.tried) == triedBefore {
		s.g.retryBudget.returnRetry()
	} else {
		s.g.opts.Meter.CountRetry(reason.RetryResumed)
	}
	if refused != nil {
		return nil, refused
	}
	return a, nil
}

// dropHedges cancels the hedges. It is called with mu held.
func (s *streamRelay) dropHedges() {
	for h := range s.hedges {
		h.cancel()
	}
}

// takeWinner is called when the current attempt has failed. It waits until a hedge has received
// data and returns its events, or returns nil if there is no hedge or all have failed.
func (s *streamRelay) takeWinner() *tokenReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.winner == nil && len(s.hedges) > 0 {
		s.hedgeEnded.Wait()
	}
	winner := s.winner
	s.winner = nil
	return winner
}

// stopHedges cancels the hedges and waits for their ends.
func (s *streamRelay) stopHedges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isEnded = true
	s.stallTimer.Stop()
	s.dropHedges()
	for len(s.hedges) > 0 {
		s.hedgeEnded.Wait()
	}
	if s.winner != nil {
		s.winner.close()
		s.winner = nil
	}
}
