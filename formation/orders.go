// Package formation decides which workers form replicas, sends them their orders, and repairs
// broken replicas. One daemon at a time acts as leader. Workers reject late orders and orders of
// earlier leaders by their fencing tokens.
//
// The worker list is the list of all workers that a daemon receives from the store. A worker is
// warm for a model if it can serve the model without loading weights from the weight store, and
// cold otherwise. A trade dissolves groups of some models so that their workers can serve a model
// that has too few replicas.
package formation

import (
	"context"

	"quartzshelf.dev/fleet"
)

// Fence is a fencing token that orders commands over the lifetime of the fleet. A worker rejects a
// command whose fence is lower than the highest it has seen.
type Fence int64

const (
	rankBits     = 8
	sequenceBits = 20
	maxSequence  = 1<<sequenceBits - 1
	maxRank      = 1<<rankBits - 1
	// MaxEpoch is the highest epoch of a term for which there are fences.
	MaxEpoch = 1<<(63-rankBits-sequenceBits) - 1
)

// NewFence returns the fence of a term's command with the given sequence number.
func NewFence(epoch int64, rank int, sequence int64) Fence {
	return Fence(epoch<<(rankBits+sequenceBits) | int64(rank&maxRank)<<sequenceBits | sequence&maxSequence)
}

// Verdict is a worker's response to an order.
type Verdict int

// Possible verdicts.
const (
	// Started means that the worker has started to carry out the order.
	Started Verdict = iota
	// AlreadyStarted means that the worker is already carrying out the order, or has done so
	// before.
	AlreadyStarted
	// StateMismatch means that the order cannot be carried out in the worker's current state.
	StateMismatch
	// Fenced means that the worker has seen a higher fence.
	Fenced
	// WrongWorker means that another worker answered at the address.
	WrongWorker
	// Malformed means that the worker could not parse the order.
	Malformed
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Started:
		return "begun"
	case AlreadyStarted:
		return "holds"
	case StateMismatch:
		return "unfit"
	case Fenced:
		return "fenced"
	case WrongWorker:
		return "elsewhere"
	case Malformed:
		return "malformed"
	}
	return "unknown"
}

// IsAccepted reports whether the worker carries out the order or has done so.
func (v Verdict) IsAccepted() bool { return v == Started || v == AlreadyStarted }

// Group identifies a group in orders to workers.
type Group struct {
	Name  string
	Epoch int64
	Model string
	// Members holds the worker IDs, the head first.
	Members []string
}

// Key returns the group's name combined with its epoch.
func (g Group) Key() string {
	return fleet.GroupKey(fleet.Membership{Group: g.Name, Epoch: g.Epoch})
}

// WorkerState is a worker's state, as the worker itself reports it.
type WorkerState struct {
	Membership   fleet.Membership
	LoadedModel  string
	StagedModels []string
	// OrderCount is the number of orders that the worker has begun since it started.
	OrderCount int64
	// StartedAt is the time when the worker started, in Unix milliseconds. It is 0 if the worker
	// does not report it.
	StartedAt int64
}

// WorkerClient holds the functions that send orders to workers. An error means that no answer
// arrived. The order may nevertheless have been carried out, or may be carried out later.
type WorkerClient struct {
	// Join orders a worker to join a group. Join and Stage are carried out only by a worker that
	// has begun exactly the given number of orders. Any other worker answers StateMismatch.
	Join func(ctx context.Context, w *fleet.Worker, fence Fence, orderCount int64, g Group) (Verdict, error)
	// Stage orders a worker to copy a model's weights to its host without interrupting its work.
	Stage func(ctx context.Context, w *fleet.Worker, fence Fence, orderCount int64, model string) (Verdict, error)
	Open  func(ctx context.Context, w *fleet.Worker, fence Fence, g Group) (Verdict, error)
	// Close stops the group from taking new requests and lets those in flight finish.
	Close func(ctx context.Context, w *fleet.Worker, fence Fence, g Group) (Verdict, error)
	Leave func(ctx context.Context, w *fleet.Worker, fence Fence, g Group) (Verdict, error)
	// QueryState returns the worker's state, which may lag by some hundred milliseconds. The error
	// is ErrWrongWorker if another worker answered.
	QueryState func(ctx context.Context, w *fleet.Worker) (WorkerState, error)
}

// IndirectLeave sends an order to leave a group through any other daemon that can reach the worker.
// An error means that no daemon got an answer.
type IndirectLeave func(ctx context.Context, w *fleet.Worker, fence Fence, g Group) (Verdict, error)
