package serving

import (
	"errors"
	"net"
	"net/http"
)

// maxHeadLines limits the lines of a request's head. Each header takes memory beyond its bytes, also while
// the head is incomplete.
const maxHeadLines = 160

var errManyHeaders = errors.New("the request has too many headers")

// headLimitListener accepts connections that limit the lines of the heads that are read from them. The
// server must be one of newHTTPServer.
type headLimitListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l headLimitListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headLimitConn{Conn: c, isWithinHead: true}, nil
}

// headLimitConn is a connection that limits the lines of heads.
type headLimitConn struct {
	net.Conn
	// isWithinHead reports whether the empty line that ends the current head has not been read.
	isWithinHead bool
	lines        int
	// lineBytes is the length of the current line so far, lastByte its last byte.
	lineBytes int
	lastByte  byte
}

// Read implements net.Conn. It fails within a head that has too many lines.
func (c *headLimitConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.countLines(b[:n])
	if c.lines > maxHeadLines {
		return 0, errManyHeaders
	}
	return n, err
}

// countLines counts the lines of the head up to the empty one that ends it.
func (c *headLimitConn) countLines(data []byte) {
	for _, b := range data {
		if !c.isWithinHead {
			return
		}
		if b != '\n' {
			c.lineBytes++
			c.lastByte = b
			continue
		}
		isEmpty := c.lineBytes == 0 || c.lineBytes == 1 && c.lastByte == '\r'
		c.isWithinHead = !isEmpty
		c.lines++
		c.lineBytes = 0
	}
}

// CloseWrite closes the sending side, by which the server ends connections that still receive.
func (c *headLimitConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// onState is called when the state of a server's connection changes. A connection is idle until a head
// arrives, and active once that has been read.
func (c *headLimitConn) onState(state http.ConnState) {
	if state == http.StateIdle || state == http.StateActive {
		c.isWithinHead, c.lines, c.lineBytes = state == http.StateIdle, 0, 0
	}
}
