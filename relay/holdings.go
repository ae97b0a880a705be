package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"quartzshelf.dev/common/pause"
)

const (
	// maxAccountShare is which part of the daemon's bound one client account may hold, so that
	// the slow callers of one account leave room for those of others.
	maxAccountShare = 0.25
	// initialBufferBytes is how much room a body takes at first, in bytes. It doubles as the body
	// comes: what was announced and is never sent takes none.
	initialBufferBytes = 2 << 10
	// memoryPollInterval is how often an answer that finds no room looks again.
	memoryPollInterval = 20 * time.Millisecond
)

var errMemoryLimit = errors.New("the daemon holds as much as it may")

// Holdings bounds the bytes that a daemon holds for callers and workers: bodies of requests,
// and answers that are read whole before they are passed on. Streams hold one event each.
// It is safe for concurrent use.
type Holdings struct {
	limit int64

	mu        sync.Mutex
	total     int64
	byAccount map[string]int64
}

// NewHoldings returns holdings of at most so many bytes; zero for no bound.
func NewHoldings(limit int64) *Holdings {
	return &Holdings{limit: limit, byAccount: make(map[string]int64)}
}

// Held returns the bytes held.
func (h *Holdings) Held() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// reserve takes room for an account's bytes and reports whether there was any. An account that
// holds nothing yet may take its first part.
func (h *Holdings) reserve(account string, bytes int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.byAccount[account]
	accountLimit := int64(maxAccountShare * float64(h.limit))
	if h.limit > 0 && (h.total+bytes > h.limit || held > 0 && held+bytes > accountLimit) {
		return false
	}
	h.total += bytes
	h.byAccount[account] = held + bytes
	return true
}

func (h *Holdings) release(account string, bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total -= bytes
	if h.byAccount[account] -= bytes; h.byAccount[account] <= 0 {
		delete(h.byAccount, account)
	}
}

// requestMemory is what is held for one request.
type requestMemory struct {
	holdings *Holdings
	account  string
	bytes    int64
}

// grow takes room for further bytes.
func (o *requestMemory) grow(bytes int64) bool {
	if !o.holdings.reserve(o.account, bytes) {
		return false
	}
	o.bytes += bytes
	return true
}

// release gives all room back.
func (o *requestMemory) release() {
	o.holdings.release(o.account, o.bytes)
	o.bytes = 0
}

// read reads up to most bytes and one more, which tells that there were too many. It takes
// room as bytes come, by what wait does when there is none.
func (o *requestMemory) read(from io.Reader, limit int64, wait func() error) ([]byte, error) {
	var all []byte
	from = io.LimitReader(from, limit+1)
	for step := 0; ; {
		if len(all) == cap(all) {
			step = max(2*step, initialBufferBytes)
			for !o.grow(int64(step)) {
				if err := wait(); err != nil {
					return nil, err
				}
			}
			all = append(make([]byte, 0, len(all)+step), all...)
		}
		n, err := from.Read(all[len(all):cap(all)])
		all = all[:len(all)+n]
		switch {
		case errors.Is(err, io.EOF):
			o.shrink(int64(cap(all) - len(all)))
			return all, nil
		case err != nil:
			return nil, err
		}
	}
}

// shrink gives back room that turned out not to be needed.
func (o *requestMemory) shrink(bytes int64) {
	o.holdings.release(o.account, bytes)
	o.bytes -= bytes
}

// failWhenFull is the wait of a body: the request has not run, so it is refused.
func failWhenFull() error { return errMemoryLimit }

// waitForMemory is the wait of an answer: it was made, so it is read as soon as there is room,
// and the worker is held up until then.
func waitForMemory(ctx context.Context) func() error {
	return func() error {
		pause.For(ctx, memoryPollInterval)
		return context.Cause(ctx)
	}
}
