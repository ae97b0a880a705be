package daemon

import (
	"context"
	"net"
	"sync/atomic"
)

// traffic counts the bytes between this daemon and the others, as they are on
// their connections.
type traffic struct {
	received atomic.Int64
	sent     atomic.Int64
}

// countingConn is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: l.traffic}, nil
}

// dial opens a connection whose bytes are counted.
func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: peerTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: t}, nil
}
