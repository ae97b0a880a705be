package formation

import (
	"context"
	"time"
)

const (
	// maxLeaveDelay bounds how long a group keeps serving after a member other than its head
	// announced that it leaves. Such a member stays for at most ten seconds while the head has
	// work, and requests in flight need part of that time.
	maxLeaveDelay = 6 * time.Second
	// leaveInterval is the minimum time between dissolving two such groups of one model: about as
	// long as draining and joining again take.
	leaveInterval = 3 * time.Second
)

// dissolveLeaving dissolves a group with a leaving member. Groups of one model are dissolved one
// at a time so that the others keep serving, but none later than its member stays. A group whose
// head leaves is dissolved immediately, since it takes no more requests.
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
