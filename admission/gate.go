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
// is above one waits in queues of the engines. docs/MEASUREMENTS.md tells how
// they were chosen.
const (
	// busyAbove is the reported occupancy above which limits apply at all.
	busyAbove = 0.7
	// fairAbove is the own occupancy above which accounts are held to a fair share.
	fairAbove = 0.9
	// fairSlack is by how much an account may exceed its fair share.
	fairSlack = 1.25
	// refuseAbove is the own occupancy above which requests of priority zero are refused.
	refuseAbove = 1.0
	// priorityStep is by how much one step of priority moves that limit.
	priorityStep = 0.1
	// priorityRange bounds the steps that count.
	priorityRange = 2
	// floodAbove is the reported occupancy above which nothing is taken.
	floodAbove = 3.0
	// retryUnit is the retry time for each full occupancy above the limit.
	retryUnit = 2 * time.Second
	minRetry  = time.Second
	maxRetry  = 30 * time.Second
)

// Situation is what the decision about a request depends on.
type Situation struct {
	// Reported is the mean occupancy of the deployment's replicas by their
	// reports, which are late.
	Reported float64
	// InFlight is how many requests to the deployment this daemon has in flight.
	InFlight int
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
//
// The limit is on this daemon's own requests in flight, held against its part
// of the slots: they are known at once, whereas reports are so late that limits
// on them alone swing between taking everything and nothing. Reports only tell
// whether the replicas are busy at all, so that a daemon with more callers than
// the others may use what they leave free.
func Decide(s Situation) *Refusal {
	if s.Reported >= floodAbove {
		return &Refusal{reason: reason.Overloaded, retryAfter: retryAfter(s.Reported - 1)}
	}
	if s.Reported < busyAbove {
		return nil
	}
	own := ownOccupancy(s)
	if limit := limitOf(s.Priority); own >= limit {
		return &Refusal{reason: reason.Overloaded, retryAfter: retryAfter(own - limit)}
	}
	if own >= fairAbove && float64(s.Own) >= fairShare(s) {
		return &Refusal{reason: reason.FairShare, retryAfter: retryAfter(own - fairAbove)}
	}
	return nil
}

// ownOccupancy returns this daemon's requests as a share of its part of the slots.
func ownOccupancy(s Situation) float64 {
	return float64(s.InFlight) * float64(max(s.Daemons, 1)) / float64(max(s.Slots, 1))
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
