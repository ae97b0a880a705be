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
// the socket because the HTTP library doesn't report disconnects while a handler runs. The poll
// does not consume data from the socket.
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

// isDisconnected reports whether the caller has closed the connection or the connection has failed.
func isDisconnected(socket syscall.RawConn) bool {
	isClosed := false
	err := socket.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock := err == syscall.EAGAIN || err == syscall.EINTR
		isClosed = (n == 0 && err == nil) || (err != nil && !wouldBlock)
	})
	return isClosed || err != nil
}
