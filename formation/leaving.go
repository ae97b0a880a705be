package formation

import (
	"context"
	"time"
)

const (
	// maxLeaveDelay is the maximum time for which a group keeps serving after a member other than
	// its head announced that it is leaving. Such a member stays for up to ten seconds, and the
	// group must be drained within that time.
	maxLeaveDelay = 6 * time.Second
	// leaveInterval is the minimum time between two dissolutions of groups of one model because of
	// leaving members. A group is dissolved earlier if maxLeaveDelay requires it. Draining a group
	// and forming another one take about as long as this interval.
	leaveInterval = 3 * time.Second
)

// dissolveLeaving dissolves a group with a leaving member. If another group of the model was
// dissolved shortly before, it waits so that the model keeps serving, but not longer than
// maxLeaveDelay. A group whose head is leaving is dissolved immediately, since it takes no more
// requests.
func (rc *Reconciler) dissolveLeaving(ctx context.Context, o *observedGroup, now time.Time) {
	deadline, ok := rc.leaveDeadlines[o.key]
	if !ok {
		deadline = now.Add(maxLeaveDelay)
		rc.leaveDeadlines[o.key] = deadline
	}
	if !o.head.Draining && now.Before(deadline) && now.Before(rc.nextLeaveDissolution[o.model.Name]) {
		return
	}
	rc.nextLeaveDissolution[o.model.Name] = now.Add(leaveInterval)
	rc.startOperation(ctx, o.key, o.members, func(ctx context.Context) { rc.drain(ctx, o) })
}
