package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/bufferlimit"
)

// sourceBytes is what an endlessConn provides, many times what any answer's head may take.
const sourceBytes = 4 << 20

// endlessConn is a connection whose peer sends a beginning, and then a text again and again.
type endlessConn struct {
	net.Conn
	beginning []byte
	repeated  []byte
	// read is the number of bytes read.
	read int
}

func (c *endlessConn) Write(b []byte) (int, error) { return len(b), nil }

func (c *endlessConn) Close() error { return nil }

func (c *endlessConn) Read(b []byte) (int, error) {
	if c.read >= sourceBytes {
		return 0, io.EOF
	}
	for i := range b {
		if at := c.read + i; at < len(c.beginning) {
			b[i] = c.beginning[at]
		} else {
			b[i] = c.repeated[(at-len(c.beginning))%len(c.repeated)]
		}
	}
	c.read += len(b)
	return len(b), nil
}

// newTestConnection returns a connection as upstream.open does.
func newTestConnection(raw net.Conn) *connection {
	c := &connection{Conn: raw, worker: "w", service: "plain"}
	c.limitHeads()
	return c
}

func testMessage() *message {
	return &message{method: http.MethodGet, encode: func() []byte { return []byte("GET / HTTP/1.1\r\n\r\n") }, attempt: "a", attemptName: testNames.AttemptID}
}

// maxHeadRead is what may be read from a connection for one head: the head itself, and what fills the
// buffer beyond it.
const maxHeadRead = 16<<10 + readBufferBytes

// TestEndlessHeadIsNotReadOn guards against a worker's bytes that fill the daemon's memory.
func TestEndlessHeadIsNotReadOn(t *testing.T) {
	tests := map[string]struct{ beginning, repeated string }{
		"no line end":             {repeated: "x"},
		"nothing but line ends":   {repeated: "\r\n"},
		"an endless status":       {beginning: "HTTP/1.1 200 ", repeated: "O"},
		"an endless header":       {beginning: "HTTP/1.1 200 OK\r\nA: ", repeated: "b"},
		"headers without an end":  {beginning: "HTTP/1.1 200 OK\r\n", repeated: "Header: value\r\n"},
		"tiny headers":            {beginning: "HTTP/1.1 200 OK\r\n", repeated: "a:\n"},
		"a header that continues": {beginning: "HTTP/1.1 200 OK\r\nA: b\r\n", repeated: " c\r\n"},
		"interim answers":         {repeated: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"answers to others":       {repeated: "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length: 2\r\n\r\nno"},
		"a head after an answer":  {beginning: "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length: 0\r\n\r\n", repeated: "x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			raw := &endlessConn{beginning: []byte(test.beginning), repeated: []byte(test.repeated)}
			_, err := newTestConnection(raw).roundTrip(testMessage())
			assert.Assert(t, err != nil)
			assert.Assert(t, mayHaveArrived(err))
			assert.Assert(t, raw.read <= maxHeadRead, "%d bytes were read, of %d at most: %v", raw.read, maxHeadRead, err)
		})
	}
}

// TestAnyBytesAreReadWithinLimit: whatever a worker sends again and again, little of it is read for the
// head of its answer.
func TestAnyBytesAreReadWithinLimit(t *testing.T) {
	parts := []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n", "HTTP/1.1 204 No Content\r\n", "X-Attempt: a\r\n", "X-Attempt: b\r\n",
		"Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n", "\r\n", "\n", "\r", " ", "\t folded\r\n", "a:\n", "X: y\r\n", ":\r\n", "0\r\n", "5\r\nhello\r\n", "\x00",
	}
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.OneOf(rapid.SampledFrom(parts), rapid.StringN(0, 9, 40))
		draw := func(name string) []byte {
			return []byte(strings.Join(rapid.SliceOfN(part, 1, 12).Draw(t, name), ""))
		}
		raw := &endlessConn{beginning: draw("beginning"), repeated: append(draw("repeated"), '.')}
		_, _ = newTestConnection(raw).roundTrip(testMessage())
		const mostHeads, mostForeignBytes = 12, 1 << 20
		const most = mostHeads*maxHeadRead + mostForeignBytes
		assert.Assert(t, raw.read <= most, "%d bytes were read, of %d at most", raw.read, most)
	})
}

// TestEndlessFramingIsNotReadOn: what frames a body is limited too, beyond the bytes of the body.
func TestEndlessFramingIsNotReadOn(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct{ beginning, repeated string }{
		"a trailer without a line end": {beginning: chunked + "0\r\n", repeated: "x"},
		"a trailer of headers":         {beginning: chunked + "0\r\n", repeated: "Header: value\r\n"},
		"a chunk's size":               {beginning: chunked, repeated: "1"},
		"a chunk's extension":          {beginning: chunked + "1;", repeated: "x"},
		"chunks of one byte":           {beginning: chunked, repeated: "1\r\nx\r\n"},
		"chunks with extensions":       {beginning: chunked, repeated: "1;extension=value\r\nx\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			raw := &endlessConn{beginning: []byte(test.beginning), repeated: []byte(test.repeated)}
			response, err := newTestConnection(raw).roundTrip(testMessage())
			assert.NilError(t, err)
			memory := bufferlimit.NewMemory(bufferlimit.New(256<<10), "a")
			limit := memory.AnswerLimit()
			body, err := memory.Read(response.Body, limit, bufferlimit.FailWhenFull)
			assert.Assert(t, err != nil || int64(len(body)) > limit)
			const most = 512 << 10
			assert.Assert(t, raw.read <= most, "%d bytes were read, of %d at most: %v", raw.read, most, err)
		})
	}
}

// TestHeadsTakeBoundedMemory: the largest heads that are read take no more memory each than
// docs/CAPACITY.md states, with their connections.
func TestHeadsTakeBoundedMemory(t *testing.T) {
	const (
		connections = 500
		most        = 36 << 10
		status      = "HTTP/1.1 200 OK\r\n"
	)
	var lines strings.Builder
	for i := range maxHeadLines - 2 {
		lines.WriteString(fmt.Sprintf("X%d: %s\r\n", i, strings.Repeat("y", 110)))
	}
	tests := map[string]string{
		"one long header":  "Long: " + strings.Repeat("y", maxHeadBytes-len(status)-10) + "\r\n",
		"many headers":     lines.String(),
		"nothing but that": "",
	}
	for name, headers := range tests {
		t.Run(name, func(t *testing.T) {
			sent := []byte(status + headers + "\r\n")
			assert.Assert(t, len(sent) <= maxHeadBytes)
			kept := make([]*connection, connections)
			answers := make([]*http.Response, connections)
			before := heapBytes()
			for i := range kept {
				kept[i] = newTestConnection(&endlessConn{beginning: sent, repeated: []byte("x")})
				var err error
				answers[i], err = kept[i].roundTrip(testMessage())
				assert.NilError(t, err)
			}
			each := (heapBytes() - before) / connections
			t.Logf("%d bytes each", each)
			assert.Assert(t, each <= most, "%d bytes each, of %d at most", each, most)
			runtime.KeepAlive(kept)
			runtime.KeepAlive(answers)
		})
	}
}

// heapBytes returns the size of what is in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestOrdinaryHeadsAreRead: heads of usual size are read, whatever follows them.
func TestOrdinaryHeadsAreRead(t *testing.T) {
	const ownHead = "HTTP/1.1 200 OK\r\nX-Attempt: a\r\n"
	tests := map[string]struct{ head, body string }{
		"a short one":           {head: ownHead},
		"100 headers":           {head: ownHead + strings.Repeat("Some-Header: value\r\n", 100)},
		"a long header":         {head: ownHead + "Set-Cookie: " + strings.Repeat("c", 12<<10) + "\r\n"},
		"a body of line ends":   {head: ownHead, body: strings.Repeat("\n", 1<<20)},
		"a body after two more": {head: "HTTP/1.1 103 Early Hints\r\n\r\n" + ownHead, body: strings.Repeat("\n", 1<<20)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			head := test.head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(test.body))
			raw := &endlessConn{beginning: []byte(head + test.body), repeated: []byte("x")}
			response, err := newTestConnection(raw).roundTrip(testMessage())
			assert.NilError(t, err)
			n, err := io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(len(test.body)))
		})
	}
}

// TestLateAnswerBesideInterimAnswers guards against attempts that end because a late answer to another
// request and interim answers precede their own answer.
func TestLateAnswerBesideInterimAnswers(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
		late    = "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length: 2\r\n\r\nno"
		own     = "HTTP/1.1 200 OK\r\nX-Attempt: a\r\nContent-Length: 3\r\n\r\nyes"
	)
	tests := map[string]struct {
		sent    string
		isFound bool
	}{
		"its own answer alone":          {sent: own, isFound: true},
		"a late answer":                 {sent: late + own, isFound: true},
		"an interim answer":             {sent: interim + own, isFound: true},
		"a late answer and an interim":  {sent: late + interim + own, isFound: true},
		"an interim and a late answer":  {sent: interim + late + own, isFound: true},
		"five interim answers":          {sent: strings.Repeat(interim, 5) + own, isFound: true},
		"five before each":              {sent: strings.Repeat(interim, 5) + late + strings.Repeat(interim, 5) + own, isFound: true},
		"six interim answers":           {sent: strings.Repeat(interim, 6) + own},
		"two late answers":              {sent: late + late + own},
		"nothing but interim answers":   {sent: strings.Repeat(interim, 100)},
		"nothing but answers to others": {sent: strings.Repeat(late, 100)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			raw := &endlessConn{beginning: []byte(test.sent), repeated: []byte("x")}
			response, err := newTestConnection(raw).roundTrip(testMessage())
			assert.Equal(t, err == nil, test.isFound, "%v", err)
			if !test.isFound {
				assert.Assert(t, mayHaveArrived(err))
				return
			}
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "yes")
		})
	}
}

// TestBodyOfLateAnswerIsNoAnswer guards against taking a part of another request's answer as the answer.
func TestBodyOfLateAnswerIsNoAnswer(t *testing.T) {
	const (
		own  = "HTTP/1.1 200 OK\r\nX-Attempt: a\r\nX-Signature: w\r\nContent-Length: 3\r\n\r\nyes"
		late = "HTTP/1.1 200 OK\r\nX-Attempt: b\r\nContent-Length: %d\r\n\r\n%s"
	)
	tests := map[string]struct {
		skipped int
		isFound bool
	}{
		"as long as it may be":  {skipped: maxForeignBodyBytes - len(own), isFound: true},
		"longer than it may be": {skipped: maxForeignBodyBytes},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("x", test.skipped) + own
			raw := &endlessConn{beginning: []byte(fmt.Sprintf(late, len(body), body) + own), repeated: []byte("x")}
			response, err := newTestConnection(raw).roundTrip(testMessage())
			assert.Equal(t, err == nil, test.isFound, "%v", err)
			if test.isFound {
				assert.Equal(t, response.ContentLength, int64(3))
				return
			}
			var exceeded *limitError
			assert.Assert(t, errors.As(err, &exceeded), "%v", err)
			assert.Assert(t, mayHaveArrived(err))
		})
	}
}

// TestLongHeadEndsItsAttemptOnly: another worker answers a request that may be repeated, and the worker
// that sent the long head is suspected and named in one line of the log.
func TestLongHeadEndsItsAttemptOnly(t *testing.T) {
	tests := map[string]struct {
		path   string
		status int
		runs   int
	}{
		"may be repeated":     {path: "/safe/", status: http.StatusOK, runs: 1},
		"a stream":            {path: "/stream/", status: http.StatusOK, runs: 1},
		"must run once":       {path: "/once/", status: http.StatusBadGateway, runs: 0},
		"has no other worker": {path: "/open/", status: http.StatusBadGateway, runs: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			faulty, sound := newFakeWorker(t, "faulty", floods, floods), newFakeWorker(t, "sound")
			p, server := newTestProxy(t, faulty, sound)
			log := &logBuffer{}
			p.opts.Logger = hclog.New(&hclog.LoggerOptions{Output: log, Level: hclog.Info})
			p.startedAt = time.Now().Add(-randomPairPeriod)
			preferOver(p, sound)
			got := sendRequest(t, server, test.path, "a", nil)
			assert.Equal(t, got.status, test.status)
			assert.Assert(t, got.isComplete)
			assert.Equal(t, faulty.runs("a"), 1)
			assert.Equal(t, sound.runs("a"), test.runs)
			assert.Equal(t, log.count("answer exceeds a limit"), 1, log.String())
			assert.Equal(t, log.count("bytes_read=16384"), 1, log.String())
			assert.DeepEqual(t, p.opts.Tracker.suspectedHeads(time.Now()), map[string]bool{"faulty": true})
		})
	}
}

// TestEndlessBodyEndsItsAttemptOnly guards against answers that hold the memory of a client account until
// the deadline.
func TestEndlessBodyEndsItsAttemptOnly(t *testing.T) {
	tests := map[string]struct {
		path   string
		status int
	}{
		"may be repeated": {path: "/safe/", status: http.StatusOK},
		"must run once":   {path: "/once/", status: http.StatusBadGateway},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			faulty, sound := newFakeWorker(t, "faulty", swells), newFakeWorker(t, "sound")
			p, server := newTestProxy(t, faulty, sound)
			log := &logBuffer{}
			p.opts.Logger = hclog.New(&hclog.LoggerOptions{Output: log, Level: hclog.Info})
			p.opts.BufferLimit = bufferlimit.New(8 << 20)
			p.startedAt = time.Now().Add(-randomPairPeriod)
			preferOver(p, sound)
			got := sendRequest(t, server, test.path, "a", nil)
			assert.Equal(t, got.status, test.status, log.String())
			assert.Equal(t, faulty.runs("a"), 1)
			assert.Equal(t, log.count("answer exceeds a limit"), 1, log.String())
			assert.Equal(t, log.count("part=body"), 1, log.String())
			assert.DeepEqual(t, p.opts.Tracker.suspectedHeads(time.Now()), map[string]bool{"faulty": true})
			assert.Equal(t, p.opts.BufferLimit.BytesInUse(), int64(0))
		})
	}
}

// TestAnnouncedBodyOverLimitIsNotAwaited guards against answers that are read up to a limit although their
// heads announce that they exceed it.
func TestAnnouncedBodyOverLimitIsNotAwaited(t *testing.T) {
	faulty, sound := newFakeWorker(t, "faulty", announces), newFakeWorker(t, "sound")
	p, server := newTestProxy(t, faulty, sound)
	p.opts.BufferLimit = bufferlimit.New(8 << 20)
	p.startedAt = time.Now().Add(-randomPairPeriod)
	preferOver(p, sound)
	got := sendRequest(t, server, "/safe/", "a", nil)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, faulty.runs("a"), 1)
	assert.DeepEqual(t, p.opts.Tracker.suspectedHeads(time.Now()), map[string]bool{"faulty": true})
}

// TestManyCallerHeadersAreRefused guards against requests whose many headers take far more memory than
// their bytes.
func TestManyCallerHeadersAreRefused(t *testing.T) {
	tests := map[string]struct{ headers, status, runs int }{
		"as many as are usual":  {headers: 100, status: http.StatusOK, runs: 1},
		"more than are allowed": {headers: 200, status: http.StatusRequestHeaderFieldsTooLarge},
		"all that 16 KiB hold":  {headers: 1500, status: http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newFakeWorker(t, "w")
			_, server := newTestProxy(t, worker)
			got := sendRequest(t, server, "/safe/", "a", func(r *http.Request) {
				for i := range test.headers {
					r.Header.Set(fmt.Sprintf("X%d", i), "")
				}
			})
			assert.Equal(t, got.status, test.status)
			assert.Equal(t, worker.runs("a"), test.runs)
		})
	}
}

// chargedBody is the body of a stream of one endless event. It fails if more of it is read than memory
// is reserved.
type chargedBody struct {
	limit *bufferlimit.Limit
	read  int64
}

var errNotCharged = errors.New("more is held than reserved")

func (b *chargedBody) Read(p []byte) (int, error) {
	b.read += int64(len(p))
	if b.read > b.limit.BytesInUse()+streamBufferBytes {
		return 0, errNotCharged
	}
	return copy(p, strings.Repeat("x", len(p))), nil
}

func (b *chargedBody) Close() error { return nil }

// TestLongEventsAreCharged guards against events that fill the daemon's memory, each of many streams with
// one of its own.
func TestLongEventsAreCharged(t *testing.T) {
	tests := map[string]struct {
		limit int64
		most  int64
		want  error
	}{
		"longer than an event may be":     {limit: 64 << 20, most: maxEventBytes, want: &limitError{part: "event", bytesRead: maxEventBytes}},
		"longer than its account's share": {limit: 1 << 20, most: 256 << 10, want: context.DeadlineExceeded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				limit := bufferlimit.New(test.limit)
				memory := bufferlimit.NewMemory(limit, "a")
				body := &chargedBody{limit: limit}
				s := &relayedStream{memory: memory}
				e := &exchange{ctx: ctx, response: &http.Response{Body: body}}
				err := s.copyEvents(e, func(time.Time) {}, func() {})
				assert.Equal(t, fmt.Sprint(err), fmt.Sprint(test.want))
				assert.Assert(t, body.read <= test.most, "%d bytes were read, of %d at most", body.read, test.most)
				assert.Equal(t, limit.BytesInUse(), int64(0))
			})
		})
	}
}

// TestLongEventEndsItsAttemptOnly: another replica sends the stream, and the one that sent the long event
// is suspected.
func TestLongEventEndsItsAttemptOnly(t *testing.T) {
	faulty, sound := newFakeWorker(t, "faulty", rambles), newFakeWorker(t, "sound")
	p, server := newTestProxy(t, faulty, sound)
	log := &logBuffer{}
	p.opts.Logger = hclog.New(&hclog.LoggerOptions{Output: log, Level: hclog.Info})
	p.startedAt = time.Now().Add(-randomPairPeriod)
	preferOver(p, sound)
	got := sendRequest(t, server, "/stream/", "a", nil)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, wholeStream())
	assert.Equal(t, log.count("answer exceeds a limit"), 1, log.String())
	assert.Equal(t, log.count("part=event bytes_read=1048576"), 1, log.String())
	assert.DeepEqual(t, p.opts.Tracker.suspectedHeads(time.Now()), map[string]bool{"faulty": true})
}

// preferOver makes the proxy choose other replicas than those of a worker.
func preferOver(p *testProxy, w *fakeWorker) {
	for _, service := range []struct{ name, model string }{{name: "plain"}, {name: "models", model: "m"}} {
		for _, replica := range p.inventory.View().Replicas(service.name, service.model) {
			if replica.Head.ID == w.id || replica.Head.ID == w.id+"-model" {
				p.opts.Tracker.RecordFailure(replica, time.Now())
			}
		}
	}
}

// logBuffer holds what was logged. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (b *logBuffer) count(text string) int { return strings.Count(b.String(), text) }
