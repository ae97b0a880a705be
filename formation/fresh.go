package formation

import (
	"maps"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// listPause is how long the list of a new fleet must not have grown to count as
	// whole: of 760 workers, listed within 4.5 s, two that follow one another are 6 ms
	// apart on average.
	listPause = 400 * time.Millisecond
	// listMost bounds that wait: requests come 10 s after the machines start or
	// later, and forming takes 2 s.
	listMost = 5 * time.Second
	// domainsPerModel is how many domains there must be for each model that domains are
	// given to: with fewer, the models' shares of the work are missed by too much.
	domainsPerModel = 2
)

// growth is how a service's part of the worker list grows in a new fleet.
type growth struct {
	workers int
	pauseBy time.Time
	endBy   time.Time
	// homes holds, by domain, the model that alone is formed there meanwhile.
	homes map[string]string
}

// homes returns, by domain, the model that alone may be formed there while the list
// of a new fleet still fills, and nil afterwards. Formed out of whoever is listed, the
// smallest model would take all domains before any has enough workers for a larger
// one. Waiting for the whole list instead lets all loads begin at once, which takes
// longer than the wait saves.
func (k *Keeper) homes(s *fleet.Service, view *fleet.View, now time.Time) map[string]string {
	g, ok := k.growths[s.Name]
	if !ok {
		g = &growth{endBy: now.Add(listMost), homes: make(map[string]string)}
		k.growths[s.Name] = g
	}
	domains := make(map[string]int)
	workers := 0
	for _, w := range view.Workers() {
		if w.Service == s.Name {
			domains[w.Domain]++
			workers++
		}
	}
	if workers > g.workers {
		g.workers, g.pauseBy = workers, now.Add(listPause)
	}
	if !now.Before(g.pauseBy) || !now.Before(g.endBy) || len(domains) < domainsPerModel*len(s.Engine.Models) {
		return nil
	}
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		if _, known := g.homes[domain]; !known {
			g.homes[domain] = g.nextHome(s.Engine)
		}
	}
	return g.homes
}

// nextHome returns the model that has the fewest domains for its share of the work.
func (g *growth) nextHome(e *fleet.Engine) string {
	count := make(map[string]float64)
	for _, model := range g.homes {
		count[model]++
	}
	best, least := "", 0.0
	for _, m := range e.Models {
		if m.Share <= 0 {
			continue
		}
		if fill := (count[m.Name] + 1) / m.Share; best == "" || fill < least {
			best, least = m.Name, fill
		}
	}
	return best
}
