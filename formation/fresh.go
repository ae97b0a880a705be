package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// listQuietPeriod is how long the list of a new fleet must not have grown to count as whole.
	listQuietPeriod = 400 * time.Millisecond
	// maxListWait bounds that wait: requests come twice as long after the machines start, and
	// forming takes some of that.
	maxListWait = 5 * time.Second
)

// listGrowth is how a service's part of the worker list grows in a new fleet.
type listGrowth struct {
	workers  int
	quietAt  time.Time
	deadline time.Time
}

// isListGrowing reports whether the list of a new fleet still fills. Formed out of whoever
// is listed, the smallest model would take most domains before any has enough workers
// for a larger one, so that models then wait for their turn. Waiting for the whole list
// lets all loads begin at once, which takes longer than the wait saves.
func (k *Keeper) isListGrowing(s *fleet.Service, view *fleet.View, now time.Time) bool {
	workers := countWorkers(s, view)
	g, ok := k.listGrowths[s.Name]
	if !ok {
		g = &listGrowth{deadline: now.Add(maxListWait)}
		k.listGrowths[s.Name] = g
	}
	if workers > g.workers {
		g.workers, g.quietAt = workers, now.Add(listQuietPeriod)
	}
	return now.Before(g.quietAt) && now.Before(g.deadline)
}
