package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEchoServer starts an echo server on a free port and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func TestLink(t *testing.T) {
	tests := map[string]struct {
		fault linkFault
		want  error
	}{
		"sound":   {fault: linkHealthy},
		"slow":    {fault: linkSlow},
		"narrow":  {fault: linkLowBandwidth},
		"silent":  {fault: linkSilent, want: os.ErrDeadlineExceeded},
		"one way": {fault: linkOneWay, want: os.ErrDeadlineExceeded},
		"reset":   {fault: linkReset, want: syscall.ECONNRESET},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := newProxy("127.0.0.1", startEchoServer(t))
			assert.NilError(t, err)
			defer p.close()
			c, err := net.Dial("tcp", p.address())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			assert.NilError(t, sendLine(c, reader))
			before := time.Now()
			p.setFault(test.fault)
			if test.want != nil {
				assert.NilError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
			}
			err = sendLine(c, reader)
			assert.Assert(t, errors.Is(err, test.want) || test.want == syscall.ECONNRESET && err != nil, "%v", err)
			assert.Equal(t, p.isHealthySince(before), test.fault == linkHealthy)
			p.setFault(linkHealthy)
			again, err := net.Dial("tcp", p.address())
			assert.NilError(t, err)
			defer func() { _ = again.Close() }()
			assert.NilError(t, sendLine(again, bufio.NewReader(again)), "a link works again after its fault")
		})
	}
}

// TestSilencedConnections checks that open connections stay silent and can be closed, while new
// connections work.
func TestSilencedConnections(t *testing.T) {
	p, err := newProxy("127.0.0.1", startEchoServer(t))
	assert.NilError(t, err)
	defer p.close()
	old, err := net.Dial("tcp", p.address())
	assert.NilError(t, err)
	reader := bufio.NewReader(old)
	assert.NilError(t, sendLine(old, reader))
	p.silenceConnections()
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	assert.Assert(t, errors.Is(sendLine(old, reader), os.ErrDeadlineExceeded))
	fresh, err := net.Dial("tcp", p.address())
	assert.NilError(t, err)
	defer func() { _ = fresh.Close() }()
	assert.NilError(t, sendLine(fresh, bufio.NewReader(fresh)))
	assert.NilError(t, old.Close())
}

// sendLine sends a line and waits for its echo.
func sendLine(c net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(c, "line\n"); err != nil {
		return err
	}
	_, err := reader.ReadString('\n')
	return err
}

func TestLinkReportsFailedDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := l.Addr().String()
	assert.NilError(t, l.Close())
	p, err := newProxy("127.0.0.1", target)
	assert.NilError(t, err)
	defer p.close()
	before := time.Now()
	// The reset may arrive before or after Dial returns.
	c, err := net.Dial("tcp", p.address())
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	assert.Assert(t, err != nil)
	assert.Assert(t, p.hasDialFailedSince(before))
}
