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
	// accountPart is which part of the daemon's bound one client account may hold, so that
	// the slow callers of one account leave room for those of others.
	accountPart = 0.25
	// firstStep is how much room a body takes at first, in bytes. It doubles as the body
	// comes: what was announced and is never sent takes none.
	firstStep = 2 << 10
	// roomPoll is how often an answer that finds no room looks again.
	roomPoll = 20 * time.Millisecond
)

var errNoRoom = errors.New("the daemon holds as much as it may")

// Holdings bounds the bytes that a daemon holds for callers and workers: bodies of requests,
// and answers that are read whole before they are passed on. Streams hold one event each.
// It is safe for concurrent use.
type Holdings struct {
	most int64

	mu        sync.Mutex
	total     int64
	byAccount map[string]int64
}

// NewHoldings returns holdings of at most so many bytes; zero for no bound.
func NewHoldings(most int64) *Holdings {
	return &Holdings{most: most, byAccount: make(map[string]int64)}
}

// Held returns the bytes held.
func (h *Holdings) Held() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// take takes room for an account's bytes and reports whether there was any. An account that
// holds nothing yet may take its first part.
func (h *Holdings) take(account string, bytes int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.byAccount[account]
	mostOfAccount := int64(accountPart * float64(h.most))
	if h.most > 0 && (h.total+bytes > h.most || held > 0 && held+bytes > mostOfAccount) {
		return false
	}
	h.total += bytes
	h.byAccount[account] = held + bytes
	return true
}

func (h *Holdings) give(account string, bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total -= bytes
	if h.byAccount[account] -= bytes; h.byAccount[account] <= 0 {
		delete(h.byAccount, account)
	}
}

// holding is what is held for one request.
type holding struct {
	holdings *Holdings
	account  string
	bytes    int64
}

// grow takes room for further bytes.
func (o *holding) grow(bytes int64) bool {
	if !o.holdings.take(o.account, bytes) {
		return false
	}
	o.bytes += bytes
	return true
}

// end gives all room back.
func (o *holding) end() {
	o.holdings.give(o.account, o.bytes)
	o.bytes = 0
}

// read reads up to most bytes and one more, which tells that there were too many. It takes
// room as bytes come, by what wait does when there is none.
func (o *holding) read(from io.Reader, most int64, wait func() error) ([]byte, error) {
	var all []byte
	from = io.LimitReader(from, most+1)
	for step := 0; ; {
		if len(all) == cap(all) {
			step = max(2*step, firstStep)
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
func (o *holding) shrink(bytes int64) {
	o.holdings.give(o.account, bytes)
	o.bytes -= bytes
}

// refuseWhenFull is the wait of a body: the request has not run, so it is refused.
func refuseWhenFull() error { return errNoRoom }

// waitForRoom is the wait of an answer: it was made, so it is read as soon as there is room,
// and the worker is held up until then.
func waitForRoom(ctx context.Context) func() error {
	return func() error {
		pause.For(ctx, roomPoll)
		return context.Cause(ctx)
	}
}
