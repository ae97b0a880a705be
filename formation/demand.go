package formation

import (
	"maps"
	"math"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// targetUtilization is the fraction of a replica's slots that should be busy.
	targetUtilization = 0.7
	// demandRiseWeight and demandFallWeight are the weights of a new measurement in the smoothed
	// demand, per tick, when it is higher and when it is lower.
	demandRiseWeight = 0.04
	demandFallWeight = 0.01
	// sharePeriod is how long after the first request to a new fleet the models' configured shares
	// are considered in addition to the measured work. Later leaders use only the measured work:
	// if each applied the shares again, frequent leader changes would make replicas switch models
	// back and forth.
	sharePeriod = 10 * time.Second
	// spareReplicas is the number of replicas wanted beyond the measured demand.
	spareReplicas = 1
	// rereadPauseShare is the fraction of the allowed pause, less two passes, in which the
	// remaining replicas must read the prompts of a lost replica. It leaves room for uneven load,
	// since callers choose replicas at random, and for new prompts.
	rereadPauseShare = 0.25
)

// Work is the measured work of a model, summed over all daemons.
type Work struct {
	// Busy is the number of occupied slots, Prompts the number of prompt tokens of the requests in
	// them.
	Busy, Prompts float64
	// Pause is the longest pause that all callers of the model tolerate; zero if unknown.
	Pause time.Duration
}

// replicasForLoss returns how many replicas a model needs so that, if one is lost, its requests
// can continue at the others, which have to read the prompts again, without a pause longer than
// callers tolerate. It returns 0 if that pause is too short to allow it.
func replicasForLoss(e *fleet.Engine, model string, w Work) float64 {
	pass, perRequest := e.Pass(model)
	allowed := rereadPauseShare * (w.Pause - 2*(pass+time.Duration(targetUtilization*float64(e.Slots))*perRequest)).Seconds()
	if allowed <= 0 {
		return 0
	}
	reading := w.Prompts * e.PerToken(model).Seconds()
	// The prompts of one of n replicas are read by the n-1 others.
	return (1 + math.Sqrt(1+4*reading/allowed)) / 2
}

// computeNeeds returns the wanted and available replicas of each model, and the available ones by
// model and data hall. Groups in closed halls are not counted.
func (k *Keeper) computeNeeds(s *fleet.Service, groups []*observedGroup, view *fleet.View) ([]Need, map[string]map[string]int) {
	workers := countWorkers(s, view)
	have, serving := make(map[string]int), make(map[string]map[string]int)
	count := func(model, hall string) {
		if !k.halls.isUsable(hall) {
			return
		}
		if serving[model] == nil {
			serving[model] = make(map[string]int)
		}
		serving[model][hall]++
		have[model]++
	}
	isComplete := make(map[string]bool)
	for _, o := range groups {
		isComplete[o.key] = o.isComplete()
		if o.isComplete() && k.retirements[o.key] == 0 {
			count(o.model.Name, o.head.Zone)
		}
	}
	for key, g := range k.formedGroups {
		if k.busyGroups[key] && !isComplete[key] {
			count(g.Model, k.knownWorkers[g.Members[0]].Zone)
		}
	}
	k.updateSmoothedWork()
	var all []Need
	for _, m := range s.Engine.Models {
		all = append(all, Need{Model: m, Want: k.wantedReplicas(s.Engine, m, workers), Have: have[m.Name]})
	}
	return all, serving
}

// countWorkers returns the number of listed workers of a service.
func countWorkers(s *fleet.Service, view *fleet.View) int {
	workers := 0
	for _, w := range view.Workers() {
		if w.Service == s.Name {
			workers++
		}
	}
	return workers
}

// wantedReplicas returns the wanted number of replicas, based on the measured work, or on the
// model's configured share before there is any traffic.
func (k *Keeper) wantedReplicas(e *fleet.Engine, m fleet.Model, workers int) float64 {
	byShare := m.Share * float64(workers) / float64(max(m.Size, 1))
	work := k.smoothedWork[m.Name]
	byDemand := work.Busy/(targetUtilization*float64(max(e.Slots, 1))) + spareReplicas
	// Slow replicas hold requests longer, so prompts accumulate. Capping at the model's share
	// keeps this from starving the other models.
	byDemand = max(byDemand, min(replicasForLoss(e, m.Name, work), byShare))
	now := time.Now()
	switch {
	case !k.hasTraffic():
		return byShare
	case k.trafficSince.IsZero():
		k.trafficSince = now
	}
	if k.isNewFleet && now.Sub(k.trafficSince) < sharePeriod {
		return max(byShare, byDemand)
	}
	return byDemand
}

// inheritSmoothedWork adopts the smoothed work that this daemon tracked before the term, so that
// the wanted replicas do not jump with each new leader.
func (k *Keeper) inheritSmoothedWork() {
	if k.opts.Smoothed != nil {
		maps.Copy(k.smoothedWork, k.opts.Smoothed())
	}
}

func (k *Keeper) updateSmoothedWork() {
	for model, measured := range k.opts.Demand() {
		previous, ok := k.smoothedWork[model]
		if !ok {
			previous = measured
		}
		k.smoothedWork[model] = previous.smoothedToward(measured, 1)
	}
}
