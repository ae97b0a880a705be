// Package admission decides early whether a request is taken: by the limit of
// its client account over the whole fleet, by priority under overload, and by
// a fair share among accounts.
package admission

import (
	"math"
	"time"

	"quartzshelf.dev/common/reason"
)

// Thresholds of occupancy. Occupancy one means that every slot is busy; what
// is above one waits in queues of the engines.
const (
	// fairAbove is the occupancy above which accounts are held to a fair share.
	fairAbove = 0.8
	// fairSlack is by how much an account may exceed its fair share.
	fairSlack = 1.25
	// refuseAbove is the occupancy above which requests of priority zero are refused.
	refuseAbove = 1.5
	// priorityStep is by how much one step of priority moves that limit.
	priorityStep = 0.25
	// priorityRange bounds the steps that count.
	priorityRange = 2
	// retryUnit is the retry time for each full occupancy above the limit.
	retryUnit = 2 * time.Second
	minRetry  = time.Second
	maxRetry  = 30 * time.Second
)

// Situation is what the decision about a request depends on.
type Situation struct {
	// Occupancy is the mean occupancy of the deployment's replicas.
	Occupancy float64
	// Slots is the sum of the replicas' slots, Daemons how many daemons share them.
	Slots   int
	Daemons int
	// Own is how many requests of the account are in flight at this daemon,
	// Accounts how many accounts have any.
	Own      int
	Accounts int
	Priority int
}

// Refusal says why a request is not taken and when to come again.
type Refusal struct {
	reason     reason.Reason
	retryAfter time.Duration
}

// Reason returns the reason of the refusal.
func (r Refusal) Reason() reason.Reason { return r.reason }

// RetryAfter returns how long the caller should wait before it asks again.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Decide returns nil when the request is taken.
func Decide(s Situation) *Refusal {
	if limit := limitOf(s.Priority); s.Occupancy >= limit {
		return &Refusal{reason: reason.Overloaded, retryAfter: retryAfter(s.Occupancy - limit)}
	}
	if s.Occupancy >= fairAbove && float64(s.Own) >= fairShare(s) {
		return &Refusal{reason: reason.FairShare, retryAfter: retryAfter(s.Occupancy - fairAbove)}
	}
	return nil
}

// limitOf returns the occupancy at which requests of a priority are refused.
func limitOf(priority int) float64 {
	steps := max(min(priority, priorityRange), -priorityRange)
	return refuseAbove + priorityStep*float64(steps)
}

// fairShare returns how many requests the account may have in flight here: an
// equal part of this daemon's part of the slots, with some slack.
func fairShare(s Situation) float64 {
	share := float64(s.Slots) / float64(max(s.Daemons, 1)) / float64(max(s.Accounts, 1))
	return max(math.Ceil(share*fairSlack), 1)
}

func retryAfter(excess float64) time.Duration {
	wait := minRetry + time.Duration(max(excess, 0)*float64(retryUnit))
	return min(wait, maxRetry)
}
