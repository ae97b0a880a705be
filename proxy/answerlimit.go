package proxy

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"quartzshelf.dev/common/answercheck"
	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/headlimit"
	"quartzshelf.dev/fleet"
)

const (
	// maxHeadBytes and maxHeadLines limit the head of an answer, and that of each answer that
	// precedes it. Each line takes memory beyond its bytes.
	maxHeadBytes = 16 << 10
	maxHeadLines = 128
)

// limitError is the error of an answer of which a part exceeds its limit.
type limitError struct {
	part string
	// bytesRead is how much of the part was read.
	bytesRead int64
}

func (e *limitError) Error() string {
	return fmt.Sprintf("the answer's %s exceeds its limit after %d bytes", e.part, e.bytesRead)
}

// headLimiter limits the bytes and lines that are read for the head of an answer. http.ReadResponse
// reads heads of any length. Outside of heads it limits nothing.
type headLimiter struct {
	source io.Reader
	// isActive reports whether a head is being read.
	isActive bool
	bytes    int
	lines    headlimit.LineCounter
	framing  answercheck.Framing
}

// begin starts a head. What the reader above has buffered already is checked, but not counted.
func (l *headLimiter) begin(buffered []byte) {
	*l = headLimiter{source: l.source, isActive: true, framing: l.framing}
	l.lines.Begin()
	l.framing.Begin()
	l.framing.Check(buffered)
}

// end ends a head, so that the body is read without limit.
func (l *headLimiter) end() { l.isActive = false }

// Read reads from the source. Within a head that exceeds a limit, it returns a limitError.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.isActive {
		return l.source.Read(b)
	}
	if l.bytes >= maxHeadBytes {
		return 0, &limitError{part: "head", bytesRead: int64(l.bytes)}
	}
	n, err := l.source.Read(b[:min(len(b), maxHeadBytes-l.bytes)])
	l.bytes += n
	l.lines.Count(b[:n])
	l.framing.Check(b[:n])
	if l.lines.Lines() > maxHeadLines {
		return 0, &limitError{part: "head", bytesRead: int64(l.bytes)}
	}
	return n, err
}

// limitHeads makes the connection's reader limit the heads of answers.
func (c *connection) limitHeads() {
	c.head.source = c
	c.reader = bufio.NewReaderSize(&c.head, readBufferBytes)
}

// readHead reads the head of an answer to a request with the given method.
func (c *connection) readHead(method string) (*http.Response, error) {
	// Peeking at what is buffered does not fail.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.begin(buffered)
	defer c.head.end()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := cmp.Or(c.head.framing.Err(), answercheck.CheckHead(response)); err != nil {
		return nil, err
	}
	answercheck.CheckTrailer(response)
	return response, nil
}

// readAnswer reads the body of an answer if the account can hold it. One whose announced length is too
// long is not read at all.
func readAnswer(ctx context.Context, m *bufferlimit.Memory, r *http.Response) ([]byte, error) {
	limit := m.AnswerLimit()
	// An answer without a body may announce the length of one.
	if r.ContentLength > limit && r.Body != http.NoBody {
		return nil, &limitError{part: "body"}
	}
	body, err := m.Read(r.Body, limit, bufferlimit.WaitForMemory(ctx))
	if read := int64(len(body)); err == nil && read > limit {
		return nil, &limitError{part: "body", bytesRead: read}
	}
	return body, err
}

// growForEvent reserves as many bytes again as the buffer of an event that does not fit has. It waits
// until they are available or ctx ends.
func growForEvent(ctx context.Context, m *bufferlimit.Memory, bufferBytes int) error {
	if bufferBytes >= maxEventBytes {
		return &limitError{part: "event", bytesRead: int64(bufferBytes)}
	}
	wait := bufferlimit.WaitForMemory(ctx)
	for !m.Grow(int64(bufferBytes)) {
		if err := wait(); err != nil {
			return err
		}
	}
	return nil
}

// recordInvalidAnswer makes all daemons avoid a replica for a while if its head's answer exceeded a limit or
// was malformed.
func (p *Proxy) recordInvalidAnswer(c *request, replica *fleet.Replica, err error) {
	fields := []any{"request", c.id, "replica", replica.ID, "worker", replica.Head.ID}
	var exceeded *limitError
	switch {
	case errors.As(err, &exceeded):
		p.opts.Logger.Warn("answer exceeds a limit", append(fields, "part", exceeded.part, "bytes_read", exceeded.bytesRead)...)
	case answercheck.Is(err):
		p.opts.Logger.Warn("malformed answer", append(fields, "error", err)...)
	default:
		return
	}
	p.opts.Tracker.Suspect(replica, time.Now())
}

// Suspect marks a replica as suspected because its head sends answers that no sound worker sends.
// Streams in flight may still complete.
func (t *Tracker) Suspect(r *fleet.Replica, now time.Time) {
	t.mu.Lock()
	s := t.loadOf(r)
	isNew := now.After(s.unreachableUntil)
	s.unreachableUntil = now.Add(suspicionPeriod)
	t.mu.Unlock()
	if isNew {
		t.onSuspected(r)
	}
}
