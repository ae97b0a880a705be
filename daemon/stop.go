package daemon

import (
	"time"

	"quartzshelf.dev/rpc"
)

const (
	// membershipSpreadTime is how long a change of membership takes to reach all daemons.
	membershipSpreadTime = 2 * time.Second
	// handOverTimeout bounds the wait for others to take over domains.
	handOverTimeout      = 10 * time.Second
	handOverPollInterval = 100 * time.Millisecond
	// inflightTimeout bounds the wait for requests in flight.
	inflightTimeout         = 10 * time.Minute
	operatorShutdownTimeout = 2 * time.Second
)

// Stop stops the daemon and lets requests in flight finish, for inflightTimeout at most. It
// announces that the daemon is leaving, waits until others own its domains, for handOverTimeout at
// most, and serves until no caller can hold its address any more. It then refuses new requests, but
// keeps all connections open until those in flight are finished, and closes the ports.
func (d *Daemon) Stop() {
	defer close(d.done)
	hasOthers := len(d.stayingMembers()) > 1
	d.logger.Info("stopping", "others", hasOthers)
	d.agent.Table().UpdateSelf(func(m *rpc.Member) { m.Leaving = true })
	serveUntil := d.readiness.latestEntriesExpiry()
	if hasOthers {
		// Peers may give out this daemon's address until they know that it is leaving.
		serveUntil = time.Now().Add(membershipSpreadTime + d.settings.EntriesTTL)
		d.awaitHandOver()
	}
	time.Sleep(time.Until(serveUntil))
	d.readiness.setStopping()
	d.logger.Info("finishing requests in flight", "requests", d.gateway.InFlight().Total())
	inflightDeadline := time.Now().Add(inflightTimeout)
	d.gateway.Drain(inflightDeadline)
	if err := d.gateway.Stop(max(time.Until(inflightDeadline), 0)); err != nil {
		d.logger.Error("requests in flight were cut off", "error", err)
	}
	d.agent.Table().Leave()
	if hasOthers {
		time.Sleep(membershipSpreadTime)
	}
	d.shutDown()
	d.logger.Info("stopped")
}

// awaitHandOver waits until this daemon owns no domain, for handOverTimeout at most.
func (d *Daemon) awaitHandOver() {
	deadline := time.Now().Add(handOverTimeout)
	for time.Now().Before(deadline) {
		ownedDomains := 0
		for _, g := range d.grants.Grants() {
			if g.Owner() == d.settings.Name {
				ownedDomains++
			}
		}
		if ownedDomains == 0 {
			return
		}
		time.Sleep(handOverPollInterval)
	}
	d.logger.Warn("domains were not all handed over; deputies will lead them after this daemon stops")
}

// Kill stops the daemon at once, as a crash would, and cuts off requests in flight.
func (d *Daemon) Kill() {
	defer close(d.done)
	d.shutDown()
}

// shutDown stops the tasks and the servers, and closes all connections.
func (d *Daemon) shutDown() {
	d.cancel()
	// Errors are expected, because open connections are cut off.
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
