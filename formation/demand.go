package formation

import (
	"maps"
	"math"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// targetUtilization is the part of a replica's slots that should be busy.
	targetUtilization = 0.7
	// demandRiseWeight and demandFall are the parts of a newly measured demand in the
	// smoothed one, at each tick, when it is higher and when it is lower.
	demandRiseWeight = 0.04
	demandFallWeight = 0.01
	// sharePeriod is how long after the first request to a new fleet the models' shares
	// count beside the measured work. A later leader goes by what is measured: where
	// each one counted the shares anew, terms of ten seconds made replicas turn from
	// one model to the other and back.
	sharePeriod = 10 * time.Second
	// spareReplicas is how many replicas more than the measured demand are wanted.
	spareReplicas = 1
	// rereadPauseShare is the part of what a pause leaves beside two passes in which the others
	// read the prompts of a replica that is lost. Callers choose at random, so that some
	// replica gets twice the mean, and new prompts come meanwhile.
	rereadPauseShare = 0.25
)

// Work is the measured work of a model over all daemons.
type Work struct {
	// Busy is how many slots are taken, Prompts how many prompt tokens the requests
	// there have.
	Busy, Prompts float64
	// Pause is the longest pause that all its callers bear; zero if none is known.
	Pause time.Duration
}

// replicasForLoss returns how many replicas a model needs so that the requests of one that is
// lost can go on at the others, which then read their prompts, without a pause that
// callers there don't bear.
func replicasForLoss(e *fleet.Engine, model string, w Work) float64 {
	pass, perRequest := e.Pass(model)
	allowed := rereadPauseShare * (w.Pause - 2*(pass+time.Duration(targetUtilization*float64(e.Slots))*perRequest)).Seconds()
	if allowed <= 0 {
		return 0
	}
	reading := w.Prompts * e.PerToken(model).Seconds()
	// The prompts of one of n replicas are read by n-1 others.
	return (1 + math.Sqrt(1+4*reading/allowed)) / 2
}

// computeNeeds returns what is wanted and there of each model, and where that is: by model and
// data hall. Groups in closed halls don't count.
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

// countWorkers returns how many workers of a service are listed.
func countWorkers(s *fleet.Service, view *fleet.View) int {
	workers := 0
	for _, w := range view.Workers() {
		if w.Service == s.Name {
			workers++
		}
	}
	return workers
}

// wantedReplicas returns the wanted number of replicas: by the measured work, or by the
// model's share before any was measured.
func (k *Keeper) wantedReplicas(e *fleet.Engine, m fleet.Model, workers int) float64 {
	byShare := m.Share * float64(workers) / float64(max(m.Size, 1))
	work := k.smoothedWork[m.Name]
	byDemand := work.Busy/(targetUtilization*float64(max(e.Slots, 1))) + spareReplicas
	// Where replicas run slowly, requests stay longer and their prompts add up: the
	// plan for the whole fleet bounds what is wanted for a loss, or the other models pay.
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

// inheritSmoothedWork takes over the smoothed work that this daemon knew before the term, so
// that what is wanted does not jump with each leader.
func (k *Keeper) inheritSmoothedWork() {
	if k.opts.Smoothed != nil {
		maps.Copy(k.smoothedWork, k.opts.Smoothed())
	}
}

func (k *Keeper) updateSmoothedWork() {
	for model, measured := range k.opts.Demand() {
		held, ok := k.smoothedWork[model]
		if !ok {
			held = measured
		}
		k.smoothedWork[model] = held.smoothedToward(measured, 1)
	}
}
