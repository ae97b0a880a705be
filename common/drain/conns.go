// Package drain closes the connections of an HTTP server without losing a request that was read.
package drain

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Conns tracks the connections of an HTTP server. It is safe for concurrent use.
type Conns struct {
	mu sync.Mutex
	// open holds all connections, busyCount is how many of them are busy.
	open      map[*conn]struct{}
	busyCount int
	// idleSince is when the last request was answered.
	idleSince time.Time
	isSealed  bool
	// changed is closed and replaced when a connection becomes busy or idle or is closed.
	changed chan struct{}
}

// Track tracks the connections of a server, which must serve a listener returned by Listener.
func Track(server *http.Server) *Conns {
	cs := &Conns{open: make(map[*conn]struct{}), idleSince: time.Now(), changed: make(chan struct{})}
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if next != nil {
			next(c, state)
		}
		if tracked := trackedConn(c); tracked != nil {
			tracked.onState(state)
		}
	}
	return cs
}

// track starts to track a connection.
func (cs *Conns) track(raw net.Conn) net.Conn {
	c := &conn{Conn: raw, conns: cs}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open[c] = struct{}{}
	return c
}

// AwaitIdle waits until no connection has been busy for idleTime. It returns false if that is not so by the
// deadline. A connection is busy from the first byte of a request until the answer has been written.
func (cs *Conns) AwaitIdle(idleTime time.Duration, deadline time.Time) bool {
	return cs.await(deadline, func() (at time.Time, isKnown bool) { return cs.idleSince.Add(idleTime), cs.busyCount == 0 })
}

// SealWhenIdle stops reading requests at a moment in which no connection is busy, or at the deadline. Idle
// connections are closed then, and busy ones after their answers.
func (cs *Conns) SealWhenIdle(deadline time.Time) {
	isSealed := cs.await(deadline, func() (at time.Time, isKnown bool) {
		if cs.busyCount == 0 {
			cs.seal()
		}
		return time.Time{}, cs.isSealed
	})
	if isSealed {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.seal()
}

// seal stops reading requests. The caller holds mu.
func (cs *Conns) seal() {
	cs.isSealed = true
	for c := range cs.open {
		if !c.isBusy {
			// On failure, the connection is closed already.
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// AwaitClosed waits until all connections are closed. It returns false if that is not so by the deadline.
func (cs *Conns) AwaitClosed(deadline time.Time) bool {
	return cs.await(deadline, func() (at time.Time, isKnown bool) { return time.Time{}, len(cs.open) == 0 })
}

// await waits until the time that due returns, as long as that is known, or until the deadline. It reports
// whether that time has come.
func (cs *Conns) await(deadline time.Time, due func() (at time.Time, isKnown bool)) bool {
	for {
		cs.mu.Lock()
		at, isKnown := due()
		changed := cs.changed
		cs.mu.Unlock()
		now := time.Now()
		switch {
		case isKnown && !now.Before(at):
			return true
		case !now.Before(deadline):
			return false
		case !isKnown || at.After(deadline):
			at = deadline
		}
		timer := time.NewTimer(time.Until(at))
		select {
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
}

// notify wakes those who wait. The caller holds mu.
func (cs *Conns) notify() {
	close(cs.changed)
	cs.changed = make(chan struct{})
}
