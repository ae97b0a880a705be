// Package admission decides whether a request is accepted. It enforces the rate limits of client
// accounts across all daemons. Under overload it refuses requests of low priority first, and limits
// each account to a fair share of the capacity.
package admission

import (
	"math"
	"time"

	"quartzshelf.dev/common/reason"
)

// Thresholds of occupancy. Occupancy is the number of requests in flight per slot. At an occupancy
// of one, all slots are busy, and further requests wait in the queues of the engines. The reported
// occupancy is the mean of the occupancies that the replicas reported. The own occupancy is the
// number of this daemon's requests per slot of its share.
const (
	// busyThreshold is the reported occupancy from which on limits apply.
	busyThreshold = 0.7
	// fairShareThreshold is the own occupancy from which on each account is limited to a fair
	// share.
	fairShareThreshold = 0.9
	// fairShareFactor is the fair share of an account as a multiple of an equal share.
	fairShareFactor = 1.25
	// refuseThreshold is the own occupancy from which on requests of priority zero are refused.
	refuseThreshold = 1.0
	// priorityStep is how much refuseThreshold increases with each step of priority.
	priorityStep = 0.1
	// maxPrioritySteps is the largest priority that has an effect. The smallest is
	// -maxPrioritySteps.
	maxPrioritySteps = 2
	// floodThreshold is the reported occupancy from which on all requests are refused.
	floodThreshold = 3.0
	// retryUnit is the time that is added to the suggested wait for each unit of occupancy above
	// the threshold.
	retryUnit = 2 * time.Second
	minRetry  = time.Second
	maxRetry  = 30 * time.Second
)

// Situation holds the inputs of the decision about a request.
type Situation struct {
	// ReportedOccupancy is the mean occupancy of the deployment's replicas according to their
	// reports, which are delayed.
	ReportedOccupancy float64
	// InFlight is the number of requests to the deployment that this daemon has in flight.
	InFlight int
	// Slots is the total number of slots of the replicas. Daemons is the number of daemons that
	// share them.
	Slots   int
	Daemons int
	// AccountInFlight is the number of requests of the account that this daemon has in flight.
	// Accounts is the number of accounts with requests in flight at this daemon.
	AccountInFlight int
	Accounts        int
	Priority        int
}

// Refusal says why a request is not accepted and when to retry.
type Refusal struct {
	reason     reason.Reason
	retryAfter time.Duration
}

// Reason returns the reason of the refusal.
func (r Refusal) Reason() reason.Reason { return r.reason }

// RetryAfter returns how long the client should wait before a retry.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Decide returns nil if the request is accepted, and a refusal otherwise.
//
// It limits this daemon's requests in flight to its share of the slots. The limit applies only if
// the reported occupancy is high, so that a busy daemon may use capacity that others leave unused.
// The reported occupancy is not used as a limit below floodThreshold. Because reports are delayed,
// such a limit would make the daemon alternate between accepting everything and nothing.
func Decide(s Situation) *Refusal {
	if s.ReportedOccupancy >= floodThreshold {
		return &Refusal{reason: reason.Overloaded, retryAfter: retryAfter(s.ReportedOccupancy - 1)}
	}
	if s.ReportedOccupancy < busyThreshold {
		return nil
	}
	own := ownOccupancy(s)
	if limit := refuseThresholdFor(s.Priority); own >= limit {
		return &Refusal{reason: reason.Overloaded, retryAfter: retryAfter(own - limit)}
	}
	if own >= fairShareThreshold && float64(s.AccountInFlight) >= fairShare(s) {
		return &Refusal{reason: reason.FairShare, retryAfter: retryAfter(own - fairShareThreshold)}
	}
	return nil
}

// ownOccupancy returns the number of this daemon's requests in flight for each slot of its share.
func ownOccupancy(s Situation) float64 {
	return float64(s.InFlight) * float64(max(s.Daemons, 1)) / float64(max(s.Slots, 1))
}

// refuseThresholdFor returns the own occupancy from which on requests of a priority are refused.
func refuseThresholdFor(priority int) float64 {
	steps := max(min(priority, maxPrioritySteps), -maxPrioritySteps)
	return refuseThreshold + priorityStep*float64(steps)
}

// fairShare returns the number of requests that the account may have in flight at this daemon: an
// equal part of the daemon's share of the slots, times fairShareFactor.
func fairShare(s Situation) float64 {
	share := float64(s.Slots) / float64(max(s.Daemons, 1)) / float64(max(s.Accounts, 1))
	return max(math.Ceil(share*fairShareFactor), 1)
}

// retryAfter returns how long to wait before a retry if the occupancy exceeds its threshold by
// excess.
func retryAfter(excess float64) time.Duration {
	wait := minRetry + time.Duration(max(excess, 0)*float64(retryUnit))
	return min(wait, maxRetry)
}
