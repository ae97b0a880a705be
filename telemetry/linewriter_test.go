package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowWriter blocks each write until release is closed. It doesn't block if release is nil.
type slowWriter struct {
	mu      sync.Mutex
	text    bytes.Buffer
	release chan struct{}
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if w.release != nil {
		<-w.release
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *slowWriter) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSuffix(w.text.String(), "\n"), "\n")
}

func line(message string, n int) string {
	return fmt.Sprintf(`{"@level":"info","@message":"%s","n":%d}`+"\n", message, n)
}

func TestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowWriter{}
		l := NewLineWriter(out, LineWriterOptions{PerSecond: 10, MaxQueued: 20})
		ctx, cancel := context.WithCancel(context.Background())
		go l.Run(ctx)
		for i := range 100 {
			_, err := fmt.Fprint(l, line("refused", i))
			assert.NilError(t, err)
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, l.Dropped()["refused"], int64(80))
		time.Sleep(2 * time.Second)
		_, err := fmt.Fprint(l, line("leading", 1))
		assert.NilError(t, err)
		cancel()
		<-l.Done()
		got := out.lines()
		assert.Equal(t, len(got), 22, "want 20 lines, one that reports the dropped lines, and one later line")
		assert.Assert(t, strings.Contains(got[20], `"lines":{"refused":80}`), got[20])
		assert.Assert(t, strings.Contains(got[21], "leading"), "the later line was dropped")
	})
}

func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowWriter{release: make(chan struct{})}
		l := NewLineWriter(out, LineWriterOptions{PerSecond: 1e6, MaxQueued: 5})
		ctx, cancel := context.WithCancel(context.Background())
		go l.Run(ctx)
		before := time.Now()
		for i := range 50 {
			_, err := fmt.Fprint(l, line("refused", i))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(before), time.Duration(0), "Write blocked")
		assert.Assert(t, l.Dropped()["refused"] >= 44)
		close(out.release)
		cancel()
		<-l.Done()
	})
}

func TestMessageOf(t *testing.T) {
	for text, want := range map[string]string{
		line("stream resumes", 1): "stream resumes", "panic: something": "other", `{"@message":"torn`: "torn",
	} {
		assert.Equal(t, messageOf([]byte(text)), want)
	}
}
