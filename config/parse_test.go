package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseFileErrorPosition(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"replica too large": {
			"kind: Deployment\nname: chat\nspec:\n  modelSelector: a=b\n  nodesPerReplica: 64\n",
			[]string{"f.yaml:5", "spec.nodesPerReplica", "64 is outside 4 to 32"},
		},
		"replica too small": {
			"kind: Deployment\nname: chat\nspec:\n  modelSelector: a=b\n  nodesPerReplica: 3\n",
			[]string{"f.yaml:5", "3 is outside 4 to 32"},
		},
		"unknown kind":    {"kind: Thing\nname: x\n", []string{"f.yaml:1", "field kind", "Thing"}},
		"bad selector":    {"kind: Deployment\nname: x\nspec:\n  nodesPerReplica: 4\n  modelSelector: 'a in ('\n", []string{"f.yaml:5", "spec.modelSelector"}},
		"unknown field":   {"kind: Model\nname: x\ncolour: red\n", []string{"f.yaml", "colour"}},
		"unknown in spec": {"kind: Model\nname: x\nspec: {version: v1, color: red}\n", []string{"f.yaml:", "color"}},
		"second document": {"kind: Model\nname: x\nspec: {version: v1}\n---\nkind: Model\nname: y\n", []string{"f.yaml:5", "spec.version"}},
		"bad name":        {"kind: Node\nname: Big Name\n", []string{"f.yaml:2", "field name"}},
		"plain key":       {"kind: ClientAccount\nname: a\nspec:\n  keyHashes: [secret]\n", []string{"f.yaml:4", "spec.keyHashes[0]"}},
		"hall neither closed nor open": {
			"kind: DataHall\nname: hall-a\nspec:\n  closed: maybe\n",
			[]string{"f.yaml:", "DataHall/hall-a", "closed"},
		},
		"hall with a bad region": {
			"kind: DataHall\nname: hall-a\nspec:\n  region: Far North\n",
			[]string{"f.yaml:4", "spec.region", "Far North"},
		},
		"hall without a name": {"kind: DataHall\n", []string{"f.yaml:1", "field name"}},
		"huge name":           {"kind: DataHall\nname: " + strings.Repeat("a", 1<<20) + "\n", []string{"f.yaml:2", "at most 63"}},
		"no region allowed": {
			"kind: Service\nname: s\nspec:\n  nodeSelector: a=b\n  allowedRegions: []\n",
			[]string{"f.yaml:5", "spec.allowedRegions", "must name a region"},
		},
		"second region bad": {
			"kind: Service\nname: s\nspec:\n  nodeSelector: a=b\n  allowedRegions:\n    - south\n    - Big\n",
			[]string{"f.yaml:7", "spec.allowedRegions[1]", "Big"},
		},
		"malformed YAML":   {"kind: [", []string{"f.yaml"}},
		"label with space": {"kind: Node\nname: n\nlabels: {a: 'b c'}\n", []string{"f.yaml:3", "labels"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseFile("f.yaml", c.text)
			assert.Assert(t, err != nil)
			for _, part := range c.want {
				assert.Assert(t, strings.Contains(err.Error(), part), "%q is not in: %v", part, err)
			}
		})
	}
}

func TestParseFileMultipleDocuments(t *testing.T) {
	parsed, err := ParseFile("f.yaml", "# only a comment\n---\nkind: Model\nname: m\nspec: {version: v1}\n---\nkind: Node\nname: n\nlabels: {a: b}\n")
	assert.NilError(t, err)
	assert.Equal(t, len(parsed), 2)
	assert.Equal(t, parsed[1].Document().Labels["a"], "b")
}
