package drain

import (
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// loopbacks holds addresses to listen on, by protocol.
var loopbacks = map[string]string{"IPv4": "127.0.0.1:0", "IPv6": "[::1]:0"}

// listenOn listens on one of loopbacks. It skips the test if the machine has no such address.
func listenOn(t *testing.T, address string) *net.TCPListener {
	t.Helper()
	raw, err := Listen(t.Context(), address)
	if err != nil && address == loopbacks["IPv6"] {
		t.Skip("the machine has no IPv6: ", err)
	}
	assert.NilError(t, err)
	return raw.(*net.TCPListener)
}

// TestCloseLosesNoEstablishedConnection guards against connections that are reset because nobody has accepted
// them when the listener closes.
func TestCloseLosesNoEstablishedConnection(t *testing.T) {
	const callers = 20
	raw := listenOn(t, loopbacks["IPv4"])
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
	_, err := l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.NilError(t, <-closed)
	_, err = net.Dial("tcp", raw.Addr().String())
	assert.ErrorContains(t, err, "refused")
}

// interruptedListener calls a function each time that something was done to its socket, before it can end.
type interruptedListener struct {
	*net.TCPListener
	onControl func()
}

func (l interruptedListener) SyscallConn() (syscall.RawConn, error) {
	raw, err := l.TCPListener.SyscallConn()
	return interruptedConn{raw, l.onControl}, err
}

type interruptedConn struct {
	syscall.RawConn
	onControl func()
}

func (c interruptedConn) Control(f func(fd uintptr)) error {
	return c.RawConn.Control(func(fd uintptr) {
		f(fd)
		c.onControl()
	})
}

// acceptAll returns how many connections a closed listener still had.
func acceptAll(t *testing.T, l net.Listener) int {
	t.Helper()
	for count := 0; ; count++ {
		c, err := l.Accept()
		if err != nil {
			return count
		}
		assert.NilError(t, c.Close())
	}
}

// TestCloseBeginsNoHandshake guards against connections that are established between the last look at the kernel's
// queue and the end of the socket.
func TestCloseBeginsNoHandshake(t *testing.T) {
	for name, address := range loopbacks {
		t.Run(name, func(t *testing.T) {
			raw := listenOn(t, address)
			var established atomic.Int64
			l := Track(&http.Server{}).Listener(interruptedListener{raw, func() {
				if c, err := net.DialTimeout("tcp", raw.Addr().String(), stressDialTimeout); err == nil {
					established.Add(1)
					assert.Check(t, c.Close())
				}
			}})
			assert.NilError(t, l.Close())
			assert.Equal(t, acceptAll(t, l), int(established.Load()))
			_, err := net.Dial("tcp", raw.Addr().String())
			assert.ErrorContains(t, err, "refused")
		})
	}
}

// TestCloseCompletesHandshakes guards against connections that are reset because their handshakes end while the
// listener closes.
func TestCloseCompletesHandshakes(t *testing.T) {
	for name, address := range loopbacks {
		t.Run(name, func(t *testing.T) {
			raw := listenOn(t, address)
			deferHandshakes(t, raw)
			c, err := net.Dial("tcp", raw.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			var isSent atomic.Bool
			l := Track(&http.Server{}).Listener(interruptedListener{raw, func() {
				if !isSent.Swap(true) {
					_, err := io.WriteString(c, requestHead)
					assert.Check(t, err)
				}
			}})
			assert.NilError(t, l.Close())
			assert.Equal(t, acceptAll(t, l), 1)
		})
	}
}

// deferHandshakes makes the kernel complete a handshake when the caller sends its first data.
func deferHandshakes(t *testing.T, l *net.TCPListener) {
	t.Helper()
	raw, err := l.SyscallConn()
	assert.NilError(t, err)
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(time.Minute/time.Second))
	})
	assert.NilError(t, err)
	assert.NilError(t, optionErr)
}

// TestCloseWithoutFilter guards against listeners that lose established connections, or stay open, because their
// sockets take no filter.
func TestCloseWithoutFilter(t *testing.T) {
	var multipath net.ListenConfig
	multipath.SetMultipathTCP(true)
	tests := map[string]struct{ network, address string }{
		"multipath": {network: "tcp", address: loopbacks["IPv4"]},
		"unix":      {network: "unix", address: filepath.Join(t.TempDir(), "port")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			raw, err := multipath.Listen(t.Context(), test.network, test.address)
			assert.NilError(t, err)
			l := Track(&http.Server{}).Listener(raw)
			c, err := net.Dial(test.network, raw.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			// Whether sockets of Multipath TCP take a filter depends on the kernel.
			t.Log("closed: ", l.Close())
			assert.Equal(t, acceptAll(t, l), 1)
			_, err = net.Dial(test.network, raw.Addr().String())
			assert.Assert(t, err != nil, "it is closed")
		})
	}
}
