// Package formation decides which workers form replicas, gives them their
// orders, and mends what breaks. One daemon at a time leads it; fencing tokens
// make every order of an earlier leader, and every late one, void.
package formation

import (
	"context"

	"quartzshelf.dev/fleet"
)

// Fence orders commands over the life of the fleet: a worker refuses one that
// is lower than the highest it has seen.
type Fence int64

const (
	rankBits     = 8
	sequenceBits = 20
	maxSequence  = 1<<sequenceBits - 1
	maxRank      = 1<<rankBits - 1
)

// NewFence returns the fence of the numbered command of a term.
func NewFence(epoch int64, rank int, sequence int64) Fence {
	return Fence(epoch<<(rankBits+sequenceBits) | int64(rank&maxRank)<<sequenceBits | sequence&maxSequence)
}

// Verdict is how a worker took an order.
type Verdict int

// The verdicts.
const (
	// Begun orders are being carried out.
	Begun Verdict = iota
	// Holds says that the order is carried out, or was before.
	Holds
	// Unfit orders do not fit the worker's state.
	Unfit
	// Fenced orders came after one with a higher fence.
	Fenced
	// Elsewhere says that another worker has the address.
	Elsewhere
	// Malformed orders were not understood.
	Malformed
)

// String returns the verdict's name in logs and counters.
func (v Verdict) String() string {
	switch v {
	case Begun:
		return "begun"
	case Holds:
		return "holds"
	case Unfit:
		return "unfit"
	case Fenced:
		return "fenced"
	case Elsewhere:
		return "elsewhere"
	case Malformed:
		return "malformed"
	}
	return "unknown"
}

// Accepted reports whether the worker carries the order out or has done so.
func (v Verdict) Accepted() bool { return v == Begun || v == Holds }

// Group names a group towards a worker.
type Group struct {
	Name  string
	Epoch int64
	Model string
	// Members are worker ids; the first one is the head.
	Members []string
}

// Key returns the group's name in its epoch.
func (g Group) Key() string {
	return fleet.GroupKey(fleet.Membership{Group: g.Name, Epoch: g.Epoch})
}

// State is what a worker told of itself when asked.
type State struct {
	Member fleet.Membership
	Loaded string
	Staged []string
	// Orders is how many orders the worker has begun in its life.
	Orders int64
	// Born is when that life began, in Unix milliseconds; 0 if the worker does not tell.
	Born int64
}

// Orders reaches workers. An error of a function says that no answer came: the
// order may have been taken, or may be carried out later.
type Orders struct {
	// Join and Stage are carried out only by a worker that has begun just so many
	// orders; to any other one they are Unfit.
	Join func(ctx context.Context, w *fleet.Worker, fence Fence, orders int64, g Group) (Verdict, error)
	// Stage brings a model's weights to the worker's host, beside its work.
	Stage func(ctx context.Context, w *fleet.Worker, fence Fence, orders int64, model string) (Verdict, error)
	Open  func(ctx context.Context, w *fleet.Worker, fence Fence, g Group) (Verdict, error)
	// Close lets the group's requests end and takes no new ones.
	Close func(ctx context.Context, w *fleet.Worker, fence Fence, g Group) (Verdict, error)
	Leave func(ctx context.Context, w *fleet.Worker, fence Fence, g Group) (Verdict, error)
	// Ask returns the worker's state, which may lag by some hundred milliseconds. The
	// error is ErrElsewhere if another worker answered.
	Ask func(ctx context.Context, w *fleet.Worker) (State, error)
}

// IndirectLeave orders a worker to leave a group through any other daemon that
// reaches it. An error says that no answer came by any of them.
type IndirectLeave func(ctx context.Context, w *fleet.Worker, fence Fence, g Group) (Verdict, error)
