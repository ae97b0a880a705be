package proxy

import (
	"errors"
	"os"
	"sync"
	"time"
)

// interruptedReads is a read deadline that has passed.
var interruptedReads = time.Unix(1, 0)

// Read reads from the connection. If interrupt was called, it calls onInterrupt, and fails with the
// error that this returns or continues to read if there is none.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || c.onInterrupt == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
		if err := c.onInterrupt(); err != nil {
			return 0, err
		}
	}
}

// interrupt interrupts the read in progress, or the next one. An error means that the connection is
// closed, which ends the read too.
func (c *connection) interrupt() { _ = c.SetReadDeadline(interruptedReads) }

// interruptor interrupts the reads of an attempt, whichever connection it uses. It is safe for
// concurrent use.
type interruptor struct {
	// onInterrupt is called by interrupted reads, in the goroutine that reads.
	onInterrupt func() error

	mu   sync.Mutex
	conn *connection
}

// attach makes the attempt's reads from a connection interruptible.
func (i *interruptor) attach(c *connection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c.onInterrupt = i.onInterrupt
	i.conn = c
}

// setHandler replaces onInterrupt. It must be called by the goroutine that reads next.
func (i *interruptor) setHandler(onInterrupt func() error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onInterrupt = onInterrupt
	if i.conn != nil {
		i.conn.onInterrupt = onInterrupt
	}
}

// detach ends interruptions, so that the connection can be used for something else. An error means
// that the connection is closed.
func (i *interruptor) detach() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conn == nil {
		return
	}
	i.conn.onInterrupt = nil
	_ = i.conn.SetReadDeadline(time.Time{})
	i.conn = nil
}

// interrupt interrupts the attempt's read in progress, or its next one. It does nothing before the
// attempt has a connection.
func (i *interruptor) interrupt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conn != nil {
		i.conn.interrupt()
	}
}
