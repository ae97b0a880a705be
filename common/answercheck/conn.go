package answercheck

import (
	"context"
	"net"
	"sync"
)

// conn is a connection that checks the framing of the answers that it receives.
type conn struct {
	net.Conn

	mu      sync.Mutex
	framing Framing
}

// dialer opens connections.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// dialChecked returns a dialer whose connections check the framing of answers.
func dialChecked(dial dialer) dialer {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// beginAnswer is called before a request is sent.
func (c *conn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.Begin()
}

// framingErr returns an Error if the answer that began last frames its body ambiguously.
func (c *conn) framingErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.Err()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.Check(b[:n])
	return n, err
}
