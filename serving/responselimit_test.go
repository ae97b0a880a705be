package serving

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/answercheck"
	"quartzshelf.dev/common/suspension"
	"quartzshelf.dev/peers"
)

// dialEndlessPeer returns a function that opens connections to a peer that sends a beginning, and then a
// text again and again. It counts the bytes that are read.
func dialEndlessPeer(beginning, repeated string, read *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	const sourceBytes = 32 << 20
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			for text := beginning; read.Load() < sourceBytes; text = strings.Repeat(repeated, 1+1024/len(repeated)) {
				n, err := io.WriteString(far, text)
				read.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		return near, nil
	}
}

// TestEndlessPeerResponseIsNotReadOn guards against responses of peers that fill the daemon's memory, and
// against taking a part of one for the whole.
func TestEndlessPeerResponseIsNotReadOn(t *testing.T) {
	const most = 9 << 20
	tests := map[string]struct{ beginning, repeated string }{
		"a head without a line end": {repeated: "x"},
		"headers":                   {beginning: "HTTP/1.1 200 OK\r\n", repeated: "Header: value\r\n"},
		"a body without a length":   {beginning: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x"},
		"a body of one chunk":       {beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", repeated: "x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			read := &atomic.Int64{}
			f := newFetcher(&Server{})
			f.client.Transport.(*answercheck.Transport).DialContext = dialEndlessPeer(test.beginning, test.repeated, read)
			f.client.Timeout = time.Minute
			peer := fetchRequest{Peer: &peers.Peer{Heartbeat: peers.Heartbeat{Identity: peers.Identity{ID: "p", Address: "127.0.0.1:1"}}}, requestedAt: suspension.NewStamp(suspension.Never)}
			_, err := f.get(t.Context(), peer, pathWorkers)
			assert.Assert(t, err != nil)
			assert.Assert(t, read.Load() <= most, "%d bytes were read, of %d at most: %v", read.Load(), most, err)
		})
	}
}
