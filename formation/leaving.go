package formation

import (
	"context"
	"time"
)

const (
	// leaveWithin bounds how long a group serves on after a member other than
	// its head said that it leaves: such a member stays for ten seconds at most
	// while the head has work, and the requests in flight need some of them.
	leaveWithin = 6 * time.Second
	// leaveEvery is the least time between the dissolutions of two such groups
	// of one model: as long as draining and joining again take.
	leaveEvery = 3 * time.Second
)

// mendLeaving dissolves a group with a leaving member. Groups of one model are
// dissolved one after the other, so that the rest serve meanwhile, but none
// later than the member stays. A head that leaves can't wait: it takes no more
// requests.
func (k *Keeper) mendLeaving(ctx context.Context, o *observed, now time.Time) {
	deadline, ok := k.leaveBy[o.key]
	if !ok {
		deadline = now.Add(leaveWithin)
		k.leaveBy[o.key] = deadline
	}
	if !o.head.Draining && now.Before(deadline) && now.Before(k.leaveNext[o.model.Name]) {
		return
	}
	k.leaveNext[o.model.Name] = now.Add(leaveEvery)
	k.begin(ctx, o.key, o.members, func(ctx context.Context) { k.drain(ctx, o) })
}
