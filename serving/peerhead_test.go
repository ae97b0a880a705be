package serving

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestManyHeadersOfPeersAreRefused guards against requests to the peers' port whose thousands of headers take
// far more memory than their bytes.
func TestManyHeadersOfPeersAreRefused(t *testing.T) {
	s := newServer(t, &fakeStore{})
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.opts.Self.Address = free.Addr().String()
	assert.NilError(t, free.Close())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.fetcher.listen(ctx, s.fetcher.handler())
	}()
	c, err := net.Dial("tcp", s.opts.Self.Address)
	for err != nil {
		c, err = net.Dial("tcp", s.opts.Self.Address)
	}
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", 1000)+"\r\n")
	assert.NilError(t, err)
	response := make([]byte, 32)
	n, err := io.ReadFull(c, response)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(response[:n]), "HTTP/1.1 400 "), "%q", response[:n])
	assert.NilError(t, c.Close())
	cancel()
	<-ended
}
