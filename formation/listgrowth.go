package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// listQuietPeriod is the time without new workers after which the list of a new fleet is
	// considered complete.
	listQuietPeriod = 400 * time.Millisecond
	// maxListWait is the maximum time to wait for a complete list.
	maxListWait = 5 * time.Second
)

// listGrowth tracks how many workers of a service are listed in a new fleet. The list is considered
// complete at completeAt, and at the latest at deadline.
type listGrowth struct {
	workerCount int
	completeAt  time.Time
	deadline    time.Time
}

// isListGrowing reports whether more workers of a new fleet are expected to be listed. If groups
// were formed before the list is complete, the smallest model would take most domains before any of
// them has enough workers for a larger model.
func (k *Keeper) isListGrowing(s *fleet.Service, view *fleet.View, now time.Time) bool {
	workers := countWorkers(s, view)
	g, ok := k.listGrowths[s.Name]
	if !ok {
		g = &listGrowth{deadline: now.Add(maxListWait)}
		k.listGrowths[s.Name] = g
	}
	if workers > g.workerCount {
		g.workerCount, g.completeAt = workers, now.Add(listQuietPeriod)
	}
	return now.Before(g.completeAt) && now.Before(g.deadline)
}
