package formation

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/fleet"
)

// TestTradeOnlyForFeasibleGroups checks that groups are traded only for a group that can be
// formed, and that no more of a model are taken down at once than the others can compensate.
func TestTradeOnlyForFeasibleGroups(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 4, Load: simLoad, Warm: simWarm}, fleet.Model{Name: "small", Size: 2, Load: simLoad, Warm: simWarm}
	needs := []Need{{Model: big, Want: 9, Have: 6}, {Model: small, Want: 8, Have: 8}}
	warm := []FreeWorker{{ID: "a", Domain: "d", Loaded: "big"}, {ID: "b", Domain: "d", Loaded: "big"}}
	group := func(key, domain string, cold int) ServingGroup {
		return ServingGroup{Key: key, Domain: domain, Model: "small", Members: 2, Cold: map[string]int{"big": cold}}
	}
	tests := map[string]struct {
		needs    []Need
		free     []FreeWorker
		standing []ServingGroup
		down     map[string]int
		maxLoads int
		want     []string
	}{
		"warm members":                   {free: warm, standing: []ServingGroup{group("s", "d", 0)}, want: []string{"s"}},
		"a member that has to load":      {free: warm, standing: []ServingGroup{group("s", "d", 1)}, maxLoads: 9},
		"idle workers that have to load": {free: []FreeWorker{{ID: "a", Domain: "d"}, {ID: "b", Domain: "d"}}, standing: []ServingGroup{group("s", "d", 0)}, maxLoads: 9},
		"unreliable idle workers": {
			free:     []FreeWorker{{ID: "a", Domain: "d", Loaded: "big", Unreliable: true}, {ID: "b", Domain: "d", Loaded: "big"}},
			standing: []ServingGroup{group("s", "d", 0)}, maxLoads: 9,
		},
		"the warm one of two groups": {free: warm, standing: []ServingGroup{group("s", "d", 1), group("t", "d", 0)}, want: []string{"t"}},
		"the domain with the fewest groups": {
			free: warm, standing: []ServingGroup{group("s", "c", 0), group("t", "c", 0), group("u", "d", 0)}, want: []string{"u"},
		},
		"loads if at most half of what is wanted exists": {
			needs: []Need{{Model: big, Want: 9, Have: 3}, {Model: small, Want: 8, Have: 8}},
			free:  warm, standing: []ServingGroup{group("s", "d", 1)}, maxLoads: 1, want: []string{"s"},
		},
		"loads if others have a surplus": {
			needs: []Need{{Model: big, Want: 9, Have: 6}, {Model: small, Want: 6, Have: 9}},
			free:  warm, standing: []ServingGroup{group("s", "d", 1)}, maxLoads: 1, want: []string{"s"},
		},
		"no loads may begin": {
			needs: []Need{{Model: big, Want: 9, Have: 3}, {Model: small, Want: 8, Have: 8}},
			free:  warm, standing: []ServingGroup{group("s", "d", 1)},
		},
		"a quarter of the groups is down": {free: warm, standing: []ServingGroup{group("s", "d", 0)}, down: map[string]int{"small": 2}},
		"less than a quarter is down":     {free: warm, standing: []ServingGroup{group("s", "d", 0)}, down: map[string]int{"small": 1}, want: []string{"s"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.needs == nil {
				test.needs = needs
			}
			finder := newTradeFinder(test.needs, test.free, test.standing)
			finder.down, finder.maxLoads = test.down, test.maxLoads
			x, ok := finder.bestTrade()
			assert.Equal(t, ok, test.want != nil)
			assert.DeepEqual(t, x.GroupKeys, test.want)
		})
	}
}

// TestTradeInsteadOfLoads checks that a planned group whose members would have to load is replaced
// by a trade that provides warm members.
func TestTradeInsteadOfLoads(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 4, Load: simLoad, Warm: simWarm}, fleet.Model{Name: "small", Size: 2, Load: simLoad, Warm: simWarm}
	needs := []Need{{Model: big, Want: 6, Have: 4}, {Model: small, Want: 5, Have: 8}}
	survivors := []FreeWorker{
		{ID: "a", Domain: "d", Loaded: "big"}, {ID: "b", Domain: "d", Loaded: "big"}, {ID: "c", Domain: "d", Loaded: "big"}, {ID: "e", Domain: "d"},
	}
	group := func(domain string, cold int) ServingGroup {
		return ServingGroup{Key: "s", Domain: domain, Model: "small", Members: 2, Cold: map[string]int{"big": cold}}
	}
	tests := map[string]struct {
		needs    []Need
		standing []ServingGroup
		want     []string
	}{
		"a warm group in the domain":   {needs: needs, standing: []ServingGroup{group("d", 0)}, want: []string{"s"}},
		"one of its members is warm":   {needs: needs, standing: []ServingGroup{group("d", 1)}, want: []string{"s"}},
		"none of its members is warm":  {needs: needs, standing: []ServingGroup{group("d", 2)}},
		"a group of another domain":    {needs: needs, standing: []ServingGroup{group("c", 0)}},
		"no other group":               {needs: needs},
		"a group that can't be spared": {needs: []Need{{Model: big, Want: 6, Have: 4}, {Model: small, Want: 10, Have: 8}}, standing: []ServingGroup{group("d", 0)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x, ok := newTradeFinder(test.needs, survivors, test.standing).tradeInsteadOf(newFormation(big, survivors))
			assert.Equal(t, ok, test.want != nil)
			if ok {
				assert.DeepEqual(t, x.GroupKeys, test.want)
			}
		})
	}
	_, ok := newTradeFinder(needs, survivors, []ServingGroup{group("d", 0)}).tradeInsteadOf(Formation{Model: big, Members: []string{"a"}})
	assert.Assert(t, !ok, "a group that needs no load is not replaced")
}

// TestTradeSpreadsOverHalls checks that of two equivalent domains the one is chosen whose hall
// holds fewer groups of the model.
func TestTradeSpreadsOverHalls(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 4}, fleet.Model{Name: "small", Size: 4}
	for name, test := range map[string]struct {
		maxLost int
		want    []string
	}{
		"no tolerated loss":  {want: []string{"s"}},
		"the loss of a hall": {maxLost: 1, want: []string{"t"}},
	} {
		t.Run(name, func(t *testing.T) {
			finder := newTradeFinder([]Need{{Model: big, Want: 4, Have: 3}, {Model: small, Want: 4, Have: 8}}, nil, []ServingGroup{
				{Key: "s", Domain: "d", Hall: "h0", Model: "small", Members: 4}, {Key: "t", Domain: "e", Hall: "h1", Model: "small", Members: 4},
			})
			finder.value.hallLoss = HallLossPolicy{MaxLost: test.maxLost, Weight: hallWeight}
			finder.value.serving = map[string]map[string]int{"big": {"h0": 2, "h1": 1}, "small": {"h0": 4, "h1": 4}}
			x, ok := finder.bestTrade()
			assert.Assert(t, ok)
			assert.DeepEqual(t, x.GroupKeys, test.want)
		})
	}
}

// TestTradeCountsAllFormedGroups covers a large group whose members form several small ones: no
// second group may be traded for the same shortage.
func TestTradeCountsAllFormedGroups(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 16}, fleet.Model{Name: "small", Size: 4}
	needs := []Need{{Model: big, Want: 1, Have: 4}, {Model: small, Want: 6, Have: 3}}
	x, ok := FindTrade(needs, nil, []ServingGroup{
		{Key: "a", Domain: "d", Model: "big", Members: 16}, {Key: "b", Domain: "d", Model: "big", Members: 16},
	})
	assert.Assert(t, ok)
	assert.DeepEqual(t, x.GroupKeys, []string{"a"})
	assert.Equal(t, x.Formed, 3)
	x.apply(needs)
	assert.Equal(t, needs[1].Have, 6)
}

// mayUseColdMembers reports whether a trade may use members that have to load.
func mayUseColdMembers(needs []Need, x Trade) bool {
	to := needs[slices.IndexFunc(needs, func(n Need) bool { return n.Model.Name == x.Model })]
	return to.coverageWith(0) <= coldTradeMaxCoverage || x.isSurplus(needs)
}

// drawServingGroups draws the groups counted in needs, spread over a few domains.
func drawServingGroups(t *rapid.T, needs []Need) []ServingGroup {
	var all []ServingGroup
	for i, n := range needs {
		for g := range n.Have {
			s := ServingGroup{
				Key: fmt.Sprintf("g%d-%d", i, g), Domain: fmt.Sprint("d", rapid.IntRange(0, 3).Draw(t, "domain")),
				Model: n.Model.Name, Members: n.Model.Size, Cold: make(map[string]int),
			}
			for _, o := range needs {
				s.Cold[o.Model.Name] = rapid.IntRange(0, n.Model.Size).Draw(t, "cold")
			}
			all = append(all, s)
		}
	}
	return all
}

// countMembers returns how many members a trade makes available, including idle workers.
func (x Trade) countMembers(in Input, servingGroups []ServingGroup) int {
	loads, members := mayUseColdMembers(in.Needs, x), 0
	for _, f := range in.Free {
		if f.Domain == x.Domain && !f.Unreliable && (f.warmth(x.Model) <= Staged || loads) {
			members++
		}
	}
	for _, s := range servingGroups {
		switch {
		case !slices.Contains(x.GroupKeys, s.Key):
		case loads:
			members += s.Members
		default:
			members += s.countWarm(x.Model)
		}
	}
	return members
}

// TestTradeInvariants checks every trade: the groups are distinct and of one domain, there are
// enough members for the groups formed, and the donors keep a better coverage.
func TestTradeInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		servingGroups := drawServingGroups(t, in.Needs)
		x, ok := FindTrade(in.Needs, in.Free, servingGroups)
		if !ok {
			return
		}
		given := make(map[string]int)
		for _, s := range servingGroups {
			if slices.Contains(x.GroupKeys, s.Key) {
				assert.Equal(t, s.Domain, x.Domain)
				given[s.Model]++
			}
		}
		assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(x.GroupKeys)))), len(x.GroupKeys))
		assert.DeepEqual(t, given, x.Given)
		to := in.Needs[slices.IndexFunc(in.Needs, func(n Need) bool { return n.Model.Name == x.Model })]
		assert.Assert(t, !to.isMet() && x.Formed >= 1 && len(x.GroupKeys) > 0 && given[x.Model] == 0)
		members := x.countMembers(in, servingGroups)
		assert.Assert(t, members >= x.Formed*to.Model.Size, "%d members for %d groups", members, x.Formed)
		for _, n := range in.Needs {
			count := given[n.Model.Name]
			assert.Assert(t, count == 0 || n.coverageWith(-count) >= tradeMargin*to.coverageWith(1))
		}
	})
}
