package formation

import (
	"maps"
	"math"
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
	// firstFor is how long after the first request to a new fleet the models' shares
	// count beside the measured work. A later leader goes by what is measured: where
	// each one counted the shares anew, terms of ten seconds made replicas turn from
	// one model to the other and back.
	firstFor = 10 * time.Second
	// reserve is how many replicas more than the measured demand are wanted.
	reserve = 1
	// lossPart is the part of what a pause leaves beside two passes in which the others
	// read the prompts of a replica that is lost. Callers choose at random, so that some
	// replica gets twice the mean, and new prompts come meanwhile.
	lossPart = 0.25
)

// Work is the measured work of a model over all daemons.
type Work struct {
	// Busy is how many slots are taken, Prompts how many prompt tokens the requests
	// there have.
	Busy, Prompts float64
	// Pause is the longest pause that all its callers bear; zero if none is known.
	Pause time.Duration
}

// afterLoss returns how many replicas a model needs so that the requests of one that is
// lost can go on at the others, which then read their prompts, without a pause that
// callers there don't bear.
func afterLoss(e *fleet.Engine, model string, w Work) float64 {
	pass, each := e.Pass(model)
	allowed := lossPart * (w.Pause - 2*(pass+time.Duration(fillTarget*float64(e.Slots))*each)).Seconds()
	if allowed <= 0 {
		return 0
	}
	reading := w.Prompts * e.PerToken(model).Seconds()
	// The prompts of one of n replicas are read by n-1 others.
	return (1 + math.Sqrt(1+4*reading/allowed)) / 2
}

// needs returns what is wanted and there of each model, and where that is: by model and
// data hall. Groups in closed halls don't count.
func (k *Keeper) needs(s *fleet.Service, groups []*observed, view *fleet.View) ([]Need, map[string]map[string]int) {
	workers := workersOf(s, view)
	have, serving := make(map[string]int), make(map[string]map[string]int)
	count := func(model, hall string) {
		if !k.halls.usable(hall) {
			return
		}
		if serving[model] == nil {
			serving[model] = make(map[string]int)
		}
		serving[model][hall]++
		have[model]++
	}
	whole := make(map[string]bool)
	for _, o := range groups {
		whole[o.key] = o.whole()
		if o.whole() && k.retired[o.key] == 0 {
			count(o.model.Name, o.head.Zone)
		}
	}
	for key, g := range k.formed {
		if k.operating[key] && !whole[key] {
			count(g.Model, k.former[g.Members[0]].Zone)
		}
	}
	k.smoothDemand()
	var all []Need
	for _, m := range s.Engine.Models {
		all = append(all, Need{Model: m, Want: k.want(s.Engine, m, workers), Have: have[m.Name]})
	}
	return all, serving
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
	work := k.smooth[m.Name]
	byWork := work.Busy/(fillTarget*float64(max(e.Slots, 1))) + reserve
	// Where replicas run slowly, requests stay longer and their prompts add up: the
	// plan for the whole fleet bounds what is wanted for a loss, or the other models pay.
	byWork = max(byWork, min(afterLoss(e, m.Name, work), byShare))
	now := time.Now()
	switch {
	case !k.traffic():
		return byShare
	case k.trafficSince.IsZero():
		k.trafficSince = now
	}
	if k.fresh && now.Sub(k.trafficSince) < firstFor {
		return max(byShare, byWork)
	}
	return byWork
}

// inheritDemand takes over the smoothed work that this daemon knew before the term, so
// that what is wanted does not jump with each leader.
func (k *Keeper) inheritDemand() {
	if k.opts.Smoothed != nil {
		maps.Copy(k.smooth, k.opts.Smoothed())
	}
}

func (k *Keeper) smoothDemand() {
	for model, measured := range k.opts.Demand() {
		held, ok := k.smooth[model]
		if !ok {
			held = measured
		}
		k.smooth[model] = held.toward(measured, 1)
	}
}
