package daemon

import (
	"time"

	"quartzshelf.dev/rpc"
)

const (
	// spreadTime is how long news of a leaving daemon takes to spread.
	spreadTime = 2 * time.Second
	// handOverLimit bounds the wait for others to take over domains.
	handOverLimit = 10 * time.Second
	handOverPoll  = 100 * time.Millisecond
	// inflightLimit bounds the wait for requests in flight.
	inflightLimit = 10 * time.Minute
	serverLimit   = 2 * time.Second
)

// Stop ends the daemon as planned: it tells those who ask for addresses first,
// serves for as long as answers given out stay valid, hands its domains over,
// finishes what is in flight, and goes.
func (d *Daemon) Stop() {
	defer close(d.done)
	others := len(d.stayingMembers()) > 1
	d.logger.Info("stopping", "others", others)
	d.agent.Table().UpdateSelf(func(m *rpc.Member) { m.Leaving = true })
	until := d.readiness.lastEntriesUntil()
	if others {
		// Peers may have named this daemon until they heard that it leaves.
		until = time.Now().Add(spreadTime + d.settings.KeepEntries)
		d.handOver()
	}
	time.Sleep(time.Until(until))
	d.readiness.stop()
	d.logger.Info("finishing requests in flight", "requests", d.gateway.Inflight().Total())
	if err := d.gateway.Stop(inflightLimit); err != nil {
		d.logger.Error("requests in flight were cut off", "error", err)
	}
	d.agent.Table().Leave()
	if others {
		time.Sleep(spreadTime)
	}
	d.end()
	d.logger.Info("stopped")
}

// handOver waits until other daemons own the domains of this one.
func (d *Daemon) handOver() {
	limit := time.Now().Add(handOverLimit)
	for time.Now().Before(limit) {
		owned := 0
		for _, g := range d.grants.Grants() {
			if g.Owner() == d.settings.Name {
				owned++
			}
		}
		if owned == 0 {
			return
		}
		time.Sleep(handOverPoll)
	}
	d.logger.Warn("domains were not all handed over; deputies take them when this daemon is gone")
}

// Kill ends the daemon at once, as a crash would.
func (d *Daemon) Kill() {
	defer close(d.done)
	d.end()
}

// end stops the duties and the servers.
func (d *Daemon) end() {
	d.cancel()
	// Errors here are of connections that are cut on purpose.
	_ = d.operators.app.ShutdownWithTimeout(serverLimit)
	_ = d.gateway.Stop(0)
	_ = d.peerHTTP.Close()
	d.listeners.close()
	d.duties.Wait()
	d.dialer.close()
	if d.embedded != nil {
		d.embedded.Stop()
	}
}
