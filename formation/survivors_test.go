package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// groupsIn returns the number of groups in a domain that are not dissolved, by model.
func (w *world) groupsIn(domain string) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int)
	for _, s := range w.workers {
		if s.domain == domain && !s.isDead && s.group.Name != "" && s.rank == 0 {
			counts[s.group.Model]++
		}
	}
	return counts
}

// TestSurvivorsServeAnotherModel kills a member of a large group in a domain that has no
// replacement for it. The other members must serve the small model until a new worker arrives.
func TestSurvivorsServeAnotherModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 3, 4)
		w.demand = map[string]Work{"big": {BusySlots: 7}, "small": {BusySlots: 1}}
		_, big, stop := startServing(w, "big")
		w.pending.Go(func() { w.confirmList(50 * time.Second) })
		time.Sleep(sharePeriod + 8*time.Second)
		w.mu.Lock()
		domain := w.workers[big.Members[0]].domain
		w.mu.Unlock()
		before := w.countServing()["small"]
		w.kill(big.Members[2])
		// The worker list shows the loss after 3.6 s. The head then confirms immediately that it
		// left.
		time.Sleep(3600*time.Millisecond + time.Second)
		assert.DeepEqual(t, w.groupsIn(domain), map[string]int{"small": 1})
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.countServing()["small"], before+1)

		w.addStagedWorker(domain, "big")
		time.Sleep(6 * time.Second)
		stop()
		assert.DeepEqual(t, w.groupsIn(domain), map[string]int{"big": 1})
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// addStagedWorker adds a new worker that has a model staged on its host to the worker list.
func (w *world) addStagedWorker(domain, model string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &simWorker{id: "new-" + domain, domain: domain, staged: model}
	w.workers[s.id] = s
	w.publish(s)
}

// TestLacksMembers checks in which cases idle workers are too few for a group of a model that has
// too few replicas.
func TestLacksMembers(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 16}, fleet.Model{Name: "small", Size: 4}
	tests := map[string]struct {
		needs   []Need
		workers int
		want    bool
	}{
		"survivors of a large group":        {needs: []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 1, Have: 2}}, workers: 15, want: true},
		"enough for the large one":          {needs: []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 1, Have: 2}}, workers: 16},
		"too few for any":                   {needs: []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 1, Have: 2}}, workers: 3},
		"far more of the other model":       {needs: []Need{{Model: big, Want: 7, Have: 5}, {Model: small, Want: 18.6, Have: 30}}, workers: 14},
		"some more of the other model":      {needs: []Need{{Model: big, Want: 7, Have: 5}, {Model: small, Want: 18.6, Have: 20}}, workers: 14, want: true},
		"nothing is short":                  {needs: []Need{{Model: big, Want: 1, Have: 1}, {Model: small, Want: 1, Have: 2}}, workers: 15},
		"the other model is short also":     {needs: []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 3, Have: 2}}, workers: 15},
		"one model, larger than its domain": {needs: []Need{{Model: big, Want: 2}}, workers: 15},
		"a model without a size":            {needs: []Need{{Model: fleet.Model{}, Want: 2}, {Model: big, Want: 2}}, workers: 15},
		"no model":                          {workers: 15},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, lacksMembers(test.needs, test.workers), test.want)
		})
	}
}

// TestNeverReadyMemberIsAvoided checks that a worker that accepts its orders but never becomes
// ready delays only one group.
func TestNeverReadyMemberIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newUnlistedWorld(1, 1, 5)
		for _, s := range w.workers {
			s.staged = "big"
			w.publish(s)
		}
		w.workers["w0-0"].neverReady = true
		w.pending.Go(func() { w.confirmList(10 * time.Second) })
		k, stop := startTerm(w, 1)
		// The first attempt to form a group of warm workers may take 4.2 s, the next one 1.5 s.
		time.Sleep(7 * time.Second)
		k.mu.Lock()
		unreliable := k.isUnreliable("w0-0")
		k.mu.Unlock()
		assert.Assert(t, unreliable)
		assert.Equal(t, w.countServing()["big"], 1)
		time.Sleep(unreliableDuration)
		k.mu.Lock()
		unreliable = k.isUnreliable("w0-0")
		k.mu.Unlock()
		stop()
		assert.Assert(t, !unreliable)
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestUnreliableWorkersAreChosenLast checks that unreliable workers are used only if there are too
// few others.
func TestUnreliableWorkersAreChosenLast(t *testing.T) {
	big := fleet.Model{Name: "big", Size: 2, Load: simLoadTime, WarmLoad: simWarmJoinTime}
	worker := func(id, domain string, isUnreliable bool) FreeWorker {
		return FreeWorker{ID: id, Domain: domain, LoadedModel: "big", IsUnreliable: isUnreliable}
	}
	tests := map[string]struct {
		free []FreeWorker
		want []string
	}{
		"others are there":           {free: []FreeWorker{worker("a", "d", true), worker("b", "d", false), worker("c", "d", false)}, want: []string{"b", "c"}},
		"others are there, but cold": {free: []FreeWorker{worker("a", "d", true), worker("b", "d", false), {ID: "c", Domain: "d"}}, want: []string{"b", "c"}},
		"others in another domain":   {free: []FreeWorker{worker("a", "d", true), worker("b", "d", false), worker("c", "e", false), worker("f", "e", false)}, want: []string{"c", "f"}},
		"too few others":             {free: []FreeWorker{worker("a", "d", true), worker("b", "d", false)}, want: []string{"b", "a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			formations, _ := Plan(Input{Needs: []Need{{Model: big, Want: 1}}, Free: test.free, MaxLoads: 9})
			assert.Assert(t, len(formations) > 0)
			assert.DeepEqual(t, formations[0].Members, test.want)
		})
	}
}

// TestTradingDomainIsNotReleased covers a domain with an ongoing trade. The workers that are
// already free must not serve other models while the other groups of the trade are still draining.
func TestTradingDomainIsNotReleased(t *testing.T) {
	needs := []Need{{Model: fleet.Model{Name: "big", Size: 4}, Want: 2}, {Model: fleet.Model{Name: "small", Size: 2}, Want: 1, Have: 2}}
	free := []FreeWorker{{ID: "a", Domain: "d"}, {ID: "b", Domain: "d"}, {ID: "c", Domain: "e"}, {ID: "f", Domain: "e"}}
	k := NewReconciler(newWorld(1, 1, 0).options(), Term{Epoch: 1}, func() {})
	k.activeTrades = []Trade{{Recipient: "big", Domain: "d"}}
	now := time.Now()
	assert.DeepEqual(t, k.releasedDomains(needs, free, now), map[string]bool{"e": false})
	now = now.Add(survivorReleaseDelay)
	assert.DeepEqual(t, k.releasedDomains(needs, free, now), map[string]bool{"e": true})
	k.activeTrades = nil
	assert.DeepEqual(t, k.releasedDomains(needs, free, now), map[string]bool{"d": false, "e": true})
}

// TestSurvivorsAreCompletedByTrade checks that a surplus group of another model is dissolved to
// complete the survivors of a broken group, if a new worker would have to load.
func TestSurvivorsAreCompletedByTrade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 8)
		w.demand = map[string]Work{"big": {BusySlots: 1}, "small": {}}
		_, big, stop := startServing(w, "big")
		w.pending.Go(func() { w.confirmList(60 * time.Second) })
		time.Sleep(sharePeriod + 2*time.Second)
		w.kill(big.Members[2])
		// The loss is detected after 4 s. Before that, the new worker refuses to stage a model.
		time.Sleep(3950 * time.Millisecond)
		w.addStagedWorker("d0", "")
		w.mu.Lock()
		w.workers["new-d0"].isStaging = true
		w.mu.Unlock()
		// Draining a group takes 1.5 s, joining 1.5 s, and a load 12 s.
		time.Sleep(5 * time.Second)
		serving := w.countServing()
		stop()
		assert.Equal(t, serving["big"], 1, "%v", serving)
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestRefusingWorkerIsNotRetriedContinuously covers a listed worker that refuses connections, so
// that every group with it fails immediately. Its partners must not get orders at every tick, since
// they might start a load each time.
func TestRefusingWorkerIsNotRetriedContinuously(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newUnlistedWorld(1, 1, 4)
		for _, s := range w.workers {
			s.staged = "big"
			w.publish(s)
		}
		w.refusesQueries["w0-0"] = true
		w.pending.Go(func() { w.confirmList(6 * time.Second) })
		_, stop := startTerm(w, 1)
		time.Sleep(5 * time.Second)
		stop()
		w.pending.Wait()
		// Up to three partners get orders once per second for five seconds. Between these orders,
		// they also form groups of other models.
		assert.Assert(t, w.attemptCounts["join"] <= 40, "%v", w.attemptCounts)
	})
}
