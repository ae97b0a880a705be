package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

// LineWriterOptions configures a LineWriter.
type LineWriterOptions struct {
	// PerSecond is how many lines may be written per second on average.
	// MaxQueued is the largest number of lines in the queue, and the largest burst.
	PerSecond float64
	MaxQueued int
}

// LineWriter writes log lines to a possibly slow writer without blocking the code that logs.
// Lines wait in a bounded queue. A line that exceeds the rate or finds the queue full is
// dropped, and counted by its message. LineWriter is safe for concurrent use.
type LineWriter struct {
	out   io.Writer
	opts  LineWriterOptions
	queue chan []byte
	done  chan struct{}

	mu sync.Mutex
	// tokens is how many lines the rate allows at filledAt; each admitted line takes one.
	tokens   float64
	filledAt time.Time
	// dropped holds the numbers of lines dropped so far, by message.
	dropped map[string]int64
	// unreported holds the numbers of lines dropped since the last report, by message.
	unreported map[string]int64
}

// reportInterval is the time between two reports of dropped lines.
const reportInterval = time.Second

// NewLineWriter returns a LineWriter for the writer out. Run must be called to write them.
func NewLineWriter(out io.Writer, opts LineWriterOptions) *LineWriter {
	return &LineWriter{
		out: out, opts: opts, queue: make(chan []byte, opts.MaxQueued), done: make(chan struct{}),
		tokens: float64(opts.MaxQueued), filledAt: time.Now(),
		dropped: make(map[string]int64), unreported: make(map[string]int64),
	}
}

// Write implements io.Writer for one line. It never blocks and never returns an error, even
// if it drops the line.
func (w *LineWriter) Write(line []byte) (int, error) {
	if w.admit(time.Now()) {
		select {
		case w.queue <- bytes.Clone(line):
			return len(line), nil
		default:
			// The queue is full because the writer is too slow.
		}
	}
	w.countDropped(messageOf(line))
	return len(line), nil
}

// admit reports whether the rate allows another line, and counts the line if so.
func (w *LineWriter) admit(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(float64(w.opts.MaxQueued), w.tokens+now.Sub(w.filledAt).Seconds()*w.opts.PerSecond)
	w.filledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *LineWriter) countDropped(message string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped[message]++
	w.unreported[message]++
}

// Dropped returns how many lines were dropped so far, by message.
func (w *LineWriter) Dropped() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int64, len(w.dropped))
	for message, n := range w.dropped {
		counts[message] = n
	}
	return counts
}

// Done is closed when Run has returned.
func (w *LineWriter) Done() <-chan struct{} { return w.done }

// Run writes lines until ctx is done. It then writes the lines still in the queue and
// returns.
func (w *LineWriter) Run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.queue:
			w.writeOut(line)
		case <-ticker.C:
			w.reportDropped()
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

func (w *LineWriter) flush() {
	for {
		select {
		case line := <-w.queue:
			w.writeOut(line)
		default:
			w.reportDropped()
			return
		}
	}
}

func (w *LineWriter) writeOut(line []byte) {
	// A failure of the log's own writer can't be logged anywhere.
	_, _ = w.out.Write(line)
}

// droppedLine is the log line that reports how many lines were dropped, by message.
type droppedLine struct {
	Level   string           `json:"@level"`
	Message string           `json:"@message"`
	Time    time.Time        `json:"@timestamp"`
	Lines   map[string]int64 `json:"lines"`
}

// reportDropped writes a line that reports the lines dropped since the last report, if any.
func (w *LineWriter) reportDropped() {
	w.mu.Lock()
	unreported := w.unreported
	if len(unreported) > 0 {
		w.unreported = make(map[string]int64)
	}
	w.mu.Unlock()
	if len(unreported) == 0 {
		return
	}
	data, err := json.Marshal(droppedLine{Level: "warn", Message: "log lines dropped", Time: time.Now().UTC(), Lines: unreported})
	if err != nil {
		// The line holds only values that can always be encoded.
		panic(err)
	}
	w.writeOut(append(data, '\n'))
}

// messageOf returns the message of a log line in JSON, or "other" if it has none.
func messageOf(line []byte) string {
	const messageField = `"@message":"`
	_, rest, ok := bytes.Cut(line, []byte(messageField))
	if !ok {
		return "other"
	}
	message, _, _ := bytes.Cut(rest, []byte{'"'})
	return string(message)
}
