package drain

import (
	"context"
	"net"
)

// Listen opens a TCP port for Conns.Listener. It does not use Multipath TCP, whose sockets take no filter, without
// which Close loses connections.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp", address)
}
