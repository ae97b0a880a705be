package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

// warnOversizedModels logs a warning, once per model, if no domain has enough workers for it.
func (rc *Reconciler) warnOversizedModels(s *fleet.Service, view *fleet.View, now time.Time) {
	if now.Sub(rc.opts.FirstListAt()) < youngListAge {
		return
	}
	workerCounts, largestDomain := make(map[string]int), 0
	for _, w := range view.Workers() {
		if w.Service == s.Name {
			workerCounts[w.Domain]++
			largestDomain = max(largestDomain, workerCounts[w.Domain])
		}
	}
	for _, m := range s.Engine.Models {
		if m.Size > largestDomain && largestDomain > 0 && !rc.reportedOversized[m.Name] {
			rc.reportedOversized[m.Name] = true
			rc.opts.Logger.Warn("model is larger than any fabric domain", "model", m.Name, "size", m.Size, "largest_domain", largestDomain)
		}
	}
}
