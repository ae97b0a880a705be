package peers

import (
	"net"
	"net/netip"

	"quartzshelf.dev/common/failure"
)

// Transport carries datagrams, which may be lost.
type Transport struct {
	Send func(to string, datagram []byte) error
	// Receive waits for a datagram and returns its length. It fails after Close.
	Receive func(buffer []byte) (int, error)
	Close   func() error
}

// ListenUDP opens a UDP socket at an address.
func ListenUDP(address string) (Transport, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return Transport{}, failure.Wrap(failure.Invalid, "open UDP port for peers", address, err)
	}
	conn, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return Transport{}, failure.Wrap(failure.Unavailable, "open UDP port for peers", address, err)
	}
	return Transport{
		Send: func(to string, datagram []byte) error {
			destination, err := netip.ParseAddrPort(to)
			if err != nil {
				return failure.Wrap(failure.Invalid, "send datagram", to, err)
			}
			_, err = conn.WriteToUDPAddrPort(datagram, destination)
			return err
		},
		Receive: func(buffer []byte) (int, error) {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			return n, err
		},
		Close: conn.Close,
	}, nil
}
