package formation

import (
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// fillTarget is the part of a replica's slots that should be busy.
	fillTarget = 0.7
	// demandRise and demandFall are the parts of a newly measured demand in the
	// smoothed one, at each tick, when it is higher and when it is lower.
	demandRise = 0.04
	demandFall = 0.01
	// firstFor is how long after the first request the models' shares count
	// beside the measured work.
	firstFor = 10 * time.Second
	// reserve is how many replicas more than the measured demand are wanted.
	reserve = 1
)

// needs returns what is wanted and there of each model.
func (k *Keeper) needs(s *fleet.Service, groups []*observed, view *fleet.View) []Need {
	workers := workersOf(s, view)
	have := make(map[string]int)
	for _, o := range groups {
		if o.whole() && k.retired[o.key] == 0 {
			have[o.model.Name]++
		}
	}
	for key, g := range k.formed {
		if k.operating[key] && !slices.ContainsFunc(groups, func(o *observed) bool { return o.key == key && o.whole() }) {
			have[g.Model]++
		}
	}
	k.smoothDemand()
	var all []Need
	for _, m := range s.Engine.Models {
		all = append(all, Need{Model: m, Want: k.want(s.Engine, m, workers), Have: have[m.Name]})
	}
	return all
}

// workersOf returns how many workers of a service are listed.
func workersOf(s *fleet.Service, view *fleet.View) int {
	workers := 0
	for _, w := range view.Workers() {
		if w.Service == s.Name {
			workers++
		}
	}
	return workers
}

// want returns the wanted number of replicas: by the measured work, or by the
// model's share before any was measured.
func (k *Keeper) want(e *fleet.Engine, m fleet.Model, workers int) float64 {
	byShare := m.Share * float64(workers) / float64(max(m.Size, 1))
	byWork := k.smooth[m.Name]/(fillTarget*float64(max(e.Slots, 1))) + reserve
	now := time.Now()
	switch {
	case !k.traffic():
		return byShare
	case k.trafficSince.IsZero():
		k.trafficSince = now
	}
	if now.Sub(k.trafficSince) < firstFor {
		return max(byShare, byWork)
	}
	return byWork
}

func (k *Keeper) smoothDemand() {
	for model, demand := range k.opts.Demand() {
		held, ok := k.smooth[model]
		if !ok {
			held = demand
		}
		weight := demandFall
		if demand > held {
			weight = demandRise
		}
		k.smooth[model] = held + weight*(demand-held)
	}
}
