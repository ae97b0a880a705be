package formation

import (
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

func TestPlan(t *testing.T) {
	big := fleet.Model{Name: "big", Size: 3}
	small := fleet.Model{Name: "small", Size: 2}
	worker := func(id, domain, loaded string) FreeWorker {
		f := FreeWorker{ID: id, Domain: domain, LoadedModel: loaded}
		if loaded != "" {
			f.StagedModels = []string{loaded}
		}
		return f
	}
	tests := map[string]struct {
		needs    []Need
		free     []FreeWorker
		warm     map[string]map[string]int
		maxLoads int
		// keptBack is the number of the loads that must not be used for idle workers.
		keptBack int
		want     [][]string
		staged   []Staging
	}{
		"nothing free": {needs: []Need{{Model: big, Want: 3}}},
		"never across domains": {
			needs: []Need{{Model: small, Want: 3}}, maxLoads: 9,
			free: []FreeWorker{worker("a", "d1", ""), worker("b", "d2", "")},
		},
		"survivors of two broken groups make a whole one without a load": {
			needs: []Need{{Model: big, Want: 3}, {Model: small, Want: 9}},
			free:  []FreeWorker{worker("a", "d", "big"), worker("b", "d", "big"), worker("c", "d", "big")},
			want:  [][]string{{"a", "b", "c"}},
		},
		"the shorter model goes first": {
			needs: []Need{{Model: big, Want: 3, Have: 3}, {Model: small, Want: 3}}, maxLoads: 9,
			free:   []FreeWorker{worker("a", "d", ""), worker("b", "d", ""), worker("c", "d", "")},
			want:   [][]string{{"a", "b"}},
			staged: []Staging{{Worker: "c", Model: "small"}},
		},
		"loads are bounded": {
			needs: []Need{{Model: small, Want: 9}}, maxLoads: 3,
			free: []FreeWorker{
				worker("a", "d", ""), worker("b", "d", ""), worker("c", "d", ""), worker("e", "d", ""),
			},
			want: [][]string{{"a", "b"}},
		},
		"a model that waits for loads is not overtaken": {
			needs: []Need{{Model: big, Want: 9}, {Model: small, Want: 2}}, maxLoads: 2,
			free: []FreeWorker{worker("a", "d", ""), worker("b", "d", ""), worker("c", "d", "")},
		},
		"what needs no load is formed though too many loads run": {
			needs: []Need{{Model: small, Want: 9}}, maxLoads: -5,
			free: []FreeWorker{worker("a", "d", "small"), worker("b", "d", "small"), worker("c", "d", ""), worker("e", "d", "")},
			want: [][]string{{"a", "b"}},
		},
		"a domain is kept to one model": {
			needs: []Need{{Model: small, Want: 9}}, maxLoads: 2,
			warm: map[string]map[string]int{"d1": {"big": 4}, "d2": {"small": 2}},
			free: []FreeWorker{worker("a", "d1", ""), worker("b", "d1", ""), worker("c", "d2", ""), worker("e", "d2", "")},
			want: [][]string{{"c", "e"}},
		},
		"idle workers form surplus groups": {
			needs: []Need{{Model: small, Want: 1, Have: 1}},
			free: []FreeWorker{
				worker("a", "d", "small"), worker("b", "d", "small"), worker("c", "d", "small"), worker("e", "d", "small"),
				worker("f", "d", "small"),
			},
			want: [][]string{{"a", "b"}, {"c", "e"}},
		},
		"none beyond what is wanted while another model is short": {
			needs: []Need{{Model: big, Want: 2, Have: 1}, {Model: small, Want: 1, Have: 1}},
			free:  []FreeWorker{worker("a", "d", "small"), worker("b", "d", "small"), worker("c", "d", "small")},
		},
		"no more than is wanted is formed by loads": {
			needs: []Need{{Model: small, Want: 1.5, Have: 1}}, maxLoads: 9,
			free: []FreeWorker{worker("a", "d", "small"), worker("b", "d", "small"), worker("c", "d", ""), worker("e", "d", "")},
			want: [][]string{{"a", "b"}},
		},
		"an idle worker stages its domain's model": {
			needs: []Need{{Model: big, Want: 1, Have: 1}}, maxLoads: 1,
			warm:   map[string]map[string]int{"d": {"big": 3}},
			free:   []FreeWorker{worker("a", "d", ""), worker("b", "d", "")},
			staged: []Staging{{Worker: "a", Model: "big"}},
		},
		"idle workers leave loads for groups to come": {
			needs: []Need{{Model: big, Want: 1, Have: 1}}, maxLoads: 2, keptBack: 1,
			warm:   map[string]map[string]int{"d": {"big": 3}},
			free:   []FreeWorker{worker("a", "d", ""), worker("b", "d", "")},
			staged: []Staging{{Worker: "a", Model: "big"}},
		},
		"blank workers are taken before those of another model": {
			needs: []Need{{Model: small, Want: 9}, {Model: big, Want: 1, Have: 1}}, maxLoads: 9,
			free:   []FreeWorker{worker("a", "d", "big"), worker("b", "d", ""), worker("c", "d", "")},
			want:   [][]string{{"b", "c"}},
			staged: []Staging{{Worker: "a", Model: "small"}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got [][]string
			formations, stagings := Plan(Input{
				Needs: test.needs, Free: test.free, WarmCounts: test.warm, MaxLoads: test.maxLoads, MaxStagings: test.maxLoads - test.keptBack,
			})
			for _, f := range formations {
				got = append(got, f.Members)
			}
			assert.DeepEqual(t, got, test.want)
			assert.DeepEqual(t, stagings, test.staged)
		})
	}
}
