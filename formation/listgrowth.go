package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// listQuietPeriod is how long the list of a new fleet must stop growing to be considered
	// complete.
	listQuietPeriod = 400 * time.Millisecond
	// maxListWait bounds the wait for a complete list.
	maxListWait = 5 * time.Second
)

// listGrowth tracks how a service's part of the worker list grows in a new fleet.
type listGrowth struct {
	workers  int
	quietAt  time.Time
	deadline time.Time
}

// isListGrowing reports whether workers of a new fleet are still being listed. If groups were
// formed right away, the smallest model would take most domains before any has enough workers for
// a larger one. Waiting for the complete list lets all loads begin at once, which saves more time
// than the wait costs.
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
