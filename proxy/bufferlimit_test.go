package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestBodiesAreBounded reads bodies while other memory is already in use.
func TestBodiesAreBounded(t *testing.T) {
	const most = 1 << 20
	tests := map[string]struct {
		bound int64
		held  map[string]int64
		size  int
		want  error
	}{
		"room for it":                        {bound: most, size: 100 << 10},
		"no bound":                           {size: 4 << 20},
		"nothing":                            {bound: most},
		"others hold all":                    {bound: most, held: map[string]int64{"b": most / 2, "c": most/2 - 1}, size: 600, want: errMemoryLimit},
		"its account holds its part":         {bound: most, held: map[string]int64{"a": most/4 - 1}, size: 600, want: errMemoryLimit},
		"another account holds more":         {bound: most, held: map[string]int64{"b": most / 2}, size: 600},
		"too long for its account by itself": {bound: most, size: most / 2, want: errMemoryLimit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := NewBufferLimit(test.bound)
			for account, bytes := range test.held {
				h.byAccount[account] = bytes
				h.total += bytes
			}
			before := h.BytesInUse()
			memory := requestMemory{bufferLimit: h, account: "a"}
			body := bytes.Repeat([]byte("x"), test.size)
			got, err := memory.read(bytes.NewReader(body), 8<<20, failWhenFull)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			if test.want == nil {
				assert.Equal(t, string(got), string(body))
				assert.Equal(t, h.BytesInUse()-before, int64(test.size))
			}
			memory.release()
			assert.Equal(t, h.BytesInUse(), before)
		})
	}
}

// TestUnsentBodyTakesLittleMemory: memory must be reserved for the bytes that arrive, not for the
// longest body allowed.
func TestUnsentBodyTakesLittleMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewBufferLimit(1 << 20)
		memory := requestMemory{bufferLimit: h, account: "a"}
		reader, writer := io.Pipe()
		done := make(chan error, 1)
		go func() {
			_, err := memory.read(reader, 1<<20, failWhenFull)
			done <- err
		}()
		_, err := writer.Write([]byte("little"))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Assert(t, h.BytesInUse() <= initialBufferBytes, "%d bytes held", h.BytesInUse())
		assert.NilError(t, writer.CloseWithError(io.ErrClosedPipe))
		assert.Assert(t, errors.Is(<-done, io.ErrClosedPipe))
		memory.release()
		assert.Equal(t, h.BytesInUse(), int64(0))
	})
}

// TestAnswersWaitForRoom: an answer waits until other requests release memory.
func TestAnswersWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewBufferLimit(1 << 20)
		first := requestMemory{bufferLimit: h, account: "b"}
		assert.Assert(t, first.grow(1<<20))
		time.AfterFunc(time.Second, first.release)
		second := requestMemory{bufferLimit: h, account: "a"}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		startedAt := time.Now()
		got, err := second.read(strings.NewReader("answer"), 1<<20, waitForMemory(ctx))
		assert.NilError(t, err)
		assert.Equal(t, string(got), "answer")
		assert.Assert(t, time.Since(startedAt) >= time.Second)
		third := requestMemory{bufferLimit: h, account: "b"}
		assert.Assert(t, third.grow(1<<20-100))
		_, err = second.read(strings.NewReader("answer"), 1<<20, waitForMemory(ctx))
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	})
}

// TestAnswersOfOneAccountAllComplete guards against answers of one account that wait for each
// other's memory until their deadlines.
func TestAnswersOfOneAccountAllComplete(t *testing.T) {
	const limit, deadline = 1 << 20, time.Minute
	tests := map[string]struct{ count, bodyBytes, answerBytes int }{
		"large answers":          {count: 5, answerBytes: 150 << 10},
		"bodies fill the share":  {count: 8, bodyBytes: limit / 32, answerBytes: 10 << 10},
		"bodies and answers":     {count: 4, bodyBytes: 40 << 10, answerBytes: 90 << 10},
		"each nearly the share":  {count: 3, answerBytes: 250 << 10},
		"many, and each is tiny": {count: 200, bodyBytes: 1 << 10, answerBytes: 5 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewBufferLimit(limit)
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				all := make([]requestMemory, test.count)
				for i := range all {
					all[i] = requestMemory{bufferLimit: h, account: "a"}
					assert.Assert(t, all[i].grow(int64(test.bodyBytes)))
				}
				assert.NilError(t, readAnswers(ctx, all, test.answerBytes))
				assert.Equal(t, h.BytesInUse(), int64(0))
				assert.Equal(t, len(h.priority), 0)
			})
		})
	}
}

// readAnswers reads an answer for each request at the same time. It returns the errors.
func readAnswers(ctx context.Context, all []requestMemory, answerBytes int) error {
	errs := make(chan error, len(all))
	for i := range all {
		go func() {
			answer := slowReader{strings.NewReader(strings.Repeat("x", answerBytes))}
			got, err := all[i].read(answer, 1<<20, waitForMemory(ctx))
			if err == nil && len(got) != answerBytes {
				err = io.ErrUnexpectedEOF
			}
			all[i].release()
			errs <- err
		}()
	}
	var failed error
	for range all {
		failed = errors.Join(failed, <-errs)
	}
	return failed
}

// slowReader returns little data at a time.
type slowReader struct{ io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.Reader.Read(p[:min(len(p), 1<<10)])
}

// TestPriorityLeavesMemoryForOthers guards against an account whose large answer takes the memory
// of all others.
func TestPriorityLeavesMemoryForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1 << 20
		h := NewBufferLimit(limit)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		large := requestMemory{bufferLimit: h, account: "a"}
		_, err := large.read(strings.NewReader(strings.Repeat("x", limit)), limit, waitForMemory(ctx))
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.Assert(t, h.BytesInUse() <= limit/2, "%d bytes held", h.BytesInUse())
		other := requestMemory{bufferLimit: h, account: "b"}
		assert.Assert(t, other.grow(limit/4))
		large.release()
		other.release()
		assert.Equal(t, len(h.priority), 0)
	})
}

// TestLongAnswersLeaveMemoryForShortRequests guards against answers without an end that make a daemon
// refuse the other requests of their accounts.
func TestLongAnswersLeaveMemoryForShortRequests(t *testing.T) {
	const limit = 8 << 20
	tests := map[string]struct{ accounts, answers int }{
		"one answer":                   {accounts: 1, answers: 1},
		"several of one account":       {accounts: 1, answers: 6},
		"several of two accounts":      {accounts: 2, answers: 6},
		"several of more than fit":     {accounts: 6, answers: 3},
		"more than have their shares":  {accounts: 9, answers: 1},
		"as many as a worker can take": {accounts: 1, answers: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewBufferLimit(limit)
				stop := readWithoutEnd(t.Context(), h, test.accounts, test.answers)
				time.Sleep(time.Minute)
				for n := range test.accounts {
					assert.NilError(t, reserveShort(h, accountNumber(n), 20))
				}
				assert.Assert(t, h.BytesInUse() <= limit)
				stop()
			})
		})
	}
}

func accountNumber(n int) string { return fmt.Sprint("account ", n) }

// readWithoutEnd reads answers without an end for each account until stop is called.
func readWithoutEnd(ctx context.Context, h *BufferLimit, accounts, answers int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	for n := range accounts * answers {
		memory := &requestMemory{bufferLimit: h, account: accountNumber(n % accounts)}
		readers.Go(func() {
			defer memory.release()
			_, _ = memory.read(endlessReader{}, maxAnswerBytes, waitForMemory(ctx))
		})
	}
	return func() {
		cancel()
		readers.Wait()
	}
}

// reserveShort reserves memory for short requests of an account and for the beginnings of their answers.
func reserveShort(h *BufferLimit, account string, requests int) error {
	for range requests {
		m := requestMemory{bufferLimit: h, account: account}
		defer m.release()
		if _, err := m.read(strings.NewReader("receipt"), 1<<20, failWhenFull); err != nil {
			return err
		}
		if !m.grow(initialBufferBytes) {
			return errMemoryLimit
		}
	}
	return nil
}

// endlessReader returns bytes without an end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
