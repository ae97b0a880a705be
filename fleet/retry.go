package fleet

import (
	"sync"
	"time"
)

// Timing of retries. Each delay is drawn between a minimum and twice that.
const (
	// firstRetryDelay is the minimum delay after the first failed read, maxRetryDelay after later
	// ones.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 400 * time.Millisecond
	// coveredRetryDelay replaces maxRetryDelay while a probe is under way.
	coveredRetryDelay = 800 * time.Millisecond
	// silentReadTime is the time after which a read without an answer fails.
	silentReadTime = time.Second
	// settleMargin is the time between a successful read and the end of the settle time.
	settleMargin = 500 * time.Millisecond
)

// retryBackoff determines the delays after failed reads.
type retryBackoff struct {
	// settleTime is the time after the return of the source within which a read must have succeeded;
	// zero means no limit.
	settleTime time.Duration
	// next is the minimum delay after the next failure.
	next time.Duration
}

// delay returns the minimum delay after another failed read. spread is the smallest one that is allowed
// if settleTime permits it. isCovered is set if another reader probes the source, so that this one
// need not notice its return.
func (b *retryBackoff) delay(spread time.Duration, isCovered bool) time.Duration {
	longest := max(maxRetryDelay, spread)
	switch {
	case isCovered:
		longest = max(coveredRetryDelay, spread)
	case b.settleTime > 0:
		longest = max(min(longest, b.longestDelay()), firstRetryDelay)
	}
	delay := min(max(b.next, firstRetryDelay, spread), longest)
	b.next = 2 * delay
	return delay
}

// longestDelay returns the minimum delay with which a read succeeds in time although the one before it
// was sent just before the source returned, and got no answer.
func (b *retryBackoff) longestDelay() time.Duration {
	return (b.settleTime - silentReadTime - settleMargin) / 2
}

// reset starts again after a successful read.
func (b *retryBackoff) reset() { b.next = 0 }

// probe lets readers of a source wait for one of them, which probes the source while its reads fail.
// The zero value is a probe that is not under way. It is safe for concurrent use.
type probe struct {
	mu sync.Mutex
	// ended is closed when the probe ends. It is nil while none is under way.
	ended chan struct{}
}

// begin records that a read of the probing reader failed.
func (p *probe) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		p.ended = make(chan struct{})
	}
}

// end records that the probing reader succeeded, or does not read any more.
func (p *probe) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil {
		close(p.ended)
		p.ended = nil
	}
}

// underWay returns a channel that is closed when the probe under way ends, or nil if none is.
func (p *probe) underWay() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}
