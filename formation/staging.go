package formation

import (
	"context"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

// keepLongIdle returns the stagings whose workers have been idle for longer than listSettleTime. In
// a new fleet, a worker that has been idle for less time is usually about to be put into a group.
func (rc *Reconciler) keepLongIdle(stagings []Staging, now time.Time) []Staging {
	var all []Staging
	idleSince := make(map[string]time.Time)
	for _, s := range stagings {
		since, ok := rc.idleSince[s.Worker]
		if !ok {
			since = now
		}
		idleSince[s.Worker] = since
		if now.Sub(since) > listSettleTime {
			all = append(all, s)
		}
	}
	rc.idleSince = idleSince
	return all
}

// secondModelStagings returns stagings of a second model for workers that serve another one, so
// that they can quickly switch to it. It must be called only while loads are not limited. A worker
// needs no staged copy of the model that it serves.
func (rc *Reconciler) secondModelStagings(s *fleet.Service, view *fleet.View) []Staging {
	var all []Staging
	for id, w := range view.Workers() {
		m := rc.membershipOf(w)
		_, isLoading := rc.activeLoads[id]
		if w.Service != s.Name || w.Draining || isLoading || rc.busyWorkers[id] || m.State != fleet.Open && m.State != fleet.Ready {
			continue
		}
		ownModel := fleet.ModelOf(m.Group)
		if otherModel := largestOtherModel(s.Engine, ownModel); otherModel != "" && !w.HasStaged(otherModel) {
			all = append(all, Staging{Worker: id, Model: otherModel})
		}
	}
	return all
}

// largestOtherModel returns the model with the largest configured share, except for the given one.
func largestOtherModel(e *fleet.Engine, excluded string) string {
	best, highestShare := "", -1.0
	for _, m := range e.Models {
		if m.Name != excluded && m.InitialShare > highestShare {
			best, highestShare = m.Name, m.InitialShare
		}
	}
	return best
}

// stageRetryDelay is the time for which a worker that refused to stage gets no new order to stage.
// A worker refuses while it is loading, and a new leader may not know of the load.
const stageRetryDelay = 2 * time.Second

// unlimitedLoads is used as the number of loads that may begin when loads are not limited.
const unlimitedLoads = 1 << 20

// groupLoadFactor and idleLoadFactor limit the concurrent loads for groups and for idle workers.
// They are multiples of MaxConcurrentLoads, the number of loads that do not slow each other down.
// Loads for groups may exceed that number, since a slowed load still ends sooner than one that has
// to wait. The limit for idle workers is lower, so that groups rarely wait for the loads of idle
// workers.
const (
	groupLoadFactor = 1.5
	idleLoadFactor  = 0.5
)

// allowedLoads returns how many loads may begin now for groups, and how many for idle workers.
// Before the first request, loads are quick and not limited.
func (rc *Reconciler) allowedLoads(s *fleet.Service, view *fleet.View, budget *loadBudget, now time.Time) (maxGroupLoads, maxIdleLoads int) {
	if !rc.hasTraffic() {
		return unlimitedLoads, unlimitedLoads
	}
	runningLoads, availableLoads := float64(rc.countRunningLoads(s, view)), budget.availableLoads(now)
	loadsAtOnce := float64(s.Engine.MaxConcurrentLoads)
	return min(int(groupLoadFactor*loadsAtOnce-runningLoads), availableLoads), min(int(idleLoadFactor*loadsAtOnce-runningLoads), availableLoads)
}

// clearFinishedLoads removes the records of loads that have ended or expired. The caller must hold
// rc.mu.
func (rc *Reconciler) clearFinishedLoads(view *fleet.View, now time.Time) {
	for id, l := range rc.activeLoads {
		w, isListed := view.Worker(id)
		if now.After(l.expiresAt) || isListed && w.HasStaged(l.model) {
			delete(rc.activeLoads, id)
		}
	}
}

// countRunningLoads returns the number of recorded loads of all services, plus the other workers of
// this service that are loading to join a group.
func (rc *Reconciler) countRunningLoads(s *fleet.Service, view *fleet.View) int {
	count := 0
	for id, w := range view.Workers() {
		_, isLoading := rc.activeLoads[id]
		if isLoading || w.Service == s.Name && rc.isLoadingForJoin(w) {
			count++
		}
	}
	return count
}

// isLoadingForJoin reports whether a worker is loading weights to join a group. The join may have
// been ordered by an earlier leader.
func (rc *Reconciler) isLoadingForJoin(w *fleet.Worker) bool {
	m := rc.membershipOf(w)
	return m.State == fleet.Joining && rc.asFreeWorker(w).warmth(fleet.ModelOf(m.Group)) > Staged
}

// countWarm returns the number of workers that are warm for a model or in one of its groups, by
// domain and model. Draining workers are not counted.
func (rc *Reconciler) countWarm(s *fleet.Service, view *fleet.View) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, w := range view.Workers() {
		if w.Service != s.Name || w.Draining {
			continue
		}
		if counts[w.Domain] == nil {
			counts[w.Domain] = make(map[string]int)
		}
		for _, m := range s.Engine.Models {
			if rc.asFreeWorker(w).warmth(m.Name) <= Staged || fleet.ModelOf(rc.membershipOf(w).Group) == m.Name {
				counts[w.Domain][m.Name]++
			}
		}
	}
	return counts
}

// budgetOf returns the load budget of a service.
func (rc *Reconciler) budgetOf(s *fleet.Service, now time.Time) *loadBudget {
	l, ok := rc.loadBudgets[s.Name]
	if !ok {
		l = &loadBudget{}
		rc.loadBudgets[s.Name] = l
	}
	burst := s.Engine.MaxConcurrentLoads
	for _, m := range s.Engine.Models {
		burst = max(burst, m.Size)
	}
	l.configure(rc.opts.LoadLimit, s.Engine.LoadsPerSecond, float64(burst), rc.term.IsFirst, now)
	return l
}

// recordLoad records a load if the worker is cold for the model. The caller must hold rc.mu.
func (rc *Reconciler) recordLoad(w *fleet.Worker, m fleet.Model) {
	if rc.asFreeWorker(w).warmth(m.Name) > Staged {
		rc.activeLoads[w.ID] = activeLoad{model: m.Name, expiresAt: time.Now().Add(loadTimeFactor * m.Load)}
	}
}

// clearLoads removes the recorded loads of workers.
func (rc *Reconciler) clearLoads(ids []string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, id := range ids {
		delete(rc.activeLoads, id)
	}
}

// startStaging starts staging a model on a worker's host. The caller must hold rc.mu.
func (rc *Reconciler) startStaging(ctx context.Context, w *fleet.Worker, m fleet.Model) {
	rc.recordLoad(w, m)
	rc.opts.Logger.Info("staging", "worker", w.ID, "model", m.Name)
	rc.tasks.Go(func() {
		if rc.stage(ctx, w, m) {
			return
		}
		rc.clearLoads([]string{w.ID})
		if ctx.Err() == nil {
			rc.opts.Logger.Warn("staging not taken", "worker", w.ID, "model", m.Name)
		}
	})
}

// stage orders a worker to stage a model, and reports whether it accepted. The worker accepts the
// order at most once, so that each load that begins is recorded.
func (rc *Reconciler) stage(ctx context.Context, w *fleet.Worker, m fleet.Model) bool {
	current, ok := rc.orderStateOf(ctx, w)
	if !ok {
		return false
	}
	verdict, ok := rc.sendOrder(ctx, "stage", w, func(ctx context.Context, fence Fence) (Verdict, error) {
		return rc.opts.Orders.Stage(ctx, w, fence, current.orderCount, m.Name)
	})
	switch {
	case !ok:
		return false
	case verdict == StateMismatch:
		rc.forgetOrderState(w.ID)
		rc.recordStageRefusal(w)
	}
	rc.recordBegun(w.ID, verdict)
	return verdict.IsAccepted()
}

// recordStageRefusal records that a worker refused to stage, for example because it is already
// loading. The worker is then not ordered again immediately. No token is returned to the load
// budget, since none may have been taken for the load.
func (rc *Reconciler) recordStageRefusal(w *fleet.Worker) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.stageRetryAt[w.ID] = time.Now().Add(stageRetryDelay)
}

// dropRecentlyRefused returns the stagings whose workers did not recently refuse to stage. The
// caller must hold rc.mu.
func (rc *Reconciler) dropRecentlyRefused(stagings []Staging, now time.Time) []Staging {
	return slices.DeleteFunc(stagings, func(s Staging) bool { return now.Before(rc.stageRetryAt[s.Worker]) })
}
