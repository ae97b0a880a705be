package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// listQuietPeriod is the time without new workers after which the worker list of a new fleet is
	// considered complete.
	listQuietPeriod = 400 * time.Millisecond
	// maxListWait is the maximum time to wait for a complete worker list.
	maxListWait = 5 * time.Second
)

// listGrowth tracks how many workers of a service are listed in a new fleet. The worker list is
// considered complete at completeAt, and at the latest at deadline.
type listGrowth struct {
	workerCount int
	completeAt  time.Time
	deadline    time.Time
}

// isListGrowing reports whether more workers of a new fleet are expected to be listed. If groups
// were formed before the worker list is complete, groups of the smallest model would take most
// domains. The larger models would then find no domain with enough workers.
func (rc *Reconciler) isListGrowing(s *fleet.Service, view *fleet.View, now time.Time) bool {
	workerCount := countWorkers(s, view)
	g, ok := rc.listGrowths[s.Name]
	if !ok {
		g = &listGrowth{deadline: now.Add(maxListWait)}
		rc.listGrowths[s.Name] = g
	}
	if workerCount > g.workerCount {
		g.workerCount, g.completeAt = workerCount, now.Add(listQuietPeriod)
	}
	return now.Before(g.completeAt) && now.Before(g.deadline)
}
