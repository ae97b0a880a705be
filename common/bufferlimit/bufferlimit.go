// Package bufferlimit limits the memory that a daemon uses to buffer requests and answers, and divides it
// fairly among the client accounts.
package bufferlimit

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
	// maxPriorityShare is the part that an account may use while one of its answers has priority. It
	// leaves memory for other accounts.
	maxPriorityShare = 0.5
	// shortBytes is how much of a request's memory counts as short. What it holds beyond that is long.
	shortBytes = 8 << 10
	// shortAccountShare is the part of an account's share that its short memory may use whatever its
	// long memory uses, so that long answers leave room for other requests.
	shortAccountShare = 0.25
	// maxLongShare is the part of the daemon's limit up to which long memory is reserved.
	maxLongShare = 0.875
	// initialBufferBytes is the initial buffer size of a body. The buffer grows as data arrives, so
	// that a body that is announced but not sent takes little memory.
	initialBufferBytes = 2 << 10
	// memoryPollInterval is the interval at which an answer that waits for memory tries to reserve
	// it.
	memoryPollInterval = 20 * time.Millisecond
)

// MaxAnswerBytes limits the body of an answer that is relayed as a whole.
const MaxAnswerBytes = 32 << 20

// ErrFull is the error of reading a body for which no memory is left.
var ErrFull = errors.New("the daemon holds as much as it may")

// Limit limits the bytes that a daemon buffers for callers and workers. These are the bodies
// of requests, and answers that are read completely before they are forwarded. The small buffers of
// streams are not counted. It is safe for concurrent use.
type Limit struct {
	limit int64

	mu        sync.Mutex
	total     int64
	byAccount map[string]int64
	// longByAccount holds the long part of byAccount.
	longByAccount map[string]int64
	// priority holds for each account the answer that may exceed the account's share. Without it,
	// answers of one account that are each read in part would wait for each other.
	priority map[string]*Memory
}

// New returns a Limit with a limit in bytes; zero for no limit.
func New(limit int64) *Limit {
	return &Limit{
		limit: limit, byAccount: make(map[string]int64), longByAccount: make(map[string]int64),
		priority: make(map[string]*Memory),
	}
}

// BytesInUse returns the number of bytes in use.
func (b *Limit) BytesInUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// reserve reserves bytes for a request and reports whether they were available.
func (b *Limit) reserve(m *Memory, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && !b.isAvailable(m, bytes) {
		return false
	}
	b.change(m, bytes)
	return true
}

// isAvailable reports whether a request may reserve more bytes. The account's share does not limit its
// first reservation. The mutex must be held.
func (b *Limit) isAvailable(m *Memory, bytes int64) bool {
	held := b.byAccount[m.account]
	isShort := m.bytes+bytes <= shortBytes
	heldShort := held - b.longByAccount[m.account]
	switch {
	case b.total+bytes > b.limit:
		return false
	case held == 0:
		return true
	case isShort && float64(heldShort+bytes) <= shortAccountShare*float64(b.accountLimit()):
		return true
	case !isShort && float64(b.total+bytes) > maxLongShare*float64(b.limit):
		return false
	case b.priority[m.account] == m:
		return float64(held+bytes) <= maxPriorityShare*float64(b.limit)
	}
	return held+bytes <= b.accountLimit()
}

// change adds bytes to the memory of a request, or removes them if they are negative. The mutex must be
// held.
func (b *Limit) change(m *Memory, bytes int64) {
	long := max(m.bytes+bytes-shortBytes, 0) - max(m.bytes-shortBytes, 0)
	m.bytes += bytes
	b.total += bytes
	addToAccount(b.byAccount, m.account, bytes)
	addToAccount(b.longByAccount, m.account, long)
}

// addToAccount adds to the sum of an account, and forgets the account when nothing is left.
func addToAccount(sums map[string]int64, account string, bytes int64) {
	if sums[account] += bytes; sums[account] <= 0 {
		delete(sums, account)
	}
}

// prioritize gives an answer that waits for memory the priority among those of its account, unless
// another answer has it.
func (b *Limit) prioritize(m *Memory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.priority[m.account] == nil {
		b.priority[m.account] = m
	}
}

// endPriority ends the priority of an answer, if it has it.
func (b *Limit) endPriority(m *Memory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.priority[m.account] == m {
		delete(b.priority, m.account)
	}
}

// Release releases bytes of a request.
func (b *Limit) release(m *Memory, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.change(m, -bytes)
}

// accountLimit returns how many bytes one account may use.
func (b *Limit) accountLimit() int64 { return int64(maxAccountShare * float64(b.limit)) }

// Memory is the memory reserved for one request.
type Memory struct {
	limit   *Limit
	account string
	// bytes is changed with the mutex of limit held, by one goroutine at a time.
	bytes int64
}

// NewMemory returns the memory of a request of a client account. None is reserved yet.
func NewMemory(limit *Limit, account string) *Memory { return &Memory{limit: limit, account: account} }

// SetAccount sets the client account. It must not be called after memory was reserved.
func (m *Memory) SetAccount(account string) { m.account = account }

// Bytes returns the number of bytes reserved. It must not be called while other goroutines change it.
func (m *Memory) Bytes() int64 { return m.bytes }

// Grow reserves further bytes and reports whether they were available.
func (m *Memory) Grow(bytes int64) bool { return m.limit.reserve(m, bytes) }

// Release releases all reserved memory.
func (m *Memory) Release() {
	m.limit.endPriority(m)
	m.limit.release(m, m.bytes)
}

// AnswerLimit returns how long an answer may be that the account can hold besides what the request holds
// already. The byte by which a longer one is detected is not included.
func (m *Memory) AnswerLimit() int64 {
	if m.limit.limit <= 0 {
		return MaxAnswerBytes
	}
	return max(min(MaxAnswerBytes, m.limit.accountLimit()-m.bytes-1), 0)
}

// Read reads up to limit bytes plus one, so that callers can detect a longer body. It reserves
// memory as data arrives. When no memory is left, it calls wait and tries again, with priority if no
// other answer of the account has it, or returns the error of wait.
func (m *Memory) Read(body io.Reader, limit int64, wait func() error) ([]byte, error) {
	var all []byte
	body = io.LimitReader(body, limit+1)
	for step := 0; ; {
		if len(all) == cap(all) {
			step = min(max(2*step, initialBufferBytes), int(limit)+1-len(all))
			for !m.Grow(int64(step)) {
				if err := wait(); err != nil {
					return nil, err
				}
				m.limit.prioritize(m)
			}
			all = append(make([]byte, 0, len(all)+step), all...)
		}
		n, err := body.Read(all[len(all):cap(all)])
		all = all[:len(all)+n]
		switch {
		case errors.Is(err, io.EOF):
			m.Shrink(int64(cap(all) - len(all)))
			return all, nil
		case err != nil:
			return nil, err
		}
	}
}

// Shrink releases memory that turned out not to be needed.
func (m *Memory) Shrink(bytes int64) { m.limit.release(m, bytes) }

// FailWhenFull is the wait function for reading bodies of requests. It fails at once, because a
// request that has not run can be refused.
func FailWhenFull() error { return ErrFull }

// WaitForMemory returns the wait function for reading answers. It pauses until the next attempt,
// because a request that has run should get its answer. It fails when ctx ends.
func WaitForMemory(ctx context.Context) func() error {
	return func() error {
		pause.Sleep(ctx, memoryPollInterval)
		return context.Cause(ctx)
	}
}
