package relay

import "time"

// connectionCost is what a new connection costs a request: a round trip between
// data halls, and the millisecond that a worker takes to accept it.
const connectionCost = 5 * time.Millisecond

// openingCost returns what is added to the predicted wait at a replica to which no
// connection is kept. Predicted waits are off by up to noise, so that a smaller
// difference is no reason to open one. A replica with one slot left is not preferred:
// others may take it meanwhile, and the request would be refused though another
// replica has room.
func (c costs) openingCost(worker string, busy float64, noise time.Duration) time.Duration {
	if c.connected[worker] && busy+1 < c.slots {
		return 0
	}
	return connectionCost + noise
}
