package config

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
)

// putChange returns a change that adds or replaces a document with the given JSON spec.
func putChange(kind Kind, name, spec string, base int64) Change {
	return Change{
		Operation: OperationPut, Base: base,
		Document: Document{Kind: kind, Name: name, Spec: json.RawMessage(spec)},
	}
}

func TestHallAndRegionValidation(t *testing.T) {
	account := `{"keyHashes":["` + HashKey("k") + `"],"allowedRegions":`
	cases := map[string]struct {
		change Change
		want   string
	}{
		"a hall":                  {putChange(KindDataHall, "hall-b", `{"region":"north","closed":true}`, 0), ""},
		"a hall without a region": {putChange(KindDataHall, "hall-b", `{}`, 0), ""},
		"no name":                 {putChange(KindDataHall, "", `{}`, 0), `DataHall/: field name: "" must be at most 63 lower-case letters, digits, dots and dashes`},
		"bad region":              {putChange(KindDataHall, "hall-b", `{"region":"Far North"}`, 0), `DataHall/hall-b: field spec.region: "Far North" must be at most 63 lower-case letters, digits, dots and dashes`},
		"unknown field":           {putChange(KindDataHall, "hall-b", `{"shut":true}`, 0), `DataHall/hall-b: field spec: json: unknown field "shut"`},
		"closed is no word":       {putChange(KindDataHall, "hall-b", `{"closed":"yes"}`, 0), `DataHall/hall-b: field spec: json: cannot unmarshal string into Go struct field DataHallSpec.closed of type bool`},
		"account in a region":     {putChange(KindAccount, "a", account+`["south"]}`, 0), ""},
		"unknown region":          {putChange(KindAccount, "a", account+`["south","west"]}`, 0), `ClientAccount/a: field spec.allowedRegions[1]: no DataHall document names the region "west", known regions are south`},
		"empty list":              {putChange(KindAccount, "a", account+`[]}`, 0), `ClientAccount/a: field spec.allowedRegions: must name a region, or be left out to allow all`},
		"named twice":             {putChange(KindAccount, "a", account+`["south","south"]}`, 0), `ClientAccount/a: field spec.allowedRegions[1]: "south" is named twice`},
		"empty region":            {putChange(KindAccount, "a", account+`[""]}`, 0), `ClientAccount/a: field spec.allowedRegions[0]: "" must be at most 63 lower-case letters, digits, dots and dashes`},
		"deployment":              {putChange(KindDeployment, "d", `{"modelSelector":"a=b","nodesPerReplica":4,"allowedRegions":["west"]}`, 0), `Deployment/d: field spec.allowedRegions[0]: no DataHall document names the region "west", known regions are south`},
		"service":                 {putChange(KindService, "s", `{"nodeSelector":"a=b","allowedRegions":["west"]}`, 0), `Service/s: field spec.allowedRegions[0]: no DataHall document names the region "west", known regions are south`},
		"region still in use":     {putChange(KindDataHall, "hall-a", `{"region":"north"}`, 1), `Deployment/bound: field spec.allowedRegions[0]: no DataHall document names the region "south", known regions are north`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			first := fold(t, s, 0, putChange(KindDataHall, "hall-a", `{"region":"south"}`, 0),
				putChange(KindDeployment, "bound", `{"modelSelector":"a=b","nodesPerReplica":4,"allowedRegions":["south"]}`, 0))
			assert.Equal(t, first.Problem, "")
			assert.Equal(t, fold(t, s, 1, c.change).Problem, c.want)
		})
	}
}

// TestKeptOut checks which requests are kept out of which halls, with the original state and with
// one restored from its checkpoint.
func TestKeptOut(t *testing.T) {
	original := NewState()
	v := fold(t, original, 0, putChange(KindDataHall, "open", `{"region":"south"}`, 0),
		putChange(KindDataHall, "shut", `{"region":"south","closed":true}`, 0),
		putChange(KindDataHall, "far", `{"region":"north","closed":true}`, 0))
	assert.Equal(t, v.Problem, "")
	checkpoint, err := original.Checkpoint()
	assert.NilError(t, err)
	restored := NewState()
	assert.NilError(t, restored.Restore(checkpoint))
	south, north := Regions{"south"}, Regions{"north"}
	cases := map[string]struct {
		hall    string
		allowed []Regions
		want    reason.Reason
	}{
		"open":                          {"open", nil, ""},
		"closed":                        {"shut", nil, reason.HallClosed},
		"without a document":            {"new", nil, ""},
		"region allowed":                {"open", []Regions{south, nil}, ""},
		"region not allowed by one":     {"open", []Regions{nil, north}, reason.RegionNotAllowed},
		"region allowed by one alone":   {"open", []Regions{south, north}, reason.RegionNotAllowed},
		"no region where one is needed": {"new", []Regions{south}, reason.RegionNotAllowed},
		"closed in an allowed region":   {"shut", []Regions{south}, reason.HallClosed},
		"closed in another region":      {"far", []Regions{south}, reason.RegionNotAllowed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, original.View().ExclusionReason(c.hall, c.allowed...), c.want)
			assert.Equal(t, restored.View().ExclusionReason(c.hall, c.allowed...), c.want)
		})
	}
}

func TestDisjointRegionsWarning(t *testing.T) {
	s := NewState()
	v := fold(t, s, 0, putChange(KindDataHall, "a", `{"region":"south"}`, 0), putChange(KindDataHall, "b", `{"region":"north"}`, 0),
		Change{Operation: OperationPut, Document: Document{Kind: KindModel, Name: "m", Labels: map[string]string{"f": "m"}, Spec: json.RawMessage(`{"version":"v1"}`)}},
		putChange(KindDeployment, "d", `{"modelSelector":"f=m","nodesPerReplica":4,"allowedRegions":["south"]}`, 0),
		putChange(KindAccount, "acc", `{"keyHashes":["`+HashKey("k")+`"],"allowedRegions":["north"]}`, 0))
	assert.Equal(t, v.Problem, "")
	assert.DeepEqual(t, s.View().Warnings(), []string{
		"Deployment/d: no data hall lies in a region that it and client account acc both allow (1 such accounts)",
	})
}
