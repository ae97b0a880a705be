package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

// LinesOptions configures Lines.
type LinesOptions struct {
	// PerSecond is how many lines may be written in a second on average, Most how
	// many may wait to be written; so many may also come at once.
	PerSecond float64
	Most      int
}

// Lines passes log lines on to a slow writer without ever holding up who logs:
// lines wait in a bounded ring, and those that find it full, or that come too
// fast for long, are dropped and counted by their message. It is safe for
// concurrent use.
type Lines struct {
	out   io.Writer
	opts  LinesOptions
	queue chan []byte
	done  chan struct{}

	mu       sync.Mutex
	tokens   float64
	filledAt time.Time
	dropped  map[string]int64
	// unreported holds what was dropped since that was last told.
	unreported map[string]int64
}

// reportInterval is how often it is told what was dropped, if anything was.
const reportInterval = time.Second

// NewLines returns lines that go to out; Run writes them.
func NewLines(out io.Writer, opts LinesOptions) *Lines {
	return &Lines{
		out: out, opts: opts, queue: make(chan []byte, opts.Most), done: make(chan struct{}),
		tokens: float64(opts.Most), filledAt: time.Now(),
		dropped: make(map[string]int64), unreported: make(map[string]int64),
	}
}

// Write implements io.Writer for one line. It always succeeds at once.
func (l *Lines) Write(line []byte) (int, error) {
	if l.admit(time.Now()) {
		select {
		case l.queue <- bytes.Clone(line):
			return len(line), nil
		default:
			// Whoever reads the lines does not keep up.
		}
	}
	l.countDropped(messageOf(line))
	return len(line), nil
}

// admit reports whether the rate allows another line.
func (l *Lines) admit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(float64(l.opts.Most), l.tokens+now.Sub(l.filledAt).Seconds()*l.opts.PerSecond)
	l.filledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (l *Lines) countDropped(message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[message]++
	l.unreported[message]++
}

// Dropped returns how many lines were dropped, by message.
func (l *Lines) Dropped() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int64, len(l.dropped))
	for message, n := range l.dropped {
		counts[message] = n
	}
	return counts
}

// Done is closed when Run has returned.
func (l *Lines) Done() <-chan struct{} { return l.done }

// Run writes lines until ctx ends, then those that still wait.
func (l *Lines) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.queue:
			l.writeOut(line)
		case <-ticker.C:
			l.reportDropped()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Lines) flush() {
	for {
		select {
		case line := <-l.queue:
			l.writeOut(line)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *Lines) writeOut(line []byte) {
	// There is nowhere to tell that the log itself is broken.
	_, _ = l.out.Write(line)
}

// droppedLine tells which lines were dropped, in the form of the others.
type droppedLine struct {
	Level   string           `json:"@level"`
	Message string           `json:"@message"`
	Time    time.Time        `json:"@timestamp"`
	Lines   map[string]int64 `json:"lines"`
}

// reportDropped writes what was dropped since the last time.
func (l *Lines) reportDropped() {
	l.mu.Lock()
	unreported := l.unreported
	if len(unreported) > 0 {
		l.unreported = make(map[string]int64)
	}
	l.mu.Unlock()
	if len(unreported) == 0 {
		return
	}
	data, err := json.Marshal(droppedLine{Level: "warn", Message: "log lines dropped", Time: time.Now().UTC(), Lines: unreported})
	if err != nil {
		// The line holds strings and numbers alone, which always encode.
		panic(err)
	}
	l.writeOut(append(data, '\n'))
}

// messageOf returns the message of a line, by which dropped ones are counted.
func messageOf(line []byte) string {
	const mark = `"@message":"`
	_, rest, ok := bytes.Cut(line, []byte(mark))
	if !ok {
		return "other"
	}
	message, _, _ := bytes.Cut(rest, []byte{'"'})
	return string(message)
}
