package formation

import (
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestTradeForWhatCanStand: groups are given up only for a group that can stand, and no
// more of a model at once than the rest can carry.
func TestTradeForWhatCanStand(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 4, Load: simLoad, Warm: simWarm}, fleet.Model{Name: "small", Size: 2, Load: simLoad, Warm: simWarm}
	needs := []Need{{Model: big, Want: 3, Have: 2}, {Model: small, Want: 2, Have: 8}}
	warm := []Free{{ID: "a", Domain: "d", Loaded: "big"}, {ID: "b", Domain: "d", Loaded: "big"}}
	group := func(key, domain string, cold int) Standing {
		return Standing{Key: key, Domain: domain, Model: "small", Members: 2, Cold: map[string]int{"big": cold}}
	}
	tests := map[string]struct {
		needs    []Need
		free     []Free
		standing []Standing
		down     map[string]int
		maxLoads int
		want     []string
	}{
		"warm members":                   {free: warm, standing: []Standing{group("s", "d", 0)}, want: []string{"s"}},
		"a member that has to load":      {free: warm, standing: []Standing{group("s", "d", 1)}, maxLoads: 9},
		"idle workers that have to load": {free: []Free{{ID: "a", Domain: "d"}, {ID: "b", Domain: "d"}}, standing: []Standing{group("s", "d", 0)}, maxLoads: 9},
		"idle workers in doubt": {
			free:     []Free{{ID: "a", Domain: "d", Loaded: "big", Doubted: true}, {ID: "b", Domain: "d", Loaded: "big"}},
			standing: []Standing{group("s", "d", 0)}, maxLoads: 9,
		},
		"the warm one of two groups": {free: warm, standing: []Standing{group("s", "d", 1), group("t", "d", 0)}, want: []string{"t"}},
		"the domain with the fewest groups": {
			free: warm, standing: []Standing{group("s", "c", 0), group("t", "c", 0), group("u", "d", 0)}, want: []string{"u"},
		},
		"loads where half of what is wanted lacks": {
			needs: []Need{{Model: big, Want: 3, Have: 1}, {Model: small, Want: 2, Have: 8}},
			free:  warm, standing: []Standing{group("s", "d", 1)}, maxLoads: 1, want: []string{"s"},
		},
		"no loads may begin": {
			needs: []Need{{Model: big, Want: 3, Have: 1}, {Model: small, Want: 2, Have: 8}},
			free:  warm, standing: []Standing{group("s", "d", 1)},
		},
		"a quarter of the groups is down": {free: warm, standing: []Standing{group("s", "d", 0)}, down: map[string]int{"small": 2}},
		"less than a quarter is down":     {free: warm, standing: []Standing{group("s", "d", 0)}, down: map[string]int{"small": 1}, want: []string{"s"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.needs == nil {
				test.needs = needs
			}
			trader := newTrader(test.needs, test.free, test.standing)
			trader.down, trader.maxLoads = test.down, test.maxLoads
			x, ok := trader.best()
			assert.Equal(t, ok, test.want != nil)
			assert.DeepEqual(t, x.Keys, test.want)
		})
	}
}

// TestTradeCountsAllItGets: a large group gives the members of several small ones, so
// that no second one is given up for the same lack.
func TestTradeCountsAllItGets(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 16}, fleet.Model{Name: "small", Size: 4}
	needs := []Need{{Model: big, Want: 1, Have: 4}, {Model: small, Want: 6, Have: 3}}
	x, ok := Trade(needs, nil, []Standing{
		{Key: "a", Domain: "d", Model: "big", Members: 16}, {Key: "b", Domain: "d", Model: "big", Members: 16},
	})
	assert.Assert(t, ok)
	assert.DeepEqual(t, x.Keys, []string{"a"})
	assert.Equal(t, x.Gets, 3)
	x.apply(needs)
	assert.Equal(t, needs[1].Have, 6)
}
