package formation

import (
	"math"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// horizon is how far a plan looks ahead: about two loads from the weight store, so that
	// a group which has to load still counts.
	horizon = 30 * time.Second
	// saturation says how fast the served part of a model's requests rises with its
	// replicas: at what is wanted 1-exp(-3) = 0.95 of them find a place at once, and
	// at fillTarget of it, where every slot would be busy, 0.88.
	saturation = 3
	// workerLossProbability is the chance that a worker is lost while the planned groups are formed.
	workerLossProbability = 0.01
)

// HallLossPolicy is what a plan weighs for the loss of data halls.
type HallLossPolicy struct {
	// MaxLost is how many halls may be lost at once; zero leaves the term out.
	MaxLost int
	// Weight is what a share of requests that such a loss takes costs, beside one that
	// is lost now.
	Weight float64
}

// valuation says what numbers of replicas earn: the sum over the models of the served
// part of their requests, now, after the loss of a worker and after that of halls.
type valuation struct {
	needs    []Need
	hallLoss HallLossPolicy
	// serving counts, by model and hall, the replicas that stand or are being formed.
	serving map[string]map[string]int
}

// servedShare returns the part of a model's requests that n replicas serve in time.
func (n Need) servedShare(replicas float64) float64 {
	if n.Want <= 0 || replicas <= 0 {
		return 0
	}
	return 1 - math.Exp(-saturation*replicas/n.Want)
}

// valueOf returns what a model earns with replicas, on the mean over the horizon, where
// lost are those that the worst halls take.
func (v *valuation) valueOf(n Need, replicas, lost float64) float64 {
	now := n.servedShare(replicas)
	lossProbability := min(workerLossProbability*float64(n.Model.Size)*replicas, 1)
	value := now + lossProbability*(n.servedShare(replicas-1)-now)
	if v.hallLoss.MaxLost > 0 {
		value += v.hallLoss.Weight * (n.servedShare(replicas-lost) - now)
	}
	return value
}

// worstHallLoss returns how many replicas of a model the worst halls hold, with more in one
// hall than serve today.
func (v *valuation) worstHallLoss(model string, more map[string]int) float64 {
	if v.hallLoss.MaxLost <= 0 {
		return 0
	}
	var counts []int
	for hall, count := range v.serving[model] {
		counts = append(counts, max(count+more[hall], 0))
	}
	for hall, count := range more {
		if _, counted := v.serving[model][hall]; !counted {
			counts = append(counts, max(count, 0))
		}
	}
	slices.SortFunc(counts, func(a, b int) int { return b - a })
	total := 0
	for _, count := range counts[:min(v.hallLoss.MaxLost, len(counts))] {
		total += count
	}
	return float64(total)
}

// servingFraction returns which part of the horizon a new group of a model serves.
func servingFraction(m fleet.Model, loads bool) float64 {
	ready := m.Warm
	if loads {
		ready += m.Load
	}
	return max(1-ready.Seconds()/horizon.Seconds(), 0.1)
}
