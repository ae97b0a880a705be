package headlimit

import (
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// maxRequestBytes limits the head of a request. net/http reads up to 4 KiB more.
	maxRequestBytes = 16 << 10
	// maxRequestLines limits its lines, also while the head is incomplete.
	maxRequestLines = 160
)

var errManyLines = errors.New("the request has too many headers")

// Server is an HTTP server that limits the heads of requests.
type Server struct {
	*http.Server
}

// NewServer returns a server that closes connections whose next request has not arrived within
// readTimeout.
func NewServer(handler http.Handler, readTimeout time.Duration) Server {
	return Server{&http.Server{
		Handler: handler, ReadHeaderTimeout: readTimeout, MaxHeaderBytes: maxRequestBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*conn); ok {
				c.onState(state)
			}
		},
	}}
}

// Serve serves the connections of a listener until the server is closed. It always returns an error, as
// http.Server does.
func (s Server) Serve(l net.Listener) error { return s.Server.Serve(listener{l}) }

// ListenAndServe listens at an address and serves the connections to it.
func (s Server) ListenAndServe(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return s.Serve(l)
}

// listener accepts connections that limit the lines of the heads that are read from them.
type listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited := &conn{Conn: c}
	limited.lines.Begin()
	return limited, nil
}

// conn is a connection that limits the lines of heads.
type conn struct {
	net.Conn
	lines LineCounter
}

// Read implements net.Conn. It fails within a head that has too many lines.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.lines.Count(b[:n])
	if c.lines.Lines() > maxRequestLines {
		return 0, errManyLines
	}
	return n, err
}

// NetConn returns the connection whose reads are limited.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, by which the server ends connections that still receive.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// onState is called when the state of a server's connection changes. A connection is idle until a head
// arrives, and active once that has been read.
func (c *conn) onState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.lines.Begin()
	case http.StateActive:
		c.lines.End()
	}
}
