package wiretest

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

type inner struct {
	Count int            `json:"n"`
	Parts []string       `json:"p"`
	Work  map[string]int `json:"w"`
}

type before struct {
	Name  string `json:"name"`
	Inner *inner `json:"inner"`
}

// TestChangesAreFound checks that Lost and Missing find renamed and removed fields, and that
// Lost returns an error for a field of another type.
func TestChangesAreFound(t *testing.T) {
	b := &before{}
	Fill(b)
	recorded, err := json.Marshal(b)
	assert.NilError(t, err)
	type renamedInner struct {
		Count int            `json:"count"`
		Parts []string       `json:"p"`
		Work  map[string]int `json:"w"`
	}
	tests := map[string]struct {
		current       any
		lost, missing []string
	}{
		"the same": {current: &before{}},
		"a field more": {current: &struct {
			before
			More int `json:"more"`
		}{}},
		"one renamed": {current: &struct {
			Name  string        `json:"name"`
			Inner *renamedInner `json:"inner"`
		}{}, lost: []string{"/inner/n"}, missing: []string{"/inner/n"}},
		"one left out": {current: &struct {
			Inner *inner `json:"inner"`
		}{}, lost: []string{"/name"}, missing: []string{"/name"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lost, err := Lost(recorded, test.current)
			assert.NilError(t, err)
			assert.DeepEqual(t, lost, test.lost)
			Fill(test.current)
			missing, err := Missing(recorded, test.current)
			assert.NilError(t, err)
			assert.DeepEqual(t, missing, test.missing)
		})
	}
	_, err = Lost(recorded, &struct {
		Name int `json:"name"`
	}{})
	assert.ErrorContains(t, err, "decode")
}
