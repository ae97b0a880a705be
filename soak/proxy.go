package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is a fault of the network link that a proxy simulates.
type linkFault int

const (
	linkHealthy linkFault = iota
	// linkSilent delivers no bytes in either direction, but accepts connections.
	linkSilent
	// linkOneWay delivers no bytes from the server to the client.
	linkOneWay
	// linkReset resets open and new connections.
	linkReset
	// linkSlow delays every chunk of data by linkDelay.
	linkSlow
	// linkLowBandwidth limits each direction of a connection to linkBytesPerSecond.
	linkLowBandwidth
)

const (
	linkDelay          = 60 * time.Millisecond
	linkPollInterval   = 5 * time.Millisecond
	linkBufferSize     = 16 << 10
	linkBytesPerSecond = 25 << 10
	dialTimeout        = time.Second
)

// proxy is a TCP proxy on the loopback interface that simulates a network link and its faults.
type proxy struct {
	listener net.Listener

	mu        sync.Mutex
	target    string
	fault     linkFault
	openConns map[*net.TCPConn]bool
	// silencedConns holds the connections that stay silent regardless of the link's fault.
	silencedConns map[*net.TCPConn]bool
	// disturbedAt is when a fault was last set or removed, or connections were last silenced.
	// dialFailedAt is when the proxy last failed to connect to its target.
	disturbedAt, dialFailedAt time.Time
}

// newProxy listens on a free port of host and forwards connections to target.
func newProxy(host, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, openConns: make(map[*net.TCPConn]bool), silencedConns: make(map[*net.TCPConn]bool)}
	go p.acceptConns()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close stops listening and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setFault(linkReset)
}

// setFault replaces the link's fault. linkHealthy removes it.
func (p *proxy) setFault(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault != fault {
		p.disturbedAt = time.Now()
	}
	p.fault = fault
	if fault != linkReset {
		return
	}
	for c := range p.openConns {
		resetConn(c)
	}
}

// silenceConnections permanently stops delivery on the open connections, without resetting them. New
// connections are not affected.
func (p *proxy) silenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
	for c := range p.openConns {
		p.silencedConns[c] = true
	}
}

// isSilenced reports whether delivery on a connection has been permanently stopped.
func (p *proxy) isSilenced(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silencedConns[c]
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// hasDialFailedSince reports whether the proxy has failed to connect to its target since a time. The
// proxy resets the client's connection after such a failure.
func (p *proxy) hasDialFailedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialFailedAt.After(t)
}

// isHealthySince reports whether the link has had no faults since a time.
func (p *proxy) isHealthySince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault == linkHealthy && p.disturbedAt.Before(t)
}

func (p *proxy) acceptConns() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forwardConn(c.(*net.TCPConn))
	}
}

// forwardConn connects a client to the target and copies data until both directions have ended.
func (p *proxy) forwardConn(client *net.TCPConn) {
	if p.currentFault() == linkReset {
		resetConn(client)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	raw, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		p.mu.Lock()
		p.dialFailedAt = time.Now()
		p.mu.Unlock()
		resetConn(client)
		return
	}
	server := raw.(*net.TCPConn)
	p.trackConns(client, server)
	defer p.closeAndUntrack(client, server)
	done := make(chan struct{}, 2)
	go func() { p.copyBytes(server, client, false); done <- struct{}{} }()
	go func() { p.copyBytes(client, server, true); done <- struct{}{} }()
	<-done
	<-done
}

func (p *proxy) trackConns(all ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range all {
		p.openConns[c] = true
	}
}

func (p *proxy) closeAndUntrack(all ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range all {
		delete(p.openConns, c)
		delete(p.silencedConns, c)
		_ = c.Close()
	}
}

// copyBytes copies data in one direction until either connection ends. fromServer is true for the
// direction from the server to the client.
func (p *proxy) copyBytes(to, from *net.TCPConn, fromServer bool) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		p.awaitDelivery(fromServer, n)
		if p.isSilenced(from) {
			if err != nil {
				// The close is not forwarded, because the connection is silenced.
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			p.forwardClose(to, err)
			return
		}
	}
}

// awaitDelivery blocks while the link's fault stops delivery in this direction. On a slow or
// low-bandwidth link it blocks for the time that the delivery takes.
func (p *proxy) awaitDelivery(fromServer bool, byteCount int) {
	for {
		switch p.currentFault() {
		case linkSlow:
			time.Sleep(linkDelay)
			return
		case linkLowBandwidth:
			time.Sleep(time.Duration(byteCount) * time.Second / linkBytesPerSecond)
			return
		case linkSilent:
		case linkOneWay:
			if !fromServer {
				return
			}
		default:
			return
		}
		time.Sleep(linkPollInterval)
	}
}

// forwardClose closes the write side of a connection after EOF, and resets it after other errors.
func (p *proxy) forwardClose(to *net.TCPConn, err error) {
	if err == io.EOF {
		_ = to.CloseWrite()
		return
	}
	resetConn(to)
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
