package formation

import (
	"math"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// horizon is how far a plan looks ahead: about two loads from the weight store, so that a
	// group that has to load still has value.
	horizon = 30 * time.Second
	// saturation determines how fast the fraction of served requests rises with the replicas: with
	// all wanted replicas, 1-exp(-3) = 0.95 of the requests find a slot immediately, and with
	// targetUtilization of them, where all slots would be busy, 0.88.
	saturation = 3
	// workerLossProbability is the probability that a worker is lost while the planned groups are
	// formed.
	workerLossProbability = 0.01
)

// HallLossPolicy tells how a plan accounts for the loss of data halls.
type HallLossPolicy struct {
	// MaxLost is how many halls may be lost at once; zero disables the consideration.
	MaxLost int
	// Weight is the weight of requests lost with a hall, relative to requests lost now.
	Weight float64
}

// valuation computes the value of numbers of replicas: the sum over the models of the fraction of
// requests served, now, after the loss of a worker and after the loss of halls.
type valuation struct {
	needs    []Need
	hallLoss HallLossPolicy
	// serving counts, by model and hall, the replicas that exist or are being formed.
	serving map[string]map[string]int
}

// servedShare returns the fraction of a model's requests that the replicas serve in time.
func (n Need) servedShare(replicas float64) float64 {
	if n.Want <= 0 || replicas <= 0 {
		return 0
	}
	return 1 - math.Exp(-saturation*replicas/n.Want)
}

// valueOf returns a model's value with a mean number of replicas over the horizon, of which the
// worst hall losses take lost.
func (v *valuation) valueOf(n Need, replicas, lost float64) float64 {
	current := n.servedShare(replicas)
	lossProbability := min(workerLossProbability*float64(n.Model.Size)*replicas, 1)
	value := current + lossProbability*(n.servedShare(replicas-1)-current)
	if v.hallLoss.MaxLost > 0 {
		value += v.hallLoss.Weight * (n.servedShare(replicas-lost) - current)
	}
	return value
}

// worstHallLoss returns how many replicas of a model the worst hall losses take, after adding the
// replicas in more, by hall.
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

// servingFraction returns the fraction of the horizon during which a new group of a model serves.
func servingFraction(m fleet.Model, loads bool) float64 {
	ready := m.Warm
	if loads {
		ready += m.Load
	}
	return max(1-ready.Seconds()/horizon.Seconds(), 0.1)
}
