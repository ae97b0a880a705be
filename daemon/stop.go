package daemon

import (
	"time"

	"quartzshelf.dev/rpc"
)

const (
	// membershipSpreadTime is how long news of a leaving daemon takes to spread.
	membershipSpreadTime = 2 * time.Second
	// handOverTimeout bounds the wait for others to take over domains.
	handOverTimeout      = 10 * time.Second
	handOverPollInterval = 100 * time.Millisecond
	// inflightTimeout bounds the wait for requests in flight.
	inflightTimeout         = 10 * time.Minute
	operatorShutdownTimeout = 2 * time.Second
)

// Stop ends the daemon as planned: it tells those who ask for addresses first,
// serves for as long as answers given out stay valid, hands its domains over,
// finishes what is in flight, and goes.
func (d *Daemon) Stop() {
	defer close(d.done)
	others := len(d.stayingMembers()) > 1
	d.logger.Info("stopping", "others", others)
	d.agent.Table().UpdateSelf(func(m *rpc.Member) { m.Leaving = true })
	until := d.readiness.latestEntriesExpiry()
	if others {
		// Peers may have named this daemon until they heard that it leaves.
		until = time.Now().Add(membershipSpreadTime + d.settings.KeepEntries)
		d.awaitHandOver()
	}
	time.Sleep(time.Until(until))
	d.readiness.setStopping()
	d.logger.Info("finishing requests in flight", "requests", d.gateway.Inflight().Total())
	if err := d.gateway.Stop(inflightTimeout); err != nil {
		d.logger.Error("requests in flight were cut off", "error", err)
	}
	d.agent.Table().Leave()
	if others {
		time.Sleep(membershipSpreadTime)
	}
	d.shutDown()
	d.logger.Info("stopped")
}

// awaitHandOver waits until other daemons own the domains of this one.
func (d *Daemon) awaitHandOver() {
	deadline := time.Now().Add(handOverTimeout)
	for time.Now().Before(deadline) {
		owned := 0
		for _, g := range d.grants.Grants() {
			if g.Owner() == d.settings.Name {
				owned++
			}
		}
		if owned == 0 {
			return
		}
		time.Sleep(handOverPollInterval)
	}
	d.logger.Warn("domains were not all handed over; deputies take them when this daemon is gone")
}

// Kill ends the daemon at once, as a crash would.
func (d *Daemon) Kill() {
	defer close(d.done)
	d.shutDown()
}

// shutDown stops the duties and the servers.
func (d *Daemon) shutDown() {
	d.cancel()
	// Errors here are of connections that are cut on purpose.
	_ = d.operatorServer.app.ShutdownWithTimeout(operatorShutdownTimeout)
	_ = d.gateway.Stop(0)
	_ = d.peerHTTP.Close()
	d.listeners.close()
	d.tasks.Wait()
	d.peerClients.closeIdle()
	if d.embedded != nil {
		d.embedded.Stop()
	}
}
