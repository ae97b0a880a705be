package drain

import (
	"net"
	"net/http"
	"os"
	"time"
)

// conn is a tracked connection. isBusy is guarded by conns.mu.
type conn struct {
	net.Conn
	conns  *Conns
	isBusy bool
}

// trackedConn returns the tracked connection within c, or nil.
func trackedConn(c net.Conn) *conn {
	for {
		switch inner := c.(type) {
		case *conn:
			return inner
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil
		}
	}
}

// Read implements net.Conn. A sealed connection begins no further request.
func (c *conn) Read(b []byte) (int, error) {
	if c.isClosedToRequests() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.setBusy(true)
	}
	return n, err
}

func (c *conn) isClosedToRequests() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.isSealed && !c.isBusy
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.setBusy(false)
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.notify()
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, by which the server ends connections that still receive.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// onState is called when the state of the server's connection changes. A request that was sent along with
// the one before is read without a read of the connection.
func (c *conn) onState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.setBusy(true)
	case http.StateIdle:
		c.setBusy(false)
	}
}

func (c *conn) setBusy(isBusy bool) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.isBusy == isBusy {
		return
	}
	c.isBusy = isBusy
	if isBusy {
		c.conns.busyCount++
	} else {
		c.conns.busyCount--
		c.conns.idleSince = time.Now()
	}
	c.conns.notify()
}
