package replica

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/cluster"
)

// TestDomainThatSpansHalls checks that a domain listed in two data halls gets the same data hall
// whatever the order of the list. The warning must be logged only once.
func TestDomainThatSpansHalls(t *testing.T) {
	newListedNode := func(id, hall string) cluster.ListedNode { return cluster.ListedNode{ID: id, DataHall: hall} }
	cases := map[string]struct {
		listed      []cluster.ListedNode
		wantHall    string
		wantWarning bool
	}{
		"one hall":         {[]cluster.ListedNode{newListedNode("n1", "a"), newListedNode("n2", "a")}, "a", false},
		"two halls":        {[]cluster.ListedNode{newListedNode("n1", "a"), newListedNode("n2", "b")}, "a", true},
		"in another order": {[]cluster.ListedNode{newListedNode("n2", "b"), newListedNode("n1", "a")}, "a", true},
		"nothing listed":   {nil, "as before", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			controller := NewController(Options{Logger: hclog.New(&hclog.LoggerOptions{Output: &log})})
			d := newDomain(controller, "fabric-1")
			d.dataHall = "as before"
			for range 3 {
				d.updateNodes(c.listed)
			}
			assert.Equal(t, d.dataHall, c.wantHall)
			wantLines := 0
			if c.wantWarning {
				wantLines = 1
			}
			assert.Equal(t, strings.Count(log.String(), "domain spans data halls"), wantLines, log.String())
		})
	}
}
