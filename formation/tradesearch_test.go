package formation

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/fleet"
)

// TestTradeOnlyForFeasibleGroups checks that groups are traded only if a new group can be formed.
// It also checks that a trade does not take too many groups of a model out of service.
func TestTradeOnlyForFeasibleGroups(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 4, Load: simLoadTime, WarmLoad: simWarmJoinTime}, fleet.Model{Name: "small", Size: 2, Load: simLoadTime, WarmLoad: simWarmJoinTime}
	needs := []Need{{Model: big, Want: 9, Have: 6}, {Model: small, Want: 8, Have: 8}}
	warm := []FreeWorker{{ID: "a", Domain: "d", LoadedModel: "big"}, {ID: "b", Domain: "d", LoadedModel: "big"}}
	group := func(key, domain string, coldCount int) ServingGroup {
		return ServingGroup{Key: key, Domain: domain, Model: "small", MemberCount: 2, ColdCounts: map[string]int{"big": coldCount}}
	}
	tests := map[string]struct {
		needs         []Need
		free          []FreeWorker
		servingGroups []ServingGroup
		downCounts    map[string]int
		maxLoads      int
		want          []string
	}{
		"warm members":                   {free: warm, servingGroups: []ServingGroup{group("s", "d", 0)}, want: []string{"s"}},
		"a member that has to load":      {free: warm, servingGroups: []ServingGroup{group("s", "d", 1)}, maxLoads: 9},
		"idle workers that have to load": {free: []FreeWorker{{ID: "a", Domain: "d"}, {ID: "b", Domain: "d"}}, servingGroups: []ServingGroup{group("s", "d", 0)}, maxLoads: 9},
		"unreliable idle workers": {
			free:          []FreeWorker{{ID: "a", Domain: "d", LoadedModel: "big", IsUnreliable: true}, {ID: "b", Domain: "d", LoadedModel: "big"}},
			servingGroups: []ServingGroup{group("s", "d", 0)}, maxLoads: 9,
		},
		"the warm one of two groups": {free: warm, servingGroups: []ServingGroup{group("s", "d", 1), group("t", "d", 0)}, want: []string{"t"}},
		"the domain with the fewest groups": {
			free: warm, servingGroups: []ServingGroup{group("s", "c", 0), group("t", "c", 0), group("u", "d", 0)}, want: []string{"u"},
		},
		"loads if at most half of what is wanted exists": {
			needs: []Need{{Model: big, Want: 9, Have: 3}, {Model: small, Want: 8, Have: 8}},
			free:  warm, servingGroups: []ServingGroup{group("s", "d", 1)}, maxLoads: 1, want: []string{"s"},
		},
		"loads if others have a surplus": {
			needs: []Need{{Model: big, Want: 9, Have: 6}, {Model: small, Want: 6, Have: 9}},
			free:  warm, servingGroups: []ServingGroup{group("s", "d", 1)}, maxLoads: 1, want: []string{"s"},
		},
		"no loads may begin": {
			needs: []Need{{Model: big, Want: 9, Have: 3}, {Model: small, Want: 8, Have: 8}},
			free:  warm, servingGroups: []ServingGroup{group("s", "d", 1)},
		},
		"a quarter of the groups is down": {free: warm, servingGroups: []ServingGroup{group("s", "d", 0)}, downCounts: map[string]int{"small": 2}},
		"less than a quarter is down":     {free: warm, servingGroups: []ServingGroup{group("s", "d", 0)}, downCounts: map[string]int{"small": 1}, want: []string{"s"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.needs == nil {
				test.needs = needs
			}
			finder := newTradeFinder(test.needs, test.free, test.servingGroups)
			finder.downCounts, finder.maxLoads = test.downCounts, test.maxLoads
			x, ok := finder.bestTrade()
			assert.Equal(t, ok, test.want != nil)
			assert.DeepEqual(t, x.GroupKeys, test.want)
		})
	}
}

// TestTradeInsteadOfLoads checks that a planned group whose members would have to load is replaced
// by a trade that provides warm members.
func TestTradeInsteadOfLoads(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 4, Load: simLoadTime, WarmLoad: simWarmJoinTime}, fleet.Model{Name: "small", Size: 2, Load: simLoadTime, WarmLoad: simWarmJoinTime}
	needs := []Need{{Model: big, Want: 6, Have: 4}, {Model: small, Want: 5, Have: 8}}
	survivors := []FreeWorker{
		{ID: "a", Domain: "d", LoadedModel: "big"}, {ID: "b", Domain: "d", LoadedModel: "big"}, {ID: "c", Domain: "d", LoadedModel: "big"}, {ID: "e", Domain: "d"},
	}
	group := func(domain string, coldCount int) ServingGroup {
		return ServingGroup{Key: "s", Domain: domain, Model: "small", MemberCount: 2, ColdCounts: map[string]int{"big": coldCount}}
	}
	tests := map[string]struct {
		needs         []Need
		servingGroups []ServingGroup
		want          []string
	}{
		"a warm group in the domain":   {needs: needs, servingGroups: []ServingGroup{group("d", 0)}, want: []string{"s"}},
		"one of its members is warm":   {needs: needs, servingGroups: []ServingGroup{group("d", 1)}, want: []string{"s"}},
		"none of its members is warm":  {needs: needs, servingGroups: []ServingGroup{group("d", 2)}},
		"a group of another domain":    {needs: needs, servingGroups: []ServingGroup{group("c", 0)}},
		"no other group":               {needs: needs},
		"a group that can't be spared": {needs: []Need{{Model: big, Want: 6, Have: 4}, {Model: small, Want: 10, Have: 8}}, servingGroups: []ServingGroup{group("d", 0)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x, ok := newTradeFinder(test.needs, survivors, test.servingGroups).tradeInsteadOf(newFormation(big, survivors))
			assert.Equal(t, ok, test.want != nil)
			if ok {
				assert.DeepEqual(t, x.GroupKeys, test.want)
			}
		})
	}
	_, ok := newTradeFinder(needs, survivors, []ServingGroup{group("d", 0)}).tradeInsteadOf(Formation{Model: big, Members: []string{"a"}})
	assert.Assert(t, !ok, "a group that needs no load is not replaced")
}

// TestTradeSpreadsOverHalls checks that a trade uses the one of two equivalent domains whose hall
// holds fewer groups of the recipient.
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
				{Key: "s", Domain: "d", Hall: "h0", Model: "small", MemberCount: 4}, {Key: "t", Domain: "e", Hall: "h1", Model: "small", MemberCount: 4},
			})
			finder.planValuation.hallLoss = HallLossPolicy{MaxLost: test.maxLost, Weight: hallLossWeight}
			finder.planValuation.replicasByHall = map[string]map[string]int{"big": {"h0": 2, "h1": 1}, "small": {"h0": 4, "h1": 4}}
			x, ok := finder.bestTrade()
			assert.Assert(t, ok)
			assert.DeepEqual(t, x.GroupKeys, test.want)
		})
	}
}

// TestTradeCountsAllFormedGroups covers a trade of one large group whose members form several small
// ones. No second group may be traded for the same shortage.
func TestTradeCountsAllFormedGroups(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 16}, fleet.Model{Name: "small", Size: 4}
	needs := []Need{{Model: big, Want: 1, Have: 4}, {Model: small, Want: 6, Have: 3}}
	x, ok := FindTrade(needs, nil, []ServingGroup{
		{Key: "a", Domain: "d", Model: "big", MemberCount: 16}, {Key: "b", Domain: "d", Model: "big", MemberCount: 16},
	})
	assert.Assert(t, ok)
	assert.DeepEqual(t, x.GroupKeys, []string{"a"})
	assert.Equal(t, x.FormedCount, 3)
	x.applyTo(needs)
	assert.Equal(t, needs[1].Have, 6)
}

// mayUseColdMembers reports whether a trade may use members that have to load.
func mayUseColdMembers(needs []Need, x Trade) bool {
	recipient := needs[slices.IndexFunc(needs, func(n Need) bool { return n.Model.Name == x.Recipient })]
	return recipient.coverageWith(0) <= coldTradeMaxCoverage || x.takesOnlySurplus(needs)
}

// drawServingGroups draws the serving groups that needs counts, spread over a few domains.
func drawServingGroups(t *rapid.T, needs []Need) []ServingGroup {
	var all []ServingGroup
	for i, n := range needs {
		for g := range n.Have {
			s := ServingGroup{
				Key: fmt.Sprintf("g%d-%d", i, g), Domain: fmt.Sprint("d", rapid.IntRange(0, 3).Draw(t, "domain")),
				Model: n.Model.Name, MemberCount: n.Model.Size, ColdCounts: make(map[string]int),
			}
			for _, o := range needs {
				s.ColdCounts[o.Model.Name] = rapid.IntRange(0, n.Model.Size).Draw(t, "cold")
			}
			all = append(all, s)
		}
	}
	return all
}

// countMembers returns how many members a trade makes available, including idle workers.
func (x Trade) countMembers(in Input, servingGroups []ServingGroup) int {
	allowsLoads, memberCount := mayUseColdMembers(in.Needs, x), 0
	for _, f := range in.Free {
		if f.Domain == x.Domain && !f.IsUnreliable && (f.warmth(x.Recipient) <= Staged || allowsLoads) {
			memberCount++
		}
	}
	for _, s := range servingGroups {
		switch {
		case !slices.Contains(x.GroupKeys, s.Key):
		case allowsLoads:
			memberCount += s.MemberCount
		default:
			memberCount += s.countWarm(x.Recipient)
		}
	}
	return memberCount
}

// TestTradeInvariants checks that the traded groups are distinct and in one domain, that they
// provide enough members, and that the models that give up groups keep a higher ratio of available
// to wanted replicas than the recipient.
func TestTradeInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		servingGroups := drawServingGroups(t, in.Needs)
		x, ok := FindTrade(in.Needs, in.Free, servingGroups)
		if !ok {
			return
		}
		dissolvedCounts := make(map[string]int)
		for _, s := range servingGroups {
			if slices.Contains(x.GroupKeys, s.Key) {
				assert.Equal(t, s.Domain, x.Domain)
				dissolvedCounts[s.Model]++
			}
		}
		assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(x.GroupKeys)))), len(x.GroupKeys))
		assert.DeepEqual(t, dissolvedCounts, x.DissolvedCounts)
		recipient := in.Needs[slices.IndexFunc(in.Needs, func(n Need) bool { return n.Model.Name == x.Recipient })]
		assert.Assert(t, !recipient.isMet() && x.FormedCount >= 1 && len(x.GroupKeys) > 0 && dissolvedCounts[x.Recipient] == 0)
		members := x.countMembers(in, servingGroups)
		assert.Assert(t, members >= x.FormedCount*recipient.Model.Size, "%d members for %d groups", members, x.FormedCount)
		for _, n := range in.Needs {
			count := dissolvedCounts[n.Model.Name]
			assert.Assert(t, count == 0 || n.coverageWith(-count) >= tradeMargin*recipient.coverageWith(1))
		}
	})
}
