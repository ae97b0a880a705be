package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// listPause is how long the list of a new fleet must not have grown to count as whole.
	listPause = 400 * time.Millisecond
	// listMost bounds that wait: requests come twice as long after the machines start, and
	// forming takes some of that.
	listMost = 5 * time.Second
)

// growth is how a service's part of the worker list grows in a new fleet.
type growth struct {
	workers int
	pauseBy time.Time
	endBy   time.Time
}

// listGrows reports whether the list of a new fleet still fills. Formed out of whoever
// is listed, the smallest model would take most domains before any has enough workers
// for a larger one, so that models then wait for their turn. Waiting for the whole list
// lets all loads begin at once, which takes longer than the wait saves.
func (k *Keeper) listGrows(s *fleet.Service, view *fleet.View, now time.Time) bool {
	workers := workersOf(s, view)
	g, ok := k.growths[s.Name]
	if !ok {
		g = &growth{endBy: now.Add(listMost)}
		k.growths[s.Name] = g
	}
	if workers > g.workers {
		g.workers, g.pauseBy = workers, now.Add(listPause)
	}
	return now.Before(g.pauseBy) && now.Before(g.endBy)
}
