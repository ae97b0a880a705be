package measure

import (
	"fmt"
	"math"
	"slices"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/placement"
)

// Model of the repair trials, in seconds unless said otherwise.
const (
	tick             = 0.5
	loseAfter        = 1.5
	loseLate         = 3.0
	drainTime        = 8.0
	replicaSize      = 16
	accelerators     = 4
	loadPerNodeGB    = 40.0
	storeFastGB      = 80.0
	storeSlowGB      = 10.0
	replaceNodeAfter = 600.0
	repairLength     = 1800.0
	faultAt          = 60.0
)

// RepairScenario is a loss of nodes in one fabric domain.
type RepairScenario struct {
	Name string
	// Nodes is the size of the domain, Replicas how many are wanted.
	Nodes, Replicas int
	// Lost are the nodes that fail together.
	Lost []int
	// StoreGB is the rate of the weight store in gigabytes a second.
	StoreGB float64
	// NewVersion changes the model's version instead of losing nodes.
	NewVersion bool
}

// RepairScenarios returns the scenarios that are tried.
func RepairScenarios() []RepairScenario {
	return []RepairScenario{
		{Name: "one node, spares there", Nodes: 70, Replicas: 4, Lost: []int{5}, StoreGB: storeFastGB},
		{Name: "one node, slow store", Nodes: 70, Replicas: 4, Lost: []int{5}, StoreGB: storeSlowGB},
		{Name: "rack of 8 nodes", Nodes: 76, Replicas: 4, Lost: []int{4, 5, 6, 7, 8, 9, 10, 11}, StoreGB: storeFastGB},
		{Name: "rack across two replicas", Nodes: 76, Replicas: 4, Lost: []int{12, 13, 14, 15, 16, 17, 18, 19}, StoreGB: storeFastGB},
		{Name: "one node, room for another replica", Nodes: 80, Replicas: 4, Lost: []int{5}, StoreGB: storeFastGB},
		{Name: "new model version", Nodes: 70, Replicas: 4, StoreGB: storeFastGB, NewVersion: true},
	}
}

// RepairPolicy is a way to plan.
type RepairPolicy struct {
	Name string
	// Fill forms further replicas from idle nodes.
	Fill bool
	// patience is how long a node may be silent.
	patience float64
	// scratch throws the survivors' weights away with their replica.
	scratch bool
	// noPreload takes preloads out and rolls at once.
	noPreload bool
}

// RepairPolicies returns the baselines and, last, what quartzshelf does for
// the two kinds of objective.
func RepairPolicies() []RepairPolicy {
	return []RepairPolicy{
		{Name: "rebuild from scratch", patience: loseLate, scratch: true, noPreload: true},
		{Name: "first fit, nothing preloaded", patience: loseLate, noPreload: true},
		{Name: "quartzshelf, twice the patience", patience: loseLate},
		{Name: "quartzshelf, stranded not priced", patience: loseAfter},
		{Name: "quartzshelf, stranded priced", patience: loseAfter, Fill: true},
	}
}

// RepairResult is what a trial measured.
type RepairResult struct {
	Scenario, Policy string
	// Downtime is in replica-seconds, Stranded in accelerator-seconds, both
	// from the fault on.
	Downtime, Stranded float64
	// LeastServing is the least number of wanted replicas that served.
	LeastServing int
	// Longest is how long the wanted replicas were not all serving.
	Longest float64
}

// repairNode is a node of a trial.
type repairNode struct {
	placement.Node
	downUntil float64
	lostAt    float64
	// loadsLeft is how many gigabytes are still to be fetched for version.
	loadsLeft float64
	loading   string
}

type repair struct {
	scenario   RepairScenario
	policy     RepairPolicy
	now        float64
	nodes      []*repairNode
	generation uint64
	version    string
	drains     map[string]float64
	result     RepairResult
}

// Repair runs one trial.
func Repair(s RepairScenario, p RepairPolicy) RepairResult {
	r := &repair{scenario: s, policy: p, version: "v1", drains: make(map[string]float64)}
	r.result = RepairResult{Scenario: s.Name, Policy: p.Name, LeastServing: s.Replicas}
	for i := range s.Nodes {
		n := &repairNode{Node: placement.Node{
			ID: fmt.Sprintf("n%03d", i), Answering: true, Accelerators: accelerators,
		}, lostAt: math.Inf(1)}
		if i < s.Replicas*replicaSize {
			// The spares begin cold.
			n.Cached = []string{"v1"}
		}
		r.nodes = append(r.nodes, n)
	}
	for r.now = 0; r.now < repairLength; r.now += tick {
		r.fault()
		r.fetch()
		r.plan()
		r.account()
	}
	return r.result
}

func (r *repair) fault() {
	for i, n := range r.nodes {
		switch {
		case r.now == faultAt && slices.Contains(r.scenario.Lost, i):
			n.Answering, n.lostAt, n.downUntil = false, r.now+r.policy.patience, r.now+replaceNodeAfter
			n.loading = ""
		case !n.Answering && r.now >= n.downUntil:
			*n = repairNode{Node: placement.Node{ID: n.ID, Answering: true, Accelerators: accelerators}, lostAt: math.Inf(1)}
		}
		n.Lost = r.now >= n.lostAt
	}
	if r.scenario.NewVersion && r.now == faultAt {
		r.version = "v2"
	}
}

// fetch shares the store's rate among the nodes that load.
func (r *repair) fetch() {
	loading := 0
	for _, n := range r.nodes {
		if n.loading != "" {
			loading++
		}
	}
	for _, n := range r.nodes {
		if n.loading == "" {
			continue
		}
		n.loadsLeft -= r.scenario.StoreGB * tick / float64(loading)
		if n.loadsLeft > 0 {
			continue
		}
		n.Cached = append(n.Cached, n.loading)
		n.loading, n.Preloading = "", nil
		if !n.Assignment.Empty() && slices.Contains(n.Cached, n.Assignment.Version) {
			n.Phase = cluster.PhaseReady
		}
	}
}

func (r *repair) plan() {
	in := placement.Input{Domain: "d", LoadSlots: 2, Wants: []placement.Want{{
		Deployment: "chat", Replicas: r.scenario.Replicas, Size: replicaSize, Version: r.version,
		Selects: func(map[string]string) bool { return true }, Fill: r.policy.Fill,
		MayRoll: r.mayRoll(),
	}}}
	for _, n := range r.nodes {
		seen := n.Node
		if r.policy.noPreload && r.version == "v2" {
			// The baseline rolls without waiting for weights.
			seen.Cached = append(slices.Clone(seen.Cached), "v2")
		}
		if r.policy.noPreload && r.version == "v1" {
			seen.Cached = nil
		}
		in.Nodes = append(in.Nodes, seen)
	}
	r.carryOut(placement.Make(in))
}

// mayRoll allows one replica at a time, once all others serve.
func (r *repair) mayRoll() []string {
	serving := r.serving()
	if len(serving) < r.scenario.Replicas {
		return nil
	}
	for _, id := range serving {
		for _, n := range r.nodes {
			if n.Assignment.Replica == id && n.Assignment.Version != r.version {
				return []string{id}
			}
		}
	}
	return nil
}

func (r *repair) carryOut(p placement.Plan) {
	serving := r.serving()
	byID := make(map[string]*repairNode)
	for _, n := range r.nodes {
		byID[n.ID] = n
	}
	for _, f := range p.Formations {
		if !r.drained(f, byID, serving) {
			continue
		}
		r.generation++
		for _, s := range f.Steps {
			n := byID[s.Node]
			n.Assignment = s.Assignment
			n.Assignment.Generation = r.generation
			if r.policy.scratch {
				n.Cached = nil
			}
			r.begin(n, s.Assignment.Version)
		}
	}
	for _, s := range p.Releases {
		byID[s.Node].Assignment = cluster.Assignment{}
	}
	for _, l := range p.Preloads {
		n := byID[l.Node]
		if !r.policy.noPreload && n.loading == "" {
			n.loading, n.loadsLeft, n.Preloading = l.Version, loadPerNodeGB, []string{l.Version}
		}
	}
}

func (r *repair) begin(n *repairNode, version string) {
	if slices.Contains(n.Cached, version) {
		n.Phase = cluster.PhaseReady
		return
	}
	n.Phase = cluster.PhaseLoading
	n.loading, n.loadsLeft, n.Preloading = version, loadPerNodeGB, nil
}

// drained reports whether the replicas that give up nodes have been emptied.
func (r *repair) drained(f placement.Formation, byID map[string]*repairNode, serving []string) bool {
	giving := make(map[string]bool)
	for _, s := range f.Steps {
		if from := byID[s.Node].Assignment.Replica; slices.Contains(serving, from) {
			giving[from] = true
		}
	}
	ready := true
	for from := range giving {
		if _, draining := r.drains[from]; !draining {
			r.drains[from] = r.now + drainTime
		}
		ready = ready && r.now >= r.drains[from]
	}
	if ready {
		for from := range giving {
			delete(r.drains, from)
		}
	}
	return ready
}

// serving returns the replicas whose nodes all answer and are ready.
func (r *repair) serving() []string {
	count := make(map[string]int)
	for _, n := range r.nodes {
		if n.Answering && !n.Assignment.Empty() && n.Phase == cluster.PhaseReady {
			count[fmt.Sprint(n.Assignment.Replica, "@", n.Assignment.Generation)]++
		}
	}
	var ids []string
	for _, n := range r.nodes {
		a := n.Assignment
		whole := count[fmt.Sprint(a.Replica, "@", a.Generation)] == replicaSize
		if whole && !slices.Contains(ids, a.Replica) {
			ids = append(ids, a.Replica)
		}
	}
	slices.Sort(ids)
	return ids
}

func (r *repair) account() {
	if r.now < faultAt {
		return
	}
	serving := r.serving()
	undrained := 0
	for _, id := range serving {
		if _, draining := r.drains[id]; !draining {
			undrained++
		}
	}
	missing := max(r.scenario.Replicas-undrained, 0)
	r.result.Downtime += float64(missing) * tick
	r.result.LeastServing = min(r.result.LeastServing, r.scenario.Replicas-missing)
	if missing > 0 {
		r.result.Longest += tick
	}
	idle := len(r.nodes) - replicaSize*len(serving)
	r.result.Stranded += float64(idle*accelerators) * tick
}
