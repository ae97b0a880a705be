package drain

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// handshakeTime is how long a handshake that has begun may take until the listener closes. Callers that ask for
// a connection meanwhile hear nothing, and are refused when they ask again, about a second later.
const handshakeTime = 20 * time.Millisecond

// Listener is a listener whose connections are tracked. Its Close loses no connection that the kernel has
// established or is about to: those that nobody has accepted yet are still returned by Accept.
type Listener struct {
	net.Listener
	conns *Conns
	// closing is closed when Close begins, emptied when leftover holds the connections that were established
	// by then.
	closing, emptied chan struct{}
	closeOnce        sync.Once

	mu       sync.Mutex
	leftover []net.Conn
}

// Listener returns a listener that tracks the connections that l accepts.
func (cs *Conns) Listener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: cs, closing: make(chan struct{}), emptied: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		raw, err = l.acceptLeftover(err)
	}
	if err != nil {
		return nil, err
	}
	return l.conns.track(raw), nil
}

// acceptLeftover returns the next connection that was established when the listener was closed, or err.
func (l *Listener) acceptLeftover(err error) (net.Conn, error) {
	select {
	case <-l.closing:
	default:
		return nil, err
	}
	<-l.emptied
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.leftover) == 0 {
		return nil, err
	}
	next := l.leftover[0]
	l.leftover = l.leftover[1:]
	return next, nil
}

// Close closes the listener, also if it returns an error. The kernel refuses connections from then on. An error may
// mean that connections were lost. Those that Accept still returns are lost unless it is called until it fails.
func (l *Listener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.closing)
		defer close(l.emptied)
		err = l.closeEmpty()
	})
	return err
}

// closeEmpty lets no new handshake begin and those under way complete. It then closes the listener while it holds
// a reference to the socket, which delays the end of the socket until its established connections have been taken
// from it.
func (l *Listener) closeEmpty() error {
	holder, ok := l.Listener.(syscall.Conn)
	if !ok {
		return l.Listener.Close()
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return errors.Join(err, l.Listener.Close())
	}
	isDropping, filterErr := dropNewHandshakes(l.Listener, raw)
	if isDropping {
		time.Sleep(handshakeTime)
	}
	closed := make(chan error, 1)
	var established []int
	err = raw.Control(func(fd uintptr) {
		go func() { closed <- l.Listener.Close() }()
		established = acceptEstablished(int(fd))
	})
	err = errors.Join(filterErr, err, <-closed)
	for _, fd := range established {
		c, connErr := newConn(fd)
		if connErr != nil {
			err = errors.Join(err, connErr)
			continue
		}
		l.mu.Lock()
		l.leftover = append(l.leftover, c)
		l.mu.Unlock()
	}
	return err
}

// acceptEstablished accepts connections until there are none, or accepting fails.
func acceptEstablished(listener int) []int {
	var all []int
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch {
		case err == nil:
			all = append(all, fd)
		case !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.ECONNABORTED):
			return all
		}
	}
}

// newConn returns a connection that owns a socket.
func newConn(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "accepted connection")
	c, err := net.FileConn(file)
	return c, errors.Join(err, file.Close())
}
