package gateway

import (
	"context"
	"net"
	"syscall"
	"time"
)

// hangupEvery is how often a waiting caller's connection is looked at.
const hangupEvery = 250 * time.Millisecond

// watchHangup calls gone when the caller closes its connection before ctx
// ends. The HTTP library does not tell of this while a handler runs. Looking
// does not take bytes from the connection.
func watchHangup(ctx context.Context, conn net.Conn, gone func()) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return
	}
	go func() {
		ticker := time.NewTicker(hangupEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if hungUp(socket) {
					gone()
					return
				}
			}
		}
	}()
}

// hungUp reports whether the peer has closed the connection.
func hungUp(socket syscall.RawConn) bool {
	closed := false
	err := socket.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		blocked := err == syscall.EAGAIN || err == syscall.EINTR
		closed = (n == 0 && err == nil) || (err != nil && !blocked)
	})
	return closed || err != nil
}
