package placement

import (
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

func everyNode(map[string]string) bool { return true }

func want(deployment string, replicas, priority int) Want {
	return Want{
		Deployment: deployment, Replicas: replicas, Size: 4, Priority: priority, Version: "v1", Selects: everyNode,
	}
}

// idleNodes returns n answering nodes without assignments.
func idleNodes(n int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{ID: fmt.Sprintf("n%02d", i), Answering: true, Phase: cluster.PhaseIdle, Accelerators: 4}
	}
	return nodes
}

// carryOut returns the states of the nodes after they have carried out a plan. The replicas that it
// forms get the given generation.
func carryOut(nodes []Node, p Plan, generation uint64) []Node {
	next := make([]Node, len(nodes))
	copy(next, nodes)
	byID := make(map[string]*Node)
	for i := range next {
		byID[next[i].ID] = &next[i]
	}
	for _, s := range p.Releases {
		byID[s.Node].Assignment = cluster.Assignment{}
	}
	for _, f := range p.Formations {
		for _, s := range f.Steps {
			n := byID[s.Node]
			n.Assignment = s.Assignment
			n.Assignment.Generation = generation
			n.Phase = cluster.PhaseReady
			n.Cached = []string{s.Assignment.Version}
		}
		generation++
	}
	for _, l := range p.Preloads {
		n := byID[l.Node]
		n.Cached = append(append([]string{}, n.Cached...), l.Version)
	}
	return next
}

func TestMake(t *testing.T) {
	formed := carryOut(idleNodes(6), Make(Input{Domain: "d", Nodes: idleNodes(6), Wants: []Want{want("chat", 1, 0)}}), 1)
	change := func(id int, f func(*Node)) []Node {
		nodes := append([]Node{}, formed...)
		f(&nodes[id])
		return nodes
	}
	cases := map[string]struct {
		in       Input
		formed   int
		members  []string
		released int
		dark     string
	}{
		"forms from idle nodes": {
			in: Input{Nodes: idleNodes(6), Wants: []Want{want("chat", 1, 0)}}, formed: 1,
			members: []string{"n00", "n01", "n02", "n03"}, dark: "wanted by the deployment",
		},
		"keeps a complete replica":             {in: Input{Nodes: formed, Wants: []Want{want("chat", 1, 0)}}},
		"keeps a replica after a missed probe": {in: Input{Nodes: change(1, func(n *Node) { n.Answering = false }), Wants: []Want{want("chat", 1, 0)}}},
		"releases what is not wanted":          {in: Input{Nodes: formed}, released: 4},
		"too few nodes are explained":          {in: Input{Nodes: idleNodes(3), Wants: []Want{want("chat", 1, 0)}}, dark: "wanted by the deployment; needs 4 nodes, only 3 can be used"},
		"replaces a lost node by a spare": {
			in:     Input{Nodes: change(1, func(n *Node) { n.Answering, n.Lost = false, true }), Wants: []Want{want("chat", 1, 0)}},
			formed: 1, members: []string{"n00", "n02", "n03", "n04"}, dark: "node n01 does not answer",
		},
		"replaces a leaving node and frees it": {
			in:     Input{Nodes: change(2, func(n *Node) { n.Leaving = true }), Wants: []Want{want("chat", 1, 0)}},
			formed: 1, members: []string{"n00", "n01", "n03", "n04"}, released: 1, dark: "node n02 is leaving",
		},
		"takes back a node that restarted": {
			in:     Input{Nodes: change(3, func(n *Node) { n.Assignment = cluster.Assignment{} }), Wants: []Want{want("chat", 1, 0)}},
			formed: 1, dark: "node n03 lost its assignment",
		},
		"higher priority takes nodes": {
			in:     Input{Nodes: formed[:4], Wants: []Want{want("chat", 1, 0), want("vip", 1, 1)}},
			formed: 1, members: []string{"n00", "n01", "n02", "n03"}, dark: "its nodes went to vip, which has the higher priority",
		},
		"equal priority takes none": {
			in:   Input{Nodes: formed[:4], Wants: []Want{want("chat", 1, 0), want("vip", 1, 0)}},
			dark: "wanted by the deployment; needs 4 nodes, only 0 can be used",
		},
		"never touches scripted nodes": {
			in:   Input{Nodes: change(0, func(n *Node) { n.Scripted = true }), Wants: []Want{want("chat", 0, 0)}},
			dark: "", released: 3,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.in.Domain = "d"
			p := Make(c.in)
			assert.Equal(t, len(p.Formations), c.formed)
			assert.Equal(t, len(p.Releases), c.released)
			if c.members != nil {
				assert.DeepEqual(t, p.Formations[0].Steps[0].Assignment.Members, c.members)
			}
			found := c.dark == ""
			for _, reason := range p.NotServing {
				found = found || reason == c.dark
			}
			assert.Assert(t, found, "%v", p.NotServing)
		})
	}
}

// TestExtraReplicaReplacesBrokenOne forms an additional replica from idle nodes. If the wanted
// replica loses a node, the additional one must replace it, without orders to its nodes. If both
// lose a node, the remaining nodes must form one replica.
func TestExtraReplicaReplacesBrokenOne(t *testing.T) {
	filling := want("chat", 1, 0)
	filling.Fill = true
	in := Input{Domain: "d", Nodes: idleNodes(8), Wants: []Want{filling}}
	in.Nodes = carryOut(in.Nodes, Make(in), 1)
	in.Nodes = carryOut(in.Nodes, Make(in), 10)
	p := Make(in)
	assert.Equal(t, len(p.Kept), 2)
	assert.Equal(t, len(p.Formations)+len(p.Releases), 0)
	in.Nodes[1].Answering, in.Nodes[1].Lost = false, true
	p = Make(in)
	assert.DeepEqual(t, p.Kept, []string{"chat-d-1"})
	assert.Equal(t, len(p.Formations), 0)
	in.Nodes[5].Answering, in.Nodes[5].Lost = false, true
	p = Make(in)
	assert.Equal(t, len(p.Formations), 1)
}

// TestRollLoadsFirst checks that a replica changes its version only after its nodes have the
// weights.
func TestRollLoadsFirst(t *testing.T) {
	in := Input{Domain: "d", Nodes: idleNodes(4), Wants: []Want{want("chat", 1, 0)}}
	in.Nodes = carryOut(in.Nodes, Make(in), 1)
	in.Wants[0].Version = "v2"
	in.Wants[0].MayRoll = []string{"chat-d-0"}
	p := Make(in)
	assert.Equal(t, len(p.Formations), 0)
	assert.Equal(t, len(p.Preloads), 4)
	in.Nodes = carryOut(in.Nodes, p, 0)
	p = Make(in)
	assert.Equal(t, len(p.Formations), 1)
	in.Nodes = carryOut(in.Nodes, p, 20)
	assert.Equal(t, len(Make(in).Formations), 0)
}

func drawInput(t *rapid.T) Input {
	in := Input{Domain: "d", MaxConcurrentLoads: rapid.IntRange(0, 3).Draw(t, "slots")}
	replicas := []string{"", "", "chat-d-0", "chat-d-1", "batch-d-0"}
	for i := range rapid.IntRange(0, 24).Draw(t, "nodes") {
		n := Node{
			ID: fmt.Sprintf("n%02d", i), Answering: rapid.IntRange(0, 5).Draw(t, "answering") > 0,
			Leaving: rapid.IntRange(0, 8).Draw(t, "leaving") == 0, Scripted: rapid.IntRange(0, 8).Draw(t, "scripted") == 0,
			Unorderable: rapid.IntRange(0, 8).Draw(t, "unorderable") == 0, Accelerators: 4,
			Cached: []string{rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "cached")},
		}
		n.Lost = !n.Answering && rapid.Bool().Draw(t, "lost")
		if id := rapid.SampledFrom(replicas).Draw(t, "replica"); id != "" {
			n.Assignment = cluster.Assignment{
				Replica: id, Generation: uint64(rapid.IntRange(1, 2).Draw(t, "generation")),
				Deployment: id[:len(id)-len("-d-0")], Version: "v1",
				Members: []string{"n00", "n01", "n02", n.ID},
			}
			n.Phase = cluster.PhaseReady
		}
		in.Nodes = append(in.Nodes, n)
	}
	for i, name := range []string{"chat", "batch"} {
		w := want(name, rapid.IntRange(0, 3).Draw(t, "wanted"), i*rapid.IntRange(0, 1).Draw(t, "priority"))
		w.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
		w.Fill = rapid.Bool().Draw(t, "fill")
		w.MayRoll = []string{name + "-d-0"}
		in.Wants = append(in.Wants, w)
	}
	return in
}

// TestPlanIsSound plans domains in arbitrary states. A plan must use each node at most once, and
// only usable nodes. It must form complete replicas and be deterministic. If plans are made and
// carried out repeatedly, the orders must cease.
func TestPlanIsSound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := drawInput(rt)
		p := Make(in)
		if !reflect.DeepEqual(p, Make(in)) {
			rt.Fatalf("two plans for one input")
		}
		checkPlan(rt, in, p)
		for range 40 {
			if len(p.Formations)+len(p.Releases)+len(p.Preloads) == 0 {
				return
			}
			in.Nodes = carryOut(in.Nodes, p, highestGeneration(in.Nodes)+1)
			p = Make(in)
			checkPlan(rt, in, p)
		}
		rt.Fatalf("the plans do not reach a stable state: %+v", p)
	})
}

func highestGeneration(nodes []Node) uint64 {
	var highest uint64
	for _, n := range nodes {
		highest = max(highest, n.Assignment.Generation)
	}
	return highest
}

func checkPlan(t *rapid.T, in Input, p Plan) {
	byID := make(map[string]Node)
	for _, n := range in.Nodes {
		byID[n.ID] = n
	}
	used := checkFormations(t, byID, p)
	for _, s := range p.Releases {
		if byID[s.Node].Scripted || used[s.Node] != "" {
			t.Fatalf("node %s must not be released", s.Node)
		}
	}
	for _, l := range p.Preloads {
		if !byID[l.Node].isUsable() {
			t.Fatalf("node %s must not preload", l.Node)
		}
	}
}

// checkFormations checks the formations and returns the replica that uses each node.
func checkFormations(t *rapid.T, byID map[string]Node, p Plan) map[string]string {
	used := make(map[string]string)
	for _, f := range p.Formations {
		if len(f.Steps) != 4 {
			t.Fatalf("%s is formed from %d nodes", f.Replica, len(f.Steps))
		}
		for _, s := range f.Steps {
			if other, isUsed := used[s.Node]; isUsed {
				t.Fatalf("node %s is used by %s and %s", s.Node, other, f.Replica)
			}
			used[s.Node] = f.Replica
			if n := byID[s.Node]; !n.isUsable() {
				t.Fatalf("%s uses node %+v", f.Replica, n)
			}
		}
	}
	return used
}

func TestApportion(t *testing.T) {
	cases := map[string]struct {
		replicas int
		supplies []Supply
		want     map[string]int
	}{
		"spreads by room":                  {3, []Supply{{Domain: "a", Eligible: 12}, {Domain: "b", Eligible: 6}}, map[string]int{"a": 2, "b": 1}},
		"keeps what serves":                {1, []Supply{{Domain: "a", Eligible: 12}, {Domain: "b", Eligible: 4, Existing: 1, Serving: 1}}, map[string]int{"a": 0, "b": 1}},
		"moves what has no room":           {1, []Supply{{Domain: "a", Eligible: 3, Existing: 1}, {Domain: "b", Eligible: 4}}, map[string]int{"a": 0, "b": 1}},
		"as many as fit":                   {0, []Supply{{Domain: "a", Eligible: 11}, {Domain: "b", Eligible: 4}}, map[string]int{"a": 2, "b": 1}},
		"drops surplus in the last domain": {1, []Supply{{Domain: "a", Eligible: 4, Existing: 1, Serving: 1}, {Domain: "b", Eligible: 4, Existing: 1, Serving: 1}}, map[string]int{"a": 1, "b": 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := Apportion(Demand{Deployment: "chat", Replicas: c.replicas, Size: 4}, c.supplies)
			assert.DeepEqual(t, got, c.want)
		})
	}
}
