package gateway

import (
	"context"
	"net"
	"syscall"
	"time"
)

// disconnectPollInterval is the interval between checks of a waiting caller's connection.
const disconnectPollInterval = 250 * time.Millisecond

// watchDisconnect calls onDisconnect if the caller closes its connection before ctx ends. It polls
// the socket because the HTTP library doesn't report disconnects while a handler runs. The check
// leaves unread data in the socket.
func watchDisconnect(ctx context.Context, conn net.Conn, onDisconnect func()) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return
	}
	go func() {
		ticker := time.NewTicker(disconnectPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if isDisconnected(socket) {
					onDisconnect()
					return
				}
			}
		}
	}()
}

// isDisconnected reports whether the peer has closed the connection.
func isDisconnected(socket syscall.RawConn) bool {
	closed := false
	err := socket.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		blocked := err == syscall.EAGAIN || err == syscall.EINTR
		closed = (n == 0 && err == nil) || (err != nil && !blocked)
	})
	return closed || err != nil
}
