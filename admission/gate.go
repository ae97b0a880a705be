// Package admission decides whether a request is accepted: by the rate limit of its client account
// across the fleet, by priority under overload, and by fair shares among accounts.
package admission

import (
	"math"
	"time"

	"quartzshelf.dev/common/reason"
)

// Thresholds of occupancy, the number of requests per slot. At an occupancy of one all slots are
// busy; further requests wait in the queues of the engines.
const (
	// busyThreshold is the reported occupancy from which on limits apply.
	busyThreshold = 0.7
	// fairShareThreshold is the own occupancy from which on accounts are limited to a fair share.
	fairShareThreshold = 0.9
	// fairShareFactor is the multiple of its equal share that an account may use.
	fairShareFactor = 1.25
	// refuseThreshold is the own occupancy from which on requests of priority zero are refused.
	refuseThreshold = 1.0
	// priorityStep is the change of refuseThreshold for each step of priority.
	priorityStep = 0.1
	// maxPrioritySteps caps the priority in either direction.
	maxPrioritySteps = 2
	// floodThreshold is the reported occupancy from which on all requests are refused.
	floodThreshold = 3.0
	// retryUnit is the retry delay for each unit of occupancy above the limit.
	retryUnit = 2 * time.Second
	minRetry  = time.Second
	maxRetry  = 30 * time.Second
)

// Situation holds the inputs of the decision about a request.
type Situation struct {
	// Reported is the mean occupancy of the deployment's replicas according to their reports,
	// which are delayed.
	Reported float64
	// InFlight is the number of requests to the deployment that this daemon has in flight.
	InFlight int
	// Slots is the sum of the replicas' slots, Daemons the number of daemons that share them.
	Slots   int
	Daemons int
	// Own is the number of requests of the account that this daemon has in flight, Accounts the
	// number of accounts with any.
	Own      int
	Accounts int
	Priority int
}

// Refusal is the reason why a request is not accepted, and when to retry.
type Refusal struct {
	reason     reason.Reason
	retryAfter time.Duration
}

// Reason returns the reason of the refusal.
func (r Refusal) Reason() reason.Reason { return r.reason }

// RetryAfter returns how long the client should wait before a retry.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Decide returns nil if the request is accepted.
//
// It limits this daemon's own requests in flight to its share of the slots, since that number is
// exact. Reports are too late to limit by: the daemon would oscillate between accepting everything
// and nothing. They only decide whether the limits apply at all, so that a busy daemon may use the
// capacity that others leave unused.
func Decide(s Situation) *Refusal {
	if s.Reported >= floodThreshold {
		return &Refusal{reason: reason.Overloaded, retryAfter: retryAfter(s.Reported - 1)}
	}
	if s.Reported < busyThreshold {
		return nil
	}
	own := ownOccupancy(s)
	if limit := limitOf(s.Priority); own >= limit {
		return &Refusal{reason: reason.Overloaded, retryAfter: retryAfter(own - limit)}
	}
	if own >= fairShareThreshold && float64(s.Own) >= fairShare(s) {
		return &Refusal{reason: reason.FairShare, retryAfter: retryAfter(own - fairShareThreshold)}
	}
	return nil
}

// ownOccupancy returns this daemon's requests in flight relative to its share of the slots.
func ownOccupancy(s Situation) float64 {
	return float64(s.InFlight) * float64(max(s.Daemons, 1)) / float64(max(s.Slots, 1))
}

// limitOf returns the own occupancy from which on requests of a priority are refused.
func limitOf(priority int) float64 {
	steps := max(min(priority, maxPrioritySteps), -maxPrioritySteps)
	return refuseThreshold + priorityStep*float64(steps)
}

// fairShare returns the number of requests that the account may have in flight at this daemon: an
// equal part of the daemon's share of the slots, times fairShareFactor.
func fairShare(s Situation) float64 {
	share := float64(s.Slots) / float64(max(s.Daemons, 1)) / float64(max(s.Accounts, 1))
	return max(math.Ceil(share*fairShareFactor), 1)
}

func retryAfter(excess float64) time.Duration {
	wait := minRetry + time.Duration(max(excess, 0)*float64(retryUnit))
	return min(wait, maxRetry)
}
