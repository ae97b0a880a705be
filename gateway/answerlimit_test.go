package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/cluster"
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

// TestEndlessHeadIsNotReadOn guards against an endpoint's bytes beside those of a body that fill the daemon's memory.
func TestEndlessHeadIsNotReadOn(t *testing.T) {
	const most = 128 << 10
	tests := map[string]struct{ beginning, repeated string }{
		"no line end":            {repeated: "x"},
		"an endless header":      {beginning: "HTTP/1.1 200 OK\r\nA: ", repeated: "b"},
		"headers without an end": {beginning: "HTTP/1.1 200 OK\r\n", repeated: "Header: value\r\n"},
		"interim answers":        {repeated: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"a chunk's size":         {beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "1"},
		"a chunk's extension":    {beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", repeated: "x"},
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

// TestLongStreamIsNotKept guards against streams without an end, whose tokens are kept so that another replica
// can continue them.
func TestLongStreamIsNotKept(t *testing.T) {
	const (
		tokenBytes = 64 << 10
		tokens     = 1200
		mostHeld   = 40 << 20
	)
	h := newHarness(t)
	isMeasured := make(chan struct{})
	for _, e := range h.endpoints {
		e.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			text := strings.Repeat("x", tokenBytes)
			for i := range tokens {
				_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"text\":%q}]}\n\n", r.Header.Get(cluster.HeaderRequest), i, text)
			}
			<-isMeasured
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		})
	}
	before := heapBytes()
	request, err := http.NewRequest(http.MethodPost, "http://"+h.address+"/v1/completions", strings.NewReader(`{"model":"chat","prompt":"p","stream":true}`))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer demo-key")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.CopyN(io.Discard, response.Body, tokens*tokenBytes)
	assert.NilError(t, err)
	held := heapBytes() - before
	close(isMeasured)
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
	assert.Assert(t, held <= mostHeld, "%d bytes are held, of %d at most", held, mostHeld)
}

// heapBytes returns the size of what is in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestKeptTokensStayWithinTheirLimit: tokens are kept while the account has memory, and counted always.
func TestKeptTokensStayWithinTheirLimit(t *testing.T) {
	limit := bufferlimit.New(8 << 20)
	tests := map[string]struct {
		tokens    int
		isDropped bool
	}{
		"a usual stream":        {tokens: 1000},
		"a long one":            {tokens: 10_000},
		"longer than its share": {tokens: 100_000, isDropped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := bufferlimit.NewMemory(limit, "a")
			defer memory.Release()
			kept := keptTokens{memory: memory}
			for range test.tokens {
				kept.add(strings.Repeat("x", 100))
				assert.Assert(t, kept.isDropped || kept.bytes <= memory.Bytes()+unreservedTokenBytes)
			}
			assert.Equal(t, kept.count, test.tokens)
			assert.Equal(t, kept.isDropped, test.isDropped)
			assert.Equal(t, len(kept.texts) == 0, test.isDropped)
		})
	}
}
