package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/answercheck"
	"quartzshelf.dev/common/bufferlimit"
)

// sourceBytes is what an endless endpoint sends at most.
const sourceBytes = 24 << 20

// endlessEndpoint answers with a beginning, and then with a text again and again.
type endlessEndpoint struct {
	beginning, repeated string
	// read counts the bytes that were read of all answers.
	read atomic.Int64
}

// dial opens a connection to the endpoint.
func (e *endlessEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go e.answer(far)
	return near, nil
}

func (e *endlessEndpoint) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	text, repeated := e.beginning, strings.Repeat(e.repeated, 1+(64<<10)/max(len(e.repeated), 1))
	for sent := 0; sent < sourceBytes; text = repeated {
		n, err := io.WriteString(c, text)
		sent += n
		e.read.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// useEndlessEndpoint makes a gateway's connections lead to an endless endpoint.
func useEndlessEndpoint(g *Gateway, e *endlessEndpoint) {
	for _, client := range []*http.Client{g.upstream.reusingClient, g.upstream.singleUseClient} {
		client.Transport.(*answercheck.Transport).DialContext = e.dial
	}
}

// TestEndlessHeadIsNotReadOn guards against an endpoint's bytes that fill the daemon's memory.
func TestEndlessHeadIsNotReadOn(t *testing.T) {
	const most = 128 << 10
	tests := map[string]struct{ beginning, repeated string }{
		"no line end":            {repeated: "x"},
		"an endless header":      {beginning: "HTTP/1.1 200 OK\r\nA: ", repeated: "b"},
		"headers without an end": {beginning: "HTTP/1.1 200 OK\r\n", repeated: "Header: value\r\n"},
		"interim answers":        {repeated: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"a trailer":              {beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "Header: value\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			endless := &endlessEndpoint{beginning: test.beginning, repeated: test.repeated}
			useEndlessEndpoint(h.gateway, endless)
			got, err := h.post(`{"model":"chat","prompt":"p"}`, map[string]string{headerRepeatable: valueNo})
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Assert(t, endless.read.Load() <= most, "%d bytes were read, of %d at most", endless.read.Load(), most)
		})
	}
}

// heldBody is the body of an answer that goes on without an end. It counts what is read, and pauses until
// the test ends once it has sent sourceBytes.
type heldBody struct {
	ctx  context.Context
	sent int
	// read counts what is read of all bodies.
	read *atomic.Int64
}

func (b *heldBody) Read(p []byte) (int, error) {
	if b.sent >= sourceBytes {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	b.sent += len(p)
	b.read.Add(int64(len(p)))
	return len(p), nil
}

func (b *heldBody) Close() error { return nil }

// TestEndlessBodiesLeaveMemory guards against answers without an end that take the memory of the daemon.
func TestEndlessBodiesLeaveMemory(t *testing.T) {
	const (
		answers = 24
		most    = 128 << 20
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		read := &atomic.Int64{}
		var readers sync.WaitGroup
		limit := bufferlimit.New(maxBufferedBytes)
		for n := range answers {
			memory := bufferlimit.NewMemory(limit, fmt.Sprint("account ", n%4))
			readers.Go(func() {
				body := &heldBody{ctx: ctx, read: read}
				_, err := readAll(ctx, &http.Response{Body: body, ContentLength: -1}, "endpoint", memory)
				assert.Check(t, err != nil)
			})
		}
		synctest.Wait()
		assert.Check(t, read.Load() <= most, "%d bytes are held, of %d at most", read.Load(), most)
		sound := &http.Response{Body: io.NopCloser(strings.NewReader("answer")), ContentLength: -1}
		got, err := readAll(ctx, sound, "endpoint", bufferlimit.NewMemory(limit, "account 0"))
		assert.Check(t, err)
		assert.Check(t, string(got) == "answer", "%q", got)
		cancel()
		readers.Wait()
	})
}
