package bufferlimit

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
		"others hold all":                    {bound: most, held: map[string]int64{"b": most / 2, "c": most/2 - 1}, size: 600, want: ErrFull},
		"its account holds its part":         {bound: most, held: map[string]int64{"a": most/4 - 1}, size: 600, want: ErrFull},
		"another account holds more":         {bound: most, held: map[string]int64{"b": most / 2}, size: 600},
		"too long for its account by itself": {bound: most, size: most / 2, want: ErrFull},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New(test.bound)
			for account, bytes := range test.held {
				h.byAccount[account] = bytes
				h.total += bytes
			}
			before := h.BytesInUse()
			memory := NewMemory(h, "a")
			body := bytes.Repeat([]byte("x"), test.size)
			got, err := memory.Read(bytes.NewReader(body), 8<<20, FailWhenFull)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			if test.want == nil {
				assert.Equal(t, string(got), string(body))
				assert.Equal(t, h.BytesInUse()-before, int64(test.size))
			}
			memory.Release()
			assert.Equal(t, h.BytesInUse(), before)
		})
	}
}

// TestUnsentBodyTakesLittleMemory: memory must be reserved for the bytes that arrive, not for the
// longest body allowed.
func TestUnsentBodyTakesLittleMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(1 << 20)
		memory := NewMemory(h, "a")
		reader, writer := io.Pipe()
		done := make(chan error, 1)
		go func() {
			_, err := memory.Read(reader, 1<<20, FailWhenFull)
			done <- err
		}()
		_, err := writer.Write([]byte("little"))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Assert(t, h.BytesInUse() <= initialBufferBytes, "%d bytes held", h.BytesInUse())
		assert.NilError(t, writer.CloseWithError(io.ErrClosedPipe))
		assert.Assert(t, errors.Is(<-done, io.ErrClosedPipe))
		memory.Release()
		assert.Equal(t, h.BytesInUse(), int64(0))
	})
}

// TestAnswersWaitForRoom: an answer waits until other requests release memory.
func TestAnswersWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(1 << 20)
		first := NewMemory(h, "b")
		assert.Assert(t, first.Grow(1<<20))
		time.AfterFunc(time.Second, first.Release)
		second := NewMemory(h, "a")
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		startedAt := time.Now()
		got, err := second.Read(strings.NewReader("answer"), 1<<20, WaitForMemory(ctx))
		assert.NilError(t, err)
		assert.Equal(t, string(got), "answer")
		assert.Assert(t, time.Since(startedAt) >= time.Second)
		third := NewMemory(h, "b")
		assert.Assert(t, third.Grow(1<<20-100))
		_, err = second.Read(strings.NewReader("answer"), 1<<20, WaitForMemory(ctx))
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
				h := New(limit)
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				all := make([]*Memory, test.count)
				for i := range all {
					all[i] = NewMemory(h, "a")
					assert.Assert(t, all[i].Grow(int64(test.bodyBytes)))
				}
				assert.NilError(t, readAnswers(ctx, all, test.answerBytes))
				assert.Equal(t, h.BytesInUse(), int64(0))
				assert.Equal(t, len(h.priority), 0)
			})
		})
	}
}

// readAnswers reads an answer for each request at the same time. It returns the errors.
func readAnswers(ctx context.Context, all []*Memory, answerBytes int) error {
	errs := make(chan error, len(all))
	for i := range all {
		go func() {
			answer := slowReader{strings.NewReader(strings.Repeat("x", answerBytes))}
			got, err := all[i].Read(answer, 1<<20, WaitForMemory(ctx))
			if err == nil && len(got) != answerBytes {
				err = io.ErrUnexpectedEOF
			}
			all[i].Release()
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
		h := New(limit)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		large := NewMemory(h, "a")
		_, err := large.Read(strings.NewReader(strings.Repeat("x", limit)), limit, WaitForMemory(ctx))
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.Assert(t, h.BytesInUse() <= limit/2, "%d bytes held", h.BytesInUse())
		other := NewMemory(h, "b")
		assert.Assert(t, other.Grow(limit/4))
		large.Release()
		other.Release()
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
				h := New(limit)
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
func readWithoutEnd(ctx context.Context, h *Limit, accounts, answers int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	for n := range accounts * answers {
		memory := NewMemory(h, accountNumber(n%accounts))
		readers.Go(func() {
			defer memory.Release()
			_, _ = memory.Read(endlessReader{}, MaxAnswerBytes, WaitForMemory(ctx))
		})
	}
	return func() {
		cancel()
		readers.Wait()
	}
}

// reserveShort reserves memory for short requests of an account and for the beginnings of their answers.
func reserveShort(h *Limit, account string, requests int) error {
	for range requests {
		m := NewMemory(h, account)
		defer m.Release()
		if _, err := m.Read(strings.NewReader("receipt"), 1<<20, FailWhenFull); err != nil {
			return err
		}
		if !m.Grow(initialBufferBytes) {
			return ErrFull
		}
	}
	return nil
}

// endlessReader returns bytes without an end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestAnswersFillTheirShare: an answer may take what its client account has left.
func TestAnswersFillTheirShare(t *testing.T) {
	const share = 2 << 20
	memory := NewMemory(New(share/maxAccountShare), "a")
	assert.Assert(t, memory.Grow(100))
	limit := memory.AnswerLimit()
	got, err := memory.Read(strings.NewReader(strings.Repeat("x", int(limit))), limit, FailWhenFull)
	assert.NilError(t, err)
	assert.Equal(t, int64(len(got)), limit)
	assert.Assert(t, limit >= share-200, "%d", limit)
	assert.Equal(t, NewMemory(New(0), "").AnswerLimit(), int64(MaxAnswerBytes))
}
