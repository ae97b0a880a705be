// Package placement decides which nodes of a fabric domain form which replica. It does no I/O, and
// the same input always gives the same plan.
package placement

import (
	"slices"

	"quartzshelf.dev/cluster"
)

// Node is the state of a node as seen by the planner.
type Node struct {
	ID string
	// Labels are the labels from the node list. Labels that operators set override them.
	Labels map[string]string
	// Answering means that the node answered the last probe.
	Answering bool
	// Lost means that the node has not answered for so long that it is considered failed.
	Lost bool
	// Leaving means that the node list or a label marks the node as being taken out of service.
	Leaving bool
	// Scripted means that scripts manage the node, so that it gets no orders.
	Scripted bool
	// Unorderable means that the node cannot be given orders at present.
	Unorderable  bool
	Accelerators int
	Assignment   cluster.Assignment
	Phase        cluster.Phase
	// Cached lists the versions whose weights the node has cached.
	Cached []string
	// Preloading lists the versions that the node is fetching in the background.
	Preloading []string
}

// isUsable reports whether the node may become part of a replica.
func (n Node) isUsable() bool {
	return n.Answering && !n.Lost && !n.Leaving && !n.Scripted && !n.Unorderable
}

// hasWeights reports whether the node has cached the weights of a version.
func (n Node) hasWeights(version string) bool {
	return slices.Contains(n.Cached, version)
}

// Want is what a deployment requests from the domain.
type Want struct {
	Deployment string
	// Replicas is the number of replicas that this domain should have.
	Replicas int
	// Size is the number of nodes of a replica.
	Size     int
	Priority int
	Model    string
	Version  string
	Adapters []string
	// Selects reports whether a node with the given labels may be used.
	Selects func(labels map[string]string) bool
	// Objective weighs downtime against idle accelerators.
	Objective Objective
	// Fill requests additional replicas on nodes that would otherwise be idle.
	Fill bool
	// MayRoll lists the IDs of the replicas that may be taken down now to change their version.
	MayRoll []string
}

// Objective holds the costs by which downtime is weighed against stranded accelerators. A stranded
// accelerator is one whose node belongs to no replica.
type Objective struct {
	// Downtime is the cost of each second in which a wanted replica does not serve.
	Downtime float64
	// Stranded is the cost of each second of an accelerator without a replica.
	Stranded float64
}

// Input holds everything that a plan depends on.
type Input struct {
	Domain string
	Nodes  []Node
	Wants  []Want
	// MaxConcurrentLoads is the maximum number of replicas that load weights at the same time; zero
	// means no limit. A limit makes the first of several replicas ready earlier.
	MaxConcurrentLoads int
	// Closed means that the domain's data hall is closed. Replicas then stay as they are, and none
	// are formed or repaired.
	Closed bool
}

// Step is an order to a node.
type Step struct {
	Node       string
	Assignment cluster.Assignment
	// Reason explains the order to operators.
	Reason string
}

// Preload is an order to a node to fetch the weights of a version in the background.
type Preload struct {
	Node    string
	Version string
	Reason  string
}

// Formation is the set of orders that form a replica.
type Formation struct {
	Replica string
	Steps   []Step
	Reason  string
}

// Plan holds the orders to give, and the reasons why nodes and replicas are in their current
// state.
type Plan struct {
	Formations []Formation
	// Preloads are orders to fetch weights in the background.
	Preloads []Preload
	// Releases remove nodes from replicas that are no longer wanted.
	Releases []Step
	// NotServing maps the ID of each wanted replica that does not serve to the reason.
	NotServing map[string]string
	// Idle maps the ID of each node without a replica to the reason.
	Idle map[string]string
	// Kept lists the IDs of the replicas that stay unchanged.
	Kept []string
	// deployments maps each replica named in NotServing to its deployment.
	deployments map[string]string
}

// DeploymentOf returns the deployment of a replica named in NotServing.
func (p Plan) DeploymentOf(replica string) string { return p.deployments[replica] }
