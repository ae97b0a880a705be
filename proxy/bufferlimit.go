package proxy

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"quartzshelf.dev/common/pause"
)

const (
	// maxAccountShare is the part of the daemon's limit that one client account may use, so that
	// slow callers of one account leave memory for others.
	maxAccountShare = 0.25
	// initialBufferBytes is the initial buffer size of a body. The buffer grows as data arrives, so
	// that a body that is announced but not sent takes little memory.
	initialBufferBytes = 2 << 10
	// memoryPollInterval is the interval at which an answer that waits for memory tries to reserve
	// it.
	memoryPollInterval = 20 * time.Millisecond
)

var errMemoryLimit = errors.New("the daemon holds as much as it may")

// BufferLimit limits the bytes that a daemon buffers for callers and workers. These are the bodies
// of requests, and answers that are read completely before they are forwarded. The small buffers of
// streams are not counted. It is safe for concurrent use.
type BufferLimit struct {
	limit int64

	mu        sync.Mutex
	total     int64
	byAccount map[string]int64
}

// NewBufferLimit returns a BufferLimit with a limit in bytes; zero for no limit.
func NewBufferLimit(limit int64) *BufferLimit {
	return &BufferLimit{limit: limit, byAccount: make(map[string]int64)}
}

// BytesInUse returns the number of bytes in use.
func (b *BufferLimit) BytesInUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// reserve reserves bytes for an account and reports whether they were available. The account's
// share does not limit its first reservation.
func (b *BufferLimit) reserve(account string, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.byAccount[account]
	accountLimit := int64(maxAccountShare * float64(b.limit))
	if b.limit > 0 && (b.total+bytes > b.limit || held > 0 && held+bytes > accountLimit) {
		return false
	}
	b.total += bytes
	b.byAccount[account] = held + bytes
	return true
}

func (b *BufferLimit) release(account string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= bytes
	if b.byAccount[account] -= bytes; b.byAccount[account] <= 0 {
		delete(b.byAccount, account)
	}
}

// requestMemory is the memory reserved for one request.
type requestMemory struct {
	bufferLimit *BufferLimit
	account     string
	bytes       int64
}

// grow reserves further bytes and reports whether they were available.
func (m *requestMemory) grow(bytes int64) bool {
	if !m.bufferLimit.reserve(m.account, bytes) {
		return false
	}
	m.bytes += bytes
	return true
}

// release releases all reserved memory.
func (m *requestMemory) release() {
	m.bufferLimit.release(m.account, m.bytes)
	m.bytes = 0
}

// read reads up to limit bytes plus one, so that callers can detect a longer body. It reserves
// memory as data arrives. When no memory is left, it calls wait and tries again, or returns the
// error of wait.
func (m *requestMemory) read(body io.Reader, limit int64, wait func() error) ([]byte, error) {
	var all []byte
	body = io.LimitReader(body, limit+1)
	for step := 0; ; {
		if len(all) == cap(all) {
			step = max(2*step, initialBufferBytes)
			for !m.grow(int64(step)) {
				if err := wait(); err != nil {
					return nil, err
				}
			}
			all = append(make([]byte, 0, len(all)+step), all...)
		}
		n, err := body.Read(all[len(all):cap(all)])
		all = all[:len(all)+n]
		switch {
		case errors.Is(err, io.EOF):
			m.shrink(int64(cap(all) - len(all)))
			return all, nil
		case err != nil:
			return nil, err
		}
	}
}

// shrink releases memory that turned out not to be needed.
func (m *requestMemory) shrink(bytes int64) {
	m.bufferLimit.release(m.account, bytes)
	m.bytes -= bytes
}

// failWhenFull is the wait function for reading bodies of requests. It fails at once, because a
// request that has not run can be refused.
func failWhenFull() error { return errMemoryLimit }

// waitForMemory returns the wait function for reading answers. It pauses until the next attempt,
// because a request that has run should get its answer. It fails when ctx ends.
func waitForMemory(ctx context.Context) func() error {
	return func() error {
		pause.Sleep(ctx, memoryPollInterval)
		return context.Cause(ctx)
	}
}
