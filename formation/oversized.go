package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

// warnOversizedModels logs a warning, once per model, if no domain has enough workers for it.
func (k *Keeper) warnOversizedModels(s *fleet.Service, view *fleet.View, now time.Time) {
	if now.Sub(k.opts.ListSince()) < youngListAge {
		return
	}
	workers, largest := make(map[string]int), 0
	for _, w := range view.Workers() {
		if w.Service == s.Name {
			workers[w.Domain]++
			largest = max(largest, workers[w.Domain])
		}
	}
	for _, m := range s.Engine.Models {
		if m.Size > largest && largest > 0 && !k.reportedOversized[m.Name] {
			k.reportedOversized[m.Name] = true
			k.opts.Logger.Warn("model is larger than any fabric domain", "model", m.Name, "size", m.Size, "largest_domain", largest)
		}
	}
}
