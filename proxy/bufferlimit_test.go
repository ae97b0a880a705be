package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
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
