package formation

import (
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

func TestTrade(t *testing.T) {
	big := fleet.Model{Name: "big", Size: 4}
	small := fleet.Model{Name: "small", Size: 2}
	tests := map[string]struct {
		needs         []Need
		free          []FreeWorker
		servingGroups []ServingGroup
		want          []string
	}{
		"nothing is short": {
			needs:         []Need{{Model: big, Want: 1, Have: 1}, {Model: small, Want: 1, Have: 3}},
			servingGroups: []ServingGroup{{Key: "s", Domain: "d", Model: "small", MemberCount: 2}},
		},
		"a surplus group gives its members": {
			needs:         []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 2, Have: 4}},
			free:          []FreeWorker{{ID: "a", Domain: "d"}, {ID: "b", Domain: "d"}, {ID: "c", Domain: "d"}},
			servingGroups: []ServingGroup{{Key: "s", Domain: "d", Model: "small", MemberCount: 2}},
			want:          []string{"s"},
		},
		"a model that is short gives to one that is shorter": {
			needs:         []Need{{Model: big, Want: 8, Have: 2}, {Model: small, Want: 14, Have: 12}},
			free:          []FreeWorker{{ID: "a", Domain: "d"}, {ID: "b", Domain: "d"}},
			servingGroups: []ServingGroup{{Key: "s", Domain: "d", Model: "small", MemberCount: 2}},
			want:          []string{"s"},
		},
		"no model gives so much that it is the shorter one": {
			needs: []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 2, Have: 3}},
			servingGroups: []ServingGroup{
				{Key: "s", Domain: "d", Model: "small", MemberCount: 2}, {Key: "t", Domain: "d", Model: "small", MemberCount: 2},
			},
		},
		"never across domains": {
			needs:         []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 1, Have: 3}},
			free:          []FreeWorker{{ID: "a", Domain: "d"}, {ID: "b", Domain: "d"}, {ID: "c", Domain: "d"}},
			servingGroups: []ServingGroup{{Key: "s", Domain: "e", Model: "small", MemberCount: 2}},
		},
		"the domain that gives the fewest groups": {
			needs: []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 1, Have: 9}},
			free:  []FreeWorker{{ID: "a", Domain: "e"}, {ID: "b", Domain: "e"}},
			servingGroups: []ServingGroup{
				{Key: "s", Domain: "d", Model: "small", MemberCount: 2}, {Key: "t", Domain: "d", Model: "small", MemberCount: 2},
				{Key: "u", Domain: "e", Model: "small", MemberCount: 2},
			},
			want: []string{"u"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x, ok := FindTrade(test.needs, test.free, test.servingGroups)
			assert.Equal(t, ok, test.want != nil)
			assert.DeepEqual(t, x.GroupKeys, test.want)
		})
	}
}
