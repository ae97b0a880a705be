package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestGroupNames(t *testing.T) {
	head := &Worker{ID: "i-1-r2", Address: "10.0.0.1:80"}
	tests := map[string]struct {
		name, model, key string
		id, address      string
		ok               bool
	}{
		"with a head":       {name: GroupName("a-r-model", 77, head), model: "a-r-model", key: "a-r-model-r25@77", id: "i-1-r2", address: "10.0.0.1:80", ok: true},
		"without one":       {name: GroupName("m", 1, nil), model: "m", key: "m-r1@77"},
		"another's name":    {name: "g7", key: "g7@77"},
		"a torn head":       {name: "m-r1!i-1", model: "m", key: "m-r1@77", id: "i-1"},
		"an empty name":     {key: "@77"},
		"a mark at the end": {name: "m-r1!", model: "m", key: "m-r1@77"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, ModelOf(test.name), test.model)
			assert.Equal(t, GroupKey(Membership{Group: test.name, Epoch: 77}), test.key)
			id, address, ok := HeadOf(test.name)
			assert.Equal(t, ok, test.ok)
			assert.Equal(t, id, test.id)
			assert.Equal(t, address, test.address)
		})
	}
}
