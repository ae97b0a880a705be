package daemon

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/rpc"
)

// sourceBytes is what a peer sends at most, more than any message may take.
const sourceBytes = 32 << 20

// endlessReader provides sourceBytes bytes and counts what is read.
type endlessReader struct {
	read int
}

func (r *endlessReader) Read(b []byte) (int, error) {
	if r.read >= sourceBytes {
		return 0, io.EOF
	}
	r.read += len(b)
	return copy(b, bytes.Repeat([]byte("x"), len(b))), nil
}

// TestEndlessPeerRequestIsNotReadOn guards against requests of peers that fill the daemon's memory.
func TestEndlessPeerRequestIsNotReadOn(t *testing.T) {
	const most = 9 << 20
	for _, contentType := range []string{"application/protobuf", "application/json"} {
		t.Run(contentType, func(t *testing.T) {
			source := &endlessReader{}
			body := io.MultiReader(strings.NewReader(`{"data":"`), source)
			request := httptest.NewRequest(http.MethodPost, rpc.PeerPathPrefix+"Claim", body)
			request.Header.Set("Content-Type", contentType)
			answer := httptest.NewRecorder()
			newPeerHTTP(&peerServer{}).Handler.ServeHTTP(answer, request)
			assert.Assert(t, answer.Code >= http.StatusBadRequest)
			assert.Assert(t, source.read <= most, "%d bytes were read, of %d at most", source.read, most)
		})
	}
}

// TestEndlessPeerReplyIsNotReadOn guards against replies of peers that fill the daemon's memory.
func TestEndlessPeerReplyIsNotReadOn(t *testing.T) {
	const most = 9 << 20
	tests := map[string]struct{ beginning, repeated string }{
		"a head without a line end": {repeated: "x"},
		"a body without a length":   {beginning: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x"},
		"a refusal":                 {beginning: "HTTP/1.1 503 Full\r\n\r\n", repeated: "x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			read := &atomic.Int64{}
			clients := newPeerClients()
			clients.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go sendEndless(far, test.beginning, test.repeated, read)
				return near, nil
			}
			_, err := clients.get("127.0.0.1:1").Claim(t.Context(), &rpc.ClaimRequest{RecordId: "r"})
			assert.Assert(t, err != nil)
			assert.Assert(t, read.Load() <= most, "%d bytes were read, of %d at most: %v", read.Load(), most, err)
		})
	}
}

// sendEndless answers a request with a beginning, and then a text again and again.
func sendEndless(c net.Conn, beginning, repeated string, read *atomic.Int64) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	for text := beginning; read.Load() < sourceBytes; text = strings.Repeat(repeated, 1024) {
		n, err := io.WriteString(c, text)
		read.Add(int64(n))
		if err != nil {
			return
		}
	}
}
