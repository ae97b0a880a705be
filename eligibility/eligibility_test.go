package eligibility

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
	"quartzshelf.dev/fleet"
)

func TestMain(m *testing.M) { proptest.Main(m) }

func replicaIn(id, hall string) *fleet.Replica {
	return &fleet.Replica{ID: id, Head: &fleet.Worker{ID: id, Zone: hall}}
}

// testRules returns rules for the halls and replicas used in tests. Hall "shut" is closed, "soon"
// is closing, and "far" is in another region. Replica "cold" is warming up and "limited" has
// reached its limit; neither can take a request. Replica "resting" is resting, "both" is resting
// and has reached its limit, and "silent" is suspected.
func testRules() *Rules {
	return &Rules{
		HallState: func(hall string) fleet.HallState {
			return map[string]fleet.HallState{"shut": fleet.HallClosed, "soon": fleet.HallClosing}[hall]
		},
		RegionOf: func(hall string) string {
			if hall == "far" {
				return "abroad"
			}
			return "home"
		},
		HasWarmUpRoom:   func(r *fleet.Replica) bool { return r.ID != "cold" },
		HasLimitRoom:    func(r *fleet.Replica) bool { return r.ID != "limited" && r.ID != "both" },
		AcceptsRequests: func(r *fleet.Replica) bool { return r.ID != "resting" && r.ID != "both" },
		IsSuspected:     func(r *fleet.Replica) bool { return r.ID == "silent" },
	}
}

func TestClassify(t *testing.T) {
	tests := map[string]struct {
		request Request
		replica *fleet.Replica
		class   Class
		cause   Cause
	}{
		"nothing is wrong":                      {replica: replicaIn("a", "near"), class: Eligible},
		"the hall is closed":                    {replica: replicaIn("a", "shut"), class: Excluded, cause: HallNotOpen},
		"the hall is closing":                   {replica: replicaIn("a", "soon"), class: Reserve, cause: HallNotOpen},
		"closing and silent":                    {replica: replicaIn("silent", "soon"), class: LastResort, cause: Suspected},
		"closed and cold":                       {replica: replicaIn("cold", "shut"), class: Excluded, cause: HallNotOpen},
		"it bears no more":                      {replica: replicaIn("cold", "near"), class: Excluded, cause: WarmingUp},
		"its limit leaves no room":              {replica: replicaIn("limited", "near"), class: Excluded, cause: Limited},
		"it rests":                              {replica: replicaIn("resting", "near"), class: Excluded, cause: Resting},
		"it rests and has a limit":              {replica: replicaIn("both", "soon"), class: Excluded, cause: Resting},
		"it fell silent":                        {replica: replicaIn("silent", "near"), class: LastResort, cause: Suspected},
		"it failed the request":                 {request: Request{Tried: map[string]bool{"a": true}}, replica: replicaIn("a", "near"), class: Excluded, cause: Tried},
		"the route allows the region":           {request: Request{RouteRegions: fleet.Regions{"home"}}, replica: replicaIn("a", "near"), class: Eligible},
		"the route does not allow it":           {request: Request{RouteRegions: fleet.Regions{"home"}}, replica: replicaIn("a", "far"), class: Excluded, cause: RegionNotAllowed},
		"the account does not allow it":         {request: Request{AccountRegions: fleet.Regions{"home"}}, replica: replicaIn("a", "far"), class: Excluded, cause: RegionNotAllowed},
		"the route does, the account does not":  {request: Request{RouteRegions: fleet.Regions{"abroad", "home"}, AccountRegions: fleet.Regions{"home"}}, replica: replicaIn("a", "far"), class: Excluded, cause: RegionNotAllowed},
		"both allow it":                         {request: Request{RouteRegions: fleet.Regions{"abroad", "home"}, AccountRegions: fleet.Regions{"abroad"}}, replica: replicaIn("a", "far"), class: Eligible},
		"a request that may run anywhere, far":  {replica: replicaIn("a", "far"), class: Eligible},
		"a region that no setting names, bound": {request: Request{RouteRegions: fleet.Regions{"elsewhere"}}, replica: replicaIn("a", "near"), class: Excluded, cause: RegionNotAllowed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			class, cause := testRules().Classify(&test.request, test.replica)
			assert.Equal(t, class, test.class)
			assert.Equal(t, cause, test.cause)
		})
	}
}

func TestNoRulesExcludeNothing(t *testing.T) {
	class, cause := (&Rules{}).Classify(&Request{RouteRegions: fleet.Regions{"home"}}, replicaIn("a", "far"))
	assert.Equal(t, class, Eligible)
	assert.Equal(t, cause, None)
}

// TestSelectionHoldsEachReplicaOnce checks that each replica is in the class that Classify returns,
// and in no class if it is excluded. The order of replicas must be kept, and each cause must be
// counted.
func TestSelectionHoldsEachReplicaOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "cold", "silent"}), 0, 12).Draw(t, "ids")
		halls := rapid.SampledFrom([]string{"near", "shut", "soon", "far"})
		request := &Request{RouteRegions: rapid.SampledFrom([]fleet.Regions{nil, {"home"}}).Draw(t, "regions")}
		var replicas []*fleet.Replica
		for _, id := range ids {
			replicas = append(replicas, replicaIn(id, halls.Draw(t, "hall")))
		}
		rules := testRules()
		got, want := rules.Select(request, replicas), selectOneByOne(rules, request, replicas)
		assert.Equal(t, got.Counts(), want.Counts())
		assert.Equal(t, got.IsEmpty(), want.IsEmpty())
		for class := Eligible; class < Excluded; class++ {
			assert.Assert(t, slices.Equal(got.InClass(class), want.InClass(class)), "class %d", class)
		}
	})
}

// selectOneByOne is a plain reference implementation of Select.
func selectOneByOne(rules *Rules, request *Request, replicas []*fleet.Replica) Selection {
	var s Selection
	for _, r := range replicas {
		class, cause := rules.Classify(request, r)
		if cause != None {
			s.counts[cause]++
		}
		if class != Excluded {
			s.byClass[class] = append(s.byClass[class], r)
		}
	}
	return s
}

func TestCounts(t *testing.T) {
	counts := Counts{HallNotOpen: 3, WarmingUp: 1}
	assert.Equal(t, counts.String(), "hall_closed=3 warm_up=1")
	assert.Equal(t, counts.MostFrequent(), HallNotOpen)
	assert.Equal(t, Counts{}.MostFrequent(), None)
	assert.Equal(t, Counts{}.String(), "")
}

func BenchmarkSelect(b *testing.B) {
	var replicas []*fleet.Replica
	for range 400 {
		replicas = append(replicas, replicaIn("a", "near"))
	}
	for name, rules := range map[string]*Rules{"none": {}, "all": testRules()} {
		b.Run(name, func(b *testing.B) {
			request := &Request{RouteRegions: fleet.Regions{"home"}}
			for b.Loop() {
				s := rules.Select(request, replicas)
				if s.IsEmpty() {
					b.Fatal("nothing is eligible")
				}
			}
		})
	}
}
