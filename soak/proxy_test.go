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

// echo serves lines back on a port that the kernel chooses.
func echo(t *testing.T) string {
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
		"sound":   {fault: linkSound},
		"slow":    {fault: linkSlow},
		"narrow":  {fault: linkNarrow},
		"silent":  {fault: linkSilent, want: os.ErrDeadlineExceeded},
		"one way": {fault: linkOneWay, want: os.ErrDeadlineExceeded},
		"reset":   {fault: linkReset, want: syscall.ECONNRESET},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := newProxy("127.0.0.1", echo(t))
			assert.NilError(t, err)
			defer p.close()
			c, err := net.Dial("tcp", p.address())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			assert.NilError(t, ask(c, reader))
			before := time.Now()
			p.set(test.fault)
			if test.want != nil {
				assert.NilError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
			}
			err = ask(c, reader)
			assert.Assert(t, errors.Is(err, test.want) || test.want == syscall.ECONNRESET && err != nil, "%v", err)
			assert.Equal(t, p.soundSince(before), test.fault == linkSound)
			p.set(linkSound)
			again, err := net.Dial("tcp", p.address())
			assert.NilError(t, err)
			defer func() { _ = again.Close() }()
			assert.NilError(t, ask(again, bufio.NewReader(again)), "a mended link carries again")
		})
	}
}

// TestSilencedConnections checks that open connections stay silent, though new ones
// work, and that their ends can still be closed.
func TestSilencedConnections(t *testing.T) {
	p, err := newProxy("127.0.0.1", echo(t))
	assert.NilError(t, err)
	defer p.close()
	old, err := net.Dial("tcp", p.address())
	assert.NilError(t, err)
	reader := bufio.NewReader(old)
	assert.NilError(t, ask(old, reader))
	p.silence()
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	assert.Assert(t, errors.Is(ask(old, reader), os.ErrDeadlineExceeded))
	fresh, err := net.Dial("tcp", p.address())
	assert.NilError(t, err)
	defer func() { _ = fresh.Close() }()
	assert.NilError(t, ask(fresh, bufio.NewReader(fresh)))
	assert.NilError(t, old.Close())
}

// ask sends a line and reads it back.
func ask(c net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(c, "line\n"); err != nil {
		return err
	}
	_, err := reader.ReadString('\n')
	return err
}

func TestLinkToNobodyIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := l.Addr().String()
	assert.NilError(t, l.Close())
	p, err := newProxy("127.0.0.1", target)
	assert.NilError(t, err)
	defer p.close()
	before := time.Now()
	// The reset may come before or after the connection is up on this side.
	c, err := net.Dial("tcp", p.address())
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	assert.Assert(t, err != nil)
	assert.Assert(t, p.refusedSince(before))
}
