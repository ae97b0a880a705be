package drain

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCloseLosesNoEstablishedConnection guards against connections that are reset because nobody has accepted
// them when the listener closes.
func TestCloseLosesNoEstablishedConnection(t *testing.T) {
	const callers = 20
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{}
	l := Track(server).Listener(raw)
	for range callers {
		c, err := net.Dial("tcp", raw.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	closed := make(chan error)
	go func() { closed <- l.Close() }()
	for i := range callers {
		c, err := l.Accept()
		assert.NilError(t, err, "connection %d", i)
		assert.NilError(t, c.Close())
	}
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.NilError(t, <-closed)
	_, err = net.Dial("tcp", raw.Addr().String())
	assert.ErrorContains(t, err, "refused")
}
