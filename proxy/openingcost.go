package proxy

import "time"

// connectionCost is the assumed time to open a connection to a worker in another data hall.
const connectionCost = 5 * time.Millisecond

// openingCost returns the cost that is added to the predicted wait at a replica unless a connection
// to its head is kept. It includes the noise, so that random differences don't cause new
// connections. The cost is also added if fewer than two slots are free. Another daemon may take the
// last slot at the same time, so a kept connection must not make it preferred.
func (c costs) openingCost(worker string, inFlight float64, noise time.Duration) time.Duration {
	if c.connectedWorkers[worker] && inFlight+1 < c.slots {
		return 0
	}
	return connectionCost + noise
}
