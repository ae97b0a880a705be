package relay

import "time"

// connectionCost is the cost of a new connection: a round trip between data halls, and the
// millisecond that a worker takes to accept it.
const connectionCost = 5 * time.Millisecond

// openingCost returns the cost added to the predicted wait if no connection to the replica's head
// is kept. It includes noise, the uncertainty of predictions, so that a smaller difference
// doesn't open a connection. A replica with a single free slot is not preferred, since another
// daemon may take that slot at the same time.
func (c costs) openingCost(worker string, busy float64, noise time.Duration) time.Duration {
	if c.connected[worker] && busy+1 < c.slots {
		return 0
	}
	return connectionCost + noise
}
