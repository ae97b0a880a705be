package formation

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/fleet"
)

// drawInput draws a fleet of a few domains whose workers hold arbitrary models, and the needs of
// one to four models.
func drawInput(t *rapid.T) Input {
	in := Input{
		ReplicasByHall: make(map[string]map[string]int), ReleasedDomains: make(map[string]bool), TradeRecipients: make(map[string]string),
		WarmCounts: make(map[string]map[string]int), HallLoss: HallLossPolicy{MaxLost: rapid.IntRange(0, 2).Draw(t, "bear"), Weight: hallLossWeight},
	}
	names := []string{""}
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		m := fleet.Model{Name: fmt.Sprint("m", i), Size: rapid.IntRange(0, 9).Draw(t, "size"), Load: simLoadTime, WarmLoad: simWarmJoinTime}
		n := Need{Model: m, Want: rapid.Float64Range(0, 9).Draw(t, "want"), Have: rapid.IntRange(0, 9).Draw(t, "have")}
		in.Needs = append(in.Needs, n)
		in.ReplicasByHall[m.Name] = map[string]int{"h0": n.Have / 2, "h1": n.Have - n.Have/2}
		names = append(names, m.Name)
	}
	modelNames := rapid.SampledFrom(names)
	for d := range rapid.IntRange(0, 4).Draw(t, "domains") {
		domain := fmt.Sprint("d", d)
		if rapid.IntRange(0, 3).Draw(t, "trading") == 0 {
			in.TradeRecipients[domain] = in.Needs[0].Model.Name
		}
		in.ReleasedDomains[domain] = rapid.Bool().Draw(t, "released")
		for i := range rapid.IntRange(0, 20).Draw(t, "workers") {
			f := FreeWorker{
				ID: fmt.Sprintf("%s-%02d", domain, i), Domain: domain, Hall: fmt.Sprint("h", d%2),
				LoadedModel: modelNames.Draw(t, "loaded"), IsUnreliable: rapid.IntRange(0, 9).Draw(t, "doubted") == 0,
			}
			if staged := modelNames.Draw(t, "staged"); staged != "" {
				f.StagedModels = []string{staged}
			}
			in.Free = append(in.Free, f)
		}
	}
	in.MaxLoads = rapid.IntRange(-3, 30).Draw(t, "loads")
	in.MaxStagings = in.MaxLoads
	return in
}

// valueOfGroups returns the value of a plan that consists of the given groups.
func valueOfGroups(in Input, formations []Formation) float64 {
	p := newPartition(in.Needs, in)
	workers := make(map[string]FreeWorker)
	for _, f := range in.Free {
		workers[f.ID] = f
	}
	for _, f := range formations {
		p.addDivision(p.divisionOf([]Formation{f}, workers), workers[f.Members[0]].Hall, 1)
	}
	return p.totalValue()
}

// TestPlanInvariants checks that no worker is used twice, that groups lie within one domain and
// have the right size, and that loads stay within the limit. The value of the plan must be at least
// that of groups that are planned one after another.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		formations, stagings := Plan(in)
		domains, used := make(map[string]string), make(map[string]bool)
		for _, f := range in.Free {
			domains[f.ID] = f.Domain
		}
		markUsed := func(id string) {
			assert.Assert(t, !used[id], "%s is taken twice", id)
			used[id] = true
		}
		loadCount := 0
		for _, f := range formations {
			assert.Equal(t, len(f.Members), f.Model.Size)
			loadCount += f.LoadCount
			for _, id := range f.Members {
				markUsed(id)
				assert.Equal(t, domains[id], domains[f.Members[0]])
			}
		}
		for _, s := range stagings {
			markUsed(s.Worker)
		}
		assert.Assert(t, loadCount+len(stagings) <= max(in.MaxLoads, 0), "%d loads and %d stagings of %d", loadCount, len(stagings), in.MaxLoads)
		simple := newPlanner(in).planFormations()
		assert.Assert(t, valueOfGroups(in, formations) >= valueOfGroups(in, simple)-valueEpsilon)
	})
}

// TestDomainsWaitForTrades checks that, while groups of a domain are traded for a model, only
// groups of that model that need no load are formed in the domain.
func TestDomainsWaitForTrades(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 3}, fleet.Model{Name: "small", Size: 2}
	worker := func(id, loaded string) FreeWorker { return FreeWorker{ID: id, Domain: "d", LoadedModel: loaded} }
	tests := map[string]struct {
		free    []FreeWorker
		trading map[string]string
		want    []string
	}{
		"no trade":                {free: []FreeWorker{worker("a", "small"), worker("b", "small")}, want: []string{"a", "b"}},
		"for another model":       {free: []FreeWorker{worker("a", "small"), worker("b", "small")}, trading: map[string]string{"d": "big"}},
		"in another domain":       {free: []FreeWorker{worker("a", "small"), worker("b", "small")}, trading: map[string]string{"e": "big"}, want: []string{"a", "b"}},
		"a member has to load":    {free: []FreeWorker{worker("a", "big"), worker("b", "big"), worker("c", "")}, trading: map[string]string{"d": "big"}},
		"members that are enough": {free: []FreeWorker{worker("a", "big"), worker("b", "big"), worker("c", "big")}, trading: map[string]string{"d": "big"}, want: []string{"a", "b", "c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			formations, _ := Plan(Input{
				Needs: []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 2, Have: 1}}, Free: test.free, MaxLoads: 9, TradeRecipients: test.trading,
			})
			var got []string
			for _, f := range formations {
				got = append(got, f.Members...)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestAssignmentIsCheapest compares the cost of an assignment with the minimum over all possible
// ones.
func TestAssignmentIsCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		var models []fleet.Model
		for _, n := range in.Needs {
			models = append(models, n.Model)
		}
		workers := in.Free[:min(len(in.Free), 6)]
		s := newAssignment(models, workers)
		wanted := make([]int, len(models))
		for i := range models {
			wanted[i] = rapid.IntRange(0, 2).Draw(t, "wanted")
			if !s.assign(i, wanted[i]) {
				wanted[i] = 0
			}
		}
		assert.Equal(t, s.totalCost(), minimumCost(models, workers, wanted))
	})
}

// minimumCost returns the lowest cost of all possible assignments of workers to models. wanted
// holds the number of workers by model.
func minimumCost(models []fleet.Model, workers []FreeWorker, wanted []int) int {
	if len(workers) == 0 {
		for _, count := range wanted {
			if count > 0 {
				return 1 << 40
			}
		}
		return 0
	}
	best := minimumCost(models, workers[1:], wanted)
	for i, m := range models {
		if wanted[i] == 0 {
			continue
		}
		rest := slices.Clone(wanted)
		rest[i]--
		best = min(best, workers[0].cost(m.Name)+minimumCost(models, workers[1:], rest))
	}
	return best
}

// BenchmarkPlan measures planning for one domain of free workers that hold different models.
func BenchmarkPlan(b *testing.B) {
	for name, sizes := range map[string][]int{"37 workers, 16 and 4": {16, 4}, "64 workers, 16 and 4": {16, 4}, "64 workers, 16, 8, 4 and 2": {16, 8, 4, 2}, "64 workers, 13, 7, 5, 3 and 2": {13, 7, 5, 3, 2}} {
		b.Run(name, func(b *testing.B) {
			var workers int
			_, err := fmt.Sscanf(name, "%d", &workers)
			assert.NilError(b, err)
			in := Input{MaxLoads: 20, MaxStagings: 10}
			for i, size := range sizes {
				in.Needs = append(in.Needs, Need{Model: fleet.Model{Name: fmt.Sprint("m", i), Size: size, Load: simLoadTime, WarmLoad: simWarmJoinTime}, Want: 100 / float64(size), Have: 60 / size})
			}
			for i := range workers {
				f := FreeWorker{ID: fmt.Sprintf("w%02d", i), Domain: "d", LoadedModel: fmt.Sprint("m", i%len(sizes))}
				if i%5 > 0 {
					f.StagedModels = []string{fmt.Sprint("m", i%2)}
				}
				in.Free = append(in.Free, f)
			}
			for b.Loop() {
				Plan(in)
			}
		})
	}
}
