package formation

import (
	"maps"
	"math"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// targetUtilization is the intended fraction of busy slots in a replica.
	targetUtilization = 0.7
	// demandRiseWeight is the weight of a new measurement in the smoothed work, per tick, if the
	// measurement is higher than the smoothed value. demandFallWeight is its weight if the
	// measurement is lower.
	demandRiseWeight = 0.04
	demandFallWeight = 0.01
	// sharePeriod is the time after the first request to a new fleet in which the models'
	// configured shares are considered in addition to the measured work. Later leaders use only the
	// measured work. Otherwise, each leader change would make workers switch between models.
	sharePeriod = 10 * time.Second
	// spareReplicas is the number of replicas wanted in addition to those needed for the measured
	// work.
	spareReplicas = 1
	// rereadPauseShare is the fraction of the tolerated pause, less two forward passes, in which
	// the remaining replicas must read the prompts of a lost replica. The other part is a reserve
	// for uneven load and for new prompts.
	rereadPauseShare = 0.25
)

// Work is a model's measured work. BusySlots and PromptTokens are summed over all daemons.
type Work struct {
	// BusySlots is the number of occupied slots. PromptTokens is the number of prompt tokens of the
	// requests in these slots.
	BusySlots, PromptTokens float64
	// ToleratedPause is the longest pause that all callers of the model tolerate. It is zero if
	// unknown.
	ToleratedPause time.Duration
}

// replicasForLoss returns how many replicas a model needs to tolerate the loss of one. The other
// replicas must read the prompts of the lost replica's requests again, and continue these requests
// within the pause that callers tolerate. It returns 0 if that pause is too short for any number of
// replicas.
func replicasForLoss(e *fleet.Engine, model string, w Work) float64 {
	pass, perRequest := e.PassTimes(model)
	allowedSeconds := rereadPauseShare * (w.ToleratedPause - 2*(pass+time.Duration(targetUtilization*float64(e.Slots))*perRequest)).Seconds()
	if allowedSeconds <= 0 {
		return 0
	}
	readSeconds := w.PromptTokens * e.TimePerPromptToken(model).Seconds()
	// The prompts of one of n replicas are read by the n-1 others.
	return (1 + math.Sqrt(1+4*readSeconds/allowedSeconds)) / 2
}

// computeNeeds returns the wanted and the available number of replicas of each model, and the
// available number by model and data hall. Groups in closed halls do not count as available.
func (rc *Reconciler) computeNeeds(s *fleet.Service, groups []*observedGroup, view *fleet.View) ([]Need, map[string]map[string]int) {
	workerCount := countWorkers(s, view)
	replicaCounts, replicasByHall := make(map[string]int), make(map[string]map[string]int)
	addReplica := func(model, hall string) {
		if !rc.halls.isUsable(hall) {
			return
		}
		if replicasByHall[model] == nil {
			replicasByHall[model] = make(map[string]int)
		}
		replicasByHall[model][hall]++
		replicaCounts[model]++
	}
	completeGroups := make(map[string]bool)
	for _, o := range groups {
		completeGroups[o.key] = o.isComplete()
		if o.isComplete() && rc.retirements[o.key] == 0 {
			addReplica(o.model.Name, o.head.Zone)
		}
	}
	for key, g := range rc.formedGroups {
		if rc.busyGroups[key] && !completeGroups[key] {
			addReplica(g.Model, rc.knownWorkers[g.Members[0]].Zone)
		}
	}
	rc.updateSmoothedWork()
	var needs []Need
	for _, m := range s.Engine.Models {
		needs = append(needs, Need{Model: m, Want: rc.wantedReplicas(s.Engine, m, workerCount), Have: replicaCounts[m.Name]})
	}
	return needs, replicasByHall
}

// countWorkers returns the number of listed workers of a service.
func countWorkers(s *fleet.Service, view *fleet.View) int {
	count := 0
	for _, w := range view.Workers() {
		if w.Service == s.Name {
			count++
		}
	}
	return count
}

// wantedReplicas returns the wanted number of replicas of a model. The number is based on the
// measured work. Before there is any traffic, it is based on the model's configured share.
func (rc *Reconciler) wantedReplicas(e *fleet.Engine, m fleet.Model, workerCount int) float64 {
	byShare := m.InitialShare * float64(workerCount) / float64(max(m.Size, 1))
	work := rc.smoothedWork[m.Name]
	byDemand := work.BusySlots/(targetUtilization*float64(max(e.Slots, 1))) + spareReplicas
	// Slow replicas accumulate prompts. This limit keeps such a model from taking workers away from
	// other models.
	byDemand = max(byDemand, min(replicasForLoss(e, m.Name, work), byShare))
	now := time.Now()
	switch {
	case !rc.hasTraffic():
		return byShare
	case rc.trafficSince.IsZero():
		rc.trafficSince = now
	}
	if rc.isNewFleet && now.Sub(rc.trafficSince) < sharePeriod {
		return max(byShare, byDemand)
	}
	return byDemand
}

// inheritSmoothedWork starts the term with the smoothed work that this daemon tracked before. The
// number of wanted replicas then does not change abruptly when the leader changes.
func (rc *Reconciler) inheritSmoothedWork() {
	if rc.opts.SmoothedWork != nil {
		maps.Copy(rc.smoothedWork, rc.opts.SmoothedWork())
	}
}

func (rc *Reconciler) updateSmoothedWork() {
	for model, measured := range rc.opts.MeasuredWork() {
		previous, ok := rc.smoothedWork[model]
		if !ok {
			previous = measured
		}
		rc.smoothedWork[model] = previous.smoothedToward(measured, 1)
	}
}
