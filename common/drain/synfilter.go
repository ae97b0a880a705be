package drain

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// flagsOffset is where a TCP header has its flags, of which the filter looks at flagSyn and flagAck.
	flagsOffset = 13
	flagSyn     = 0x02
	flagAck     = 0x10
	// dropSegment and keepSegment are results of a filter: how much of the segment to keep.
	dropSegment = 0
	keepSegment = 0xffffffff
)

// synFilter drops the segments that ask for a new connection. A listening socket sees segments from the TCP
// header on, with IPv4 and IPv6.
var synFilter = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSyn | flagAck},
	// Without a match, the next instruction is skipped.
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 0, Jf: 1, K: flagSyn},
	{Code: unix.BPF_RET | unix.BPF_K, K: dropSegment},
	{Code: unix.BPF_RET | unix.BPF_K, K: keepSegment},
}

// dropNewHandshakes makes the kernel ignore callers that ask a TCP socket for a new connection. Handshakes that
// have begun go on. It returns false if it fails, or if the listener is none of TCP. Connections inherit the
// filter, which drops nothing that they use.
func dropNewHandshakes(l net.Listener, raw syscall.RawConn) (isDropping bool, err error) {
	if _, isTCP := l.Addr().(*net.TCPAddr); !isTCP {
		return false, nil
	}
	program := unix.SockFprog{Len: uint16(len(synFilter)), Filter: &synFilter[0]}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err == nil && attachErr != nil {
		err = os.NewSyscallError("attach a filter to the listening socket", attachErr)
	}
	return err == nil, err
}
