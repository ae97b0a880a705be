package daemon

import (
	"context"
	"net"
	"sync/atomic"
)

// traffic counts the bytes that this daemon exchanges with other daemons, as read from
// and written to connections.
type traffic struct {
	receivedBytes atomic.Int64
	sentBytes     atomic.Int64
}

// countingConn is a connection that adds its bytes to traffic.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn and counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sentBytes.Add(int64(n))
	return n, err
}

// countingListener accepts connections that add their bytes to traffic.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener; it returns a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: l.traffic}, nil
}

// dial opens a connection that adds its bytes to t.
func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: peerTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: t}, nil
}
