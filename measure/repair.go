package measure

import (
	"fmt"
	"math"
	"slices"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/placement"
)

// Parameters of the repair trials. Times are in seconds.
const (
	tickSeconds          = 0.5
	lostTimeout          = 1.5
	longLostTimeout      = 3.0
	drainTime            = 8.0
	nodesPerReplica      = 16
	acceleratorsPerNode  = 4
	weightsPerNodeGB     = 40.0
	fastStoreGBPerSecond = 80.0
	slowStoreGBPerSecond = 10.0
	nodeReplacementTime  = 600.0
	repairTrialDuration  = 1800.0
	faultTime            = 60.0
)

// RepairScenario describes a fault in one fabric domain. The fault is a loss of nodes or a new
// model version.
type RepairScenario struct {
	Name string
	// Nodes is the number of nodes in the domain. Replicas is the number of replicas that should
	// serve.
	Nodes, Replicas int
	// LostNodes holds the indices of the nodes that fail at faultTime.
	LostNodes []int
	// StoreGBPerSecond is the total rate of the weight store in gigabytes per second. Loading nodes
	// share it.
	StoreGBPerSecond float64
	// ChangesVersion is true if the fault is a new model version.
	ChangesVersion bool
}

// RepairScenarios returns the scenarios of the repair trials.
func RepairScenarios() []RepairScenario {
	return []RepairScenario{
		{Name: "one node, spares there", Nodes: 70, Replicas: 4, LostNodes: []int{5}, StoreGBPerSecond: fastStoreGBPerSecond},
		{Name: "one node, slow store", Nodes: 70, Replicas: 4, LostNodes: []int{5}, StoreGBPerSecond: slowStoreGBPerSecond},
		{Name: "rack of 8 nodes", Nodes: 76, Replicas: 4, LostNodes: []int{4, 5, 6, 7, 8, 9, 10, 11}, StoreGBPerSecond: fastStoreGBPerSecond},
		{Name: "rack across two replicas", Nodes: 76, Replicas: 4, LostNodes: []int{12, 13, 14, 15, 16, 17, 18, 19}, StoreGBPerSecond: fastStoreGBPerSecond},
		{Name: "one node, room for another replica", Nodes: 80, Replicas: 4, LostNodes: []int{5}, StoreGBPerSecond: fastStoreGBPerSecond},
		{Name: "new model version", Nodes: 70, Replicas: 4, StoreGBPerSecond: fastStoreGBPerSecond, ChangesVersion: true},
	}
}

// RepairPolicy is a policy for repairing replicas and rolling out versions.
type RepairPolicy struct {
	Name string
	// FillsIdleNodes forms further replicas from idle nodes.
	FillsIdleNodes bool
	// lostTimeout is the time without an answer after which a node counts as lost, in seconds.
	lostTimeout float64
	// dropsCache drops the cached weights of all nodes that get a new assignment.
	dropsCache bool
	// skipsPreload disables preloading. A new version is then rolled out before nodes have loaded
	// its weights.
	skipsPreload bool
}

// RepairPolicies returns the baselines, followed by the policies of quartzshelf. The last two
// differ only in whether idle nodes form further replicas.
func RepairPolicies() []RepairPolicy {
	return []RepairPolicy{
		{Name: "rebuild from scratch", lostTimeout: longLostTimeout, dropsCache: true, skipsPreload: true},
		{Name: "first fit, nothing preloaded", lostTimeout: longLostTimeout, skipsPreload: true},
		{Name: "quartzshelf, twice the patience", lostTimeout: longLostTimeout},
		{Name: "quartzshelf, stranded not priced", lostTimeout: lostTimeout},
		{Name: "quartzshelf, stranded priced", lostTimeout: lostTimeout, FillsIdleNodes: true},
	}
}

// RepairResult holds the measurements of a repair trial. They start at the time of the fault.
type RepairResult struct {
	Scenario, Policy string
	// DowntimeReplicaSeconds is the time in replica-seconds for which replicas were missing or
	// draining. StrandedAcceleratorSeconds is the time in accelerator-seconds for which
	// accelerators were not part of a serving replica.
	DowntimeReplicaSeconds, StrandedAcceleratorSeconds float64
	// MinServingReplicas is the minimum number of replicas that were serving at any time. It is at
	// most RepairScenario.Replicas. Draining replicas don't count.
	MinServingReplicas int
	// IncompleteTime is the total time in seconds for which at least one replica was missing or
	// draining.
	IncompleteTime float64
}

// repairNode is a node in a repair trial.
type repairNode struct {
	placement.Node
	// downUntil is when a failed node is replaced. lostAt is when the planner starts to count it as
	// lost, or infinity if it has not failed.
	downUntil float64
	lostAt    float64
	// remainingGB is how many gigabytes of loadingVersion's weights are still to be loaded.
	remainingGB    float64
	loadingVersion string
}

// repairTrial is the state of one repair trial.
type repairTrial struct {
	scenario      RepairScenario
	policy        RepairPolicy
	now           float64
	nodes         []*repairNode
	generation    uint64
	wantedVersion string
	// drainedAt maps the ID of each draining replica to the time when it has no requests left.
	drainedAt map[string]float64
	result    RepairResult
}

// RunRepair runs one repair trial.
func RunRepair(s RepairScenario, p RepairPolicy) RepairResult {
	r := &repairTrial{scenario: s, policy: p, wantedVersion: "v1", drainedAt: make(map[string]float64)}
	r.result = RepairResult{Scenario: s.Name, Policy: p.Name, MinServingReplicas: s.Replicas}
	for i := range s.Nodes {
		n := &repairNode{Node: placement.Node{
			ID: fmt.Sprintf("n%03d", i), Answering: true, Accelerators: acceleratorsPerNode,
		}, lostAt: math.Inf(1)}
		if i < s.Replicas*nodesPerReplica {
			// Only the nodes of the initial replicas start with cached weights.
			n.Cached = []string{"v1"}
		}
		r.nodes = append(r.nodes, n)
	}
	for r.now = 0; r.now < repairTrialDuration; r.now += tickSeconds {
		r.injectFault()
		r.advanceLoads()
		r.planAndApply()
		r.recordResult()
	}
	return r.result
}

func (r *repairTrial) injectFault() {
	for i, n := range r.nodes {
		switch {
		case r.now == faultTime && slices.Contains(r.scenario.LostNodes, i):
			n.Answering, n.lostAt, n.downUntil = false, r.now+r.policy.lostTimeout, r.now+nodeReplacementTime
			n.loadingVersion = ""
		case !n.Answering && r.now >= n.downUntil:
			*n = repairNode{Node: placement.Node{ID: n.ID, Answering: true, Accelerators: acceleratorsPerNode}, lostAt: math.Inf(1)}
		}
		n.Lost = r.now >= n.lostAt
	}
	if r.scenario.ChangesVersion && r.now == faultTime {
		r.wantedVersion = "v2"
	}
}

// advanceLoads continues all loads for one tick. The loading nodes share the store's rate evenly.
func (r *repairTrial) advanceLoads() {
	loadingCount := 0
	for _, n := range r.nodes {
		if n.loadingVersion != "" {
			loadingCount++
		}
	}
	for _, n := range r.nodes {
		if n.loadingVersion == "" {
			continue
		}
		n.remainingGB -= r.scenario.StoreGBPerSecond * tickSeconds / float64(loadingCount)
		if n.remainingGB > 0 {
			continue
		}
		n.Cached = append(n.Cached, n.loadingVersion)
		n.loadingVersion, n.Preloading = "", nil
		if !n.Assignment.IsEmpty() && slices.Contains(n.Cached, n.Assignment.Version) {
			n.Phase = cluster.PhaseReady
		}
	}
}

func (r *repairTrial) planAndApply() {
	in := placement.Input{Domain: "d", MaxConcurrentLoads: 2, Wants: []placement.Want{{
		Deployment: "chat", Replicas: r.scenario.Replicas, Size: nodesPerReplica, Version: r.wantedVersion,
		Selects: func(map[string]string) bool { return true }, Fill: r.policy.FillsIdleNodes,
		MayRoll: r.replicasToRoll(),
	}}}
	for _, n := range r.nodes {
		plannerView := n.Node
		if r.policy.skipsPreload && r.wantedVersion == "v2" {
			// The baseline rolls out the version without waiting for weights.
			plannerView.Cached = append(slices.Clone(plannerView.Cached), "v2")
		}
		if r.policy.skipsPreload && r.wantedVersion == "v1" {
			plannerView.Cached = nil
		}
		in.Nodes = append(in.Nodes, plannerView)
	}
	r.applyPlan(placement.Make(in))
}

// replicasToRoll returns the ID of a replica that may change its version. It returns nil if not
// enough replicas are serving or all have the wanted version.
func (r *repairTrial) replicasToRoll() []string {
	serving := r.servingReplicas()
	if len(serving) < r.scenario.Replicas {
		return nil
	}
	for _, id := range serving {
		for _, n := range r.nodes {
			if n.Assignment.Replica == id && n.Assignment.Version != r.wantedVersion {
				return []string{id}
			}
		}
	}
	return nil
}

func (r *repairTrial) applyPlan(p placement.Plan) {
	serving := r.servingReplicas()
	byID := make(map[string]*repairNode)
	for _, n := range r.nodes {
		byID[n.ID] = n
	}
	for _, f := range p.Formations {
		if !r.ensureDrained(f, byID, serving) {
			continue
		}
		r.generation++
		for _, s := range f.Steps {
			n := byID[s.Node]
			n.Assignment = s.Assignment
			n.Assignment.Generation = r.generation
			if r.policy.dropsCache {
				n.Cached = nil
			}
			r.startAssignment(n, s.Assignment.Version)
		}
	}
	for _, s := range p.Releases {
		byID[s.Node].Assignment = cluster.Assignment{}
	}
	for _, l := range p.Preloads {
		n := byID[l.Node]
		if !r.policy.skipsPreload && n.loadingVersion == "" {
			n.loadingVersion, n.remainingGB, n.Preloading = l.Version, weightsPerNodeGB, []string{l.Version}
		}
	}
}

func (r *repairTrial) startAssignment(n *repairNode, version string) {
	if slices.Contains(n.Cached, version) {
		n.Phase = cluster.PhaseReady
		return
	}
	n.Phase = cluster.PhaseLoading
	n.loadingVersion, n.remainingGB, n.Preloading = version, weightsPerNodeGB, nil
}

// ensureDrained reports whether all serving replicas that lose nodes to a formation have been
// drained. It starts to drain those that are not yet draining.
func (r *repairTrial) ensureDrained(f placement.Formation, byID map[string]*repairNode, serving []string) bool {
	affected := make(map[string]bool)
	for _, s := range f.Steps {
		if from := byID[s.Node].Assignment.Replica; slices.Contains(serving, from) {
			affected[from] = true
		}
	}
	allDrained := true
	for from := range affected {
		if _, draining := r.drainedAt[from]; !draining {
			r.drainedAt[from] = r.now + drainTime
		}
		allDrained = allDrained && r.now >= r.drainedAt[from]
	}
	if allDrained {
		for from := range affected {
			delete(r.drainedAt, from)
		}
	}
	return allDrained
}

// servingReplicas returns the sorted IDs of the replicas whose nodes all answer and are ready.
func (r *repairTrial) servingReplicas() []string {
	readyNodeCounts := make(map[string]int)
	for _, n := range r.nodes {
		if n.Answering && !n.Assignment.IsEmpty() && n.Phase == cluster.PhaseReady {
			readyNodeCounts[fmt.Sprint(n.Assignment.Replica, "@", n.Assignment.Generation)]++
		}
	}
	var ids []string
	for _, n := range r.nodes {
		a := n.Assignment
		isComplete := readyNodeCounts[fmt.Sprint(a.Replica, "@", a.Generation)] == nodesPerReplica
		if isComplete && !slices.Contains(ids, a.Replica) {
			ids = append(ids, a.Replica)
		}
	}
	slices.Sort(ids)
	return ids
}

func (r *repairTrial) recordResult() {
	if r.now < faultTime {
		return
	}
	serving := r.servingReplicas()
	availableCount := 0
	for _, id := range serving {
		if _, draining := r.drainedAt[id]; !draining {
			availableCount++
		}
	}
	missingCount := max(r.scenario.Replicas-availableCount, 0)
	r.result.DowntimeReplicaSeconds += float64(missingCount) * tickSeconds
	r.result.MinServingReplicas = min(r.result.MinServingReplicas, r.scenario.Replicas-missingCount)
	if missingCount > 0 {
		r.result.IncompleteTime += tickSeconds
	}
	idleCount := len(r.nodes) - nodesPerReplica*len(serving)
	r.result.StrandedAcceleratorSeconds += float64(idleCount*acceleratorsPerNode) * tickSeconds
}
