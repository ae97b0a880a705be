package placement

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/cluster"
)

func TestClosedHallKeepsReplicas(t *testing.T) {
	formed := carryOut(idleNodes(10), Make(Input{Domain: "d", Nodes: idleNodes(10), Wants: []Want{want("chat", 2, 0)}}), 1)
	change := func(id int, f func(*Node)) []Node {
		nodes := append([]Node{}, formed...)
		f(&nodes[id])
		return nodes
	}
	cases := map[string]struct {
		nodes    []Node
		wants    []Want
		kept     []string
		dark     map[string]string
		released int
	}{
		"as many as wanted": {nodes: formed, wants: []Want{want("chat", 2, 0)}, kept: []string{"chat-d-0", "chat-d-1"}},
		"more than wanted":  {nodes: formed, wants: []Want{want("chat", 0, 0)}, kept: []string{"chat-d-0", "chat-d-1"}},
		"fewer than wanted": {nodes: formed[:4], wants: []Want{want("chat", 2, 0)}, kept: []string{"chat-d-0"}},
		"nothing formed":    {nodes: idleNodes(8), wants: []Want{want("chat", 2, 0)}},
		"a node is switched off": {
			nodes: change(1, func(n *Node) { n.Answering, n.Lost = false, true }),
			wants: []Want{want("chat", 2, 0)}, kept: []string{"chat-d-1"},
			dark: map[string]string{"chat-d-0": "node n01 does not answer; its data hall is closed"},
		},
		"a node leaves": {
			nodes: change(1, func(n *Node) { n.Leaving = true }),
			wants: []Want{want("chat", 2, 0)}, kept: []string{"chat-d-1"}, released: 1,
			dark: map[string]string{"chat-d-0": "node n01 is leaving; its data hall is closed"},
		},
		"another version is wanted": {
			nodes: formed, wants: []Want{func() Want {
				w := want("chat", 2, 0)
				w.Version, w.MayRoll = "v2", []string{"chat-d-0"}
				return w
			}()}, kept: []string{"chat-d-0", "chat-d-1"},
		},
		"no longer wanted": {nodes: formed, released: 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := Make(Input{Domain: "d", Nodes: c.nodes, Wants: c.wants, Closed: true})
			assert.DeepEqual(t, p.Kept, c.kept)
			if c.dark == nil {
				c.dark = map[string]string{}
			}
			assert.DeepEqual(t, p.NotServing, c.dark)
			assert.Equal(t, len(p.Releases), c.released)
			assert.Equal(t, len(p.Formations)+len(p.Preloads), 0)
			for id, why := range p.Idle {
				assert.Equal(t, why, "its data hall is closed", id)
			}
		})
	}
}

// TestOpeningKeepsCompleteReplicas changes the nodes of one replica while a hall is closed. It
// checks that the other replica is kept when the hall opens, without orders to its nodes.
func TestOpeningKeepsCompleteReplicas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wants := []Want{want("chat", 2, 0)}
		nodes := carryOut(idleNodes(10), Make(Input{Domain: "d", Nodes: idleNodes(10), Wants: wants}), 1)
		for range rapid.IntRange(0, 5).Draw(rt, "looks") {
			i := rapid.IntRange(4, 9).Draw(rt, "node")
			nodes[i].Lost = rapid.Bool().Draw(rt, "lost")
			nodes[i].Answering = !nodes[i].Lost
			if rapid.Bool().Draw(rt, "restarted") {
				nodes[i].Assignment = cluster.Assignment{}
			}
			closed := []Want{want("chat", rapid.IntRange(0, 2).Draw(rt, "share"), 0)}
			nodes = carryOut(nodes, Make(Input{Domain: "d", Nodes: nodes, Wants: closed, Closed: true}), 10)
		}
		p := Make(Input{Domain: "d", Nodes: nodes, Wants: wants})
		if len(p.Kept) == 0 || p.Kept[0] != "chat-d-0" {
			rt.Fatalf("chat-d-0 is not kept: %v, %v", p.Kept, p.NotServing)
		}
		for _, f := range p.Formations {
			if f.Replica == "chat-d-0" {
				rt.Fatalf("chat-d-0 is formed again: %v", f.Reason)
			}
		}
	})
}
