package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is what is wrong with a link.
type linkFault int

const (
	linkSound linkFault = iota
	// linkSilent holds back all bytes both ways; connections come up.
	linkSilent
	// linkOneWay holds back what comes back from the far side.
	linkOneWay
	// linkReset resets connections, the open ones and the new ones.
	linkReset
	// linkSlow delays every piece of bytes.
	linkSlow
	// linkNarrow carries linkRate bytes a second on each connection.
	linkNarrow
)

const (
	linkDelay  = 60 * time.Millisecond
	linkLook   = 5 * time.Millisecond
	linkBuffer = 16 << 10
	// linkRate is the rate of a narrow link, in bytes a second: a hundredth of a link
	// of 20 Mbit/s.
	linkRate   = 25 << 10
	dialWithin = time.Second
)

// proxy is a link on the loopback interface that can be harmed.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	fault  linkFault
	open   map[*net.TCPConn]bool
	// silenced holds the connections that carry nothing more, whatever the link does.
	silenced map[*net.TCPConn]bool
	// harmedAt is when the link was last harmed or mended, refusedAt when the
	// far side last did not take a connection.
	harmedAt, refusedAt time.Time
}

// newProxy opens a link from a port of host that the kernel chooses.
func newProxy(host, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(map[*net.TCPConn]bool), silenced: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close ends the link and its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(linkReset)
}

// set harms or mends the link.
func (p *proxy) set(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault != fault {
		p.harmedAt = time.Now()
	}
	p.fault = fault
	if fault != linkReset {
		return
	}
	for c := range p.open {
		reset(c)
	}
}

// silence lets the open connections go silent for good, without a reset. New ones
// work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harmedAt = time.Now()
	for c := range p.open {
		p.silenced[c] = true
	}
}

// isSilenced reports whether a connection carries nothing more.
func (p *proxy) isSilenced(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenced[c]
}

func (p *proxy) current() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// refusedSince reports whether the far side has not taken a connection since a
// time. Towards the near side that looks like a reset.
func (p *proxy) refusedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusedAt.After(t)
}

// soundSince reports whether nothing has harmed the link since a time.
func (p *proxy) soundSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault == linkSound && p.harmedAt.Before(t)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(c.(*net.TCPConn))
	}
}

// carry joins a connection to the far side until either end closes.
func (p *proxy) carry(near *net.TCPConn) {
	if p.current() == linkReset {
		reset(near)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	raw, err := net.DialTimeout("tcp", target, dialWithin)
	if err != nil {
		p.mu.Lock()
		p.refusedAt = time.Now()
		p.mu.Unlock()
		reset(near)
		return
	}
	far := raw.(*net.TCPConn)
	p.hold(near, far)
	defer p.release(near, far)
	done := make(chan struct{}, 2)
	go func() { p.copy(far, near, false); done <- struct{}{} }()
	go func() { p.copy(near, far, true); done <- struct{}{} }()
	<-done
	<-done
}

func (p *proxy) hold(all ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range all {
		p.open[c] = true
	}
}

func (p *proxy) release(all ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range all {
		delete(p.open, c)
		delete(p.silenced, c)
		_ = c.Close()
	}
}

// copy carries bytes one way; back says that they come from the far side.
func (p *proxy) copy(to, from *net.TCPConn, back bool) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		p.await(back, n)
		if p.isSilenced(from) {
			if err != nil {
				// Only this side learns that its end was closed.
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.end(to, err)
			return
		}
	}
}

// await holds bytes back for as long as the link is harmed that way, or takes to
// carry them.
func (p *proxy) await(back bool, bytes int) {
	for {
		switch p.current() {
		case linkSlow:
			time.Sleep(linkDelay)
			return
		case linkNarrow:
			time.Sleep(time.Duration(bytes) * time.Second / linkRate)
			return
		case linkSilent:
		case linkOneWay:
			if !back {
				return
			}
		default:
			return
		}
		time.Sleep(linkLook)
	}
}

// end passes the end of one side on as it was: a close or a reset.
func (p *proxy) end(to *net.TCPConn, err error) {
	if err == io.EOF {
		_ = to.CloseWrite()
		return
	}
	reset(to)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
