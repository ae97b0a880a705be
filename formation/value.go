package formation

import (
	"math"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// planningHorizon is the period over which the value of a plan is computed. It is about twice
	// the duration of a load from the weight store, so that a group that has to load still has
	// value.
	planningHorizon = 30 * time.Second
	// saturation determines how quickly the fraction of served requests rises with the number of
	// replicas. With all wanted replicas, the fraction is 1-exp(-saturation), about 0.95.
	saturation = 3
	// workerLossProbability is the probability that a given worker is lost while the planned groups
	// are formed.
	workerLossProbability = 0.01
)

// HallLossPolicy specifies how a plan accounts for the loss of data halls.
type HallLossPolicy struct {
	// MaxLost is the number of halls whose simultaneous loss a plan accounts for. If it is zero,
	// plans do not account for hall losses.
	MaxLost int
	// Weight is the weight of requests lost with a hall, relative to requests lost now.
	Weight float64
}

// valuation computes the value of a plan, which is the sum of the values of all models. The value
// of a model is the fraction of its requests that are served. It is adjusted for the possible loss
// of a worker and of halls.
type valuation struct {
	needs    []Need
	hallLoss HallLossPolicy
	// replicasByHall holds the number of replicas that serve or are being formed, by model and
	// hall.
	replicasByHall map[string]map[string]int
}

// servedShare returns the fraction of a model's requests that the replicas serve in time.
func (n Need) servedShare(replicas float64) float64 {
	if n.Want <= 0 || replicas <= 0 {
		return 0
	}
	return 1 - math.Exp(-saturation*replicas/n.Want)
}

// valueOf returns a model's value with the given mean number of replicas over the planning horizon.
// hallLoss is the number of these replicas that the worst hall losses would take out of service.
func (v *valuation) valueOf(n Need, replicas, hallLoss float64) float64 {
	current := n.servedShare(replicas)
	lossProbability := min(workerLossProbability*float64(n.Model.Size)*replicas, 1)
	value := current + lossProbability*(n.servedShare(replicas-1)-current)
	if v.hallLoss.MaxLost > 0 {
		value += v.hallLoss.Weight * (n.servedShare(replicas-hallLoss) - current)
	}
	return value
}

// worstHallLoss returns how many replicas of a model are lost if the MaxLost halls with the most
// replicas are lost. The replicas in added, which are counted by hall, are included.
func (v *valuation) worstHallLoss(model string, added map[string]int) float64 {
	if v.hallLoss.MaxLost <= 0 {
		return 0
	}
	var counts []int
	for hall, count := range v.replicasByHall[model] {
		counts = append(counts, max(count+added[hall], 0))
	}
	for hall, count := range added {
		if _, counted := v.replicasByHall[model][hall]; !counted {
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

// servingFraction returns the fraction of the planning horizon during which a new group of a model
// serves. It is at least 0.1.
func servingFraction(m fleet.Model, needsLoads bool) float64 {
	ready := m.WarmLoad
	if needsLoads {
		ready += m.Load
	}
	return max(1-ready.Seconds()/planningHorizon.Seconds(), 0.1)
}
