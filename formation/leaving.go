package formation

import (
	"context"
	"time"
)

const (
	// maxLeaveDelay bounds how long a group serves on after a member other than
	// its head said that it leaves: such a member stays for ten seconds at most
	// while the head has work, and the requests in flight need some of them.
	maxLeaveDelay = 6 * time.Second
	// leaveInterval is the least time between the dissolutions of two such groups
	// of one model: as long as draining and joining again take.
	leaveInterval = 3 * time.Second
)

// dissolveLeaving dissolves a group with a leaving member. Groups of one model are
// dissolved one after the other, so that the rest serve meanwhile, but none
// later than the member stays. A head that leaves can't wait: it takes no more
// requests.
func (k *Keeper) dissolveLeaving(ctx context.Context, o *observedGroup, now time.Time) {
	deadline, ok := k.leaveDeadlines[o.key]
	if !ok {
		deadline = now.Add(maxLeaveDelay)
		k.leaveDeadlines[o.key] = deadline
	}
	if !o.head.Draining && now.Before(deadline) && now.Before(k.nextLeaveDissolution[o.model.Name]) {
		return
	}
	k.nextLeaveDissolution[o.model.Name] = now.Add(leaveInterval)
	k.startOperation(ctx, o.key, o.members, func(ctx context.Context) { k.drain(ctx, o) })
}
