// Package placement decides which nodes of a fabric domain form which replica.
// It is pure: the same input gives the same plan, and it does no I/O.
package placement

import (
	"slices"

	"quartzshelf.dev/cluster"
)

// Node is a node as the planner sees it. It is plain input, hence its exported
// fields.
type Node struct {
	ID string
	// Labels are those of the node list with the operators' laid over them.
	Labels map[string]string
	// Answering tells that the node answered the last probe.
	Answering bool
	// Lost tells that the node has been silent for so long that it is given up.
	Lost bool
	// Leaving tells that the node list or a label takes the node out.
	Leaving bool
	// Scripted tells that scripts run the node: it is never given an order.
	Scripted bool
	// Unorderable tells that the node cannot be given an order at present.
	Unorderable  bool
	Accelerators int
	Assignment   cluster.Assignment
	Phase        cluster.Phase
	Cached       []string
	// Preloading lists the versions that the node fetches beside its work.
	Preloading []string
}

// usable reports whether the node can be part of a replica from now on.
func (n Node) usable() bool {
	return n.Answering && !n.Lost && !n.Leaving && !n.Scripted && !n.Unorderable
}

// holds reports whether the node has the weights of a version.
func (n Node) holds(version string) bool {
	return slices.Contains(n.Cached, version)
}

// Want is what a deployment asks of the domain.
type Want struct {
	Deployment string
	// Replicas is how many replicas this domain should hold.
	Replicas int
	// Size is the number of nodes of a replica.
	Size     int
	Priority int
	Model    string
	Version  string
	Adapters []string
	// Selects reports whether a node with the given labels may be used.
	Selects func(labels map[string]string) bool
	// Objective prices the two measures.
	Objective Objective
	// Fill asks for further replicas from nodes that would be idle otherwise.
	Fill bool
	// MayRoll lists the replicas that may be taken down for a new version now.
	MayRoll []string
}

// Objective prices group downtime against stranded accelerators.
type Objective struct {
	// Downtime is the price of a second in which a wanted replica does not serve.
	Downtime float64
	// Stranded is the price of a second of one accelerator without a replica.
	Stranded float64
}

// Input is all that a plan depends on.
type Input struct {
	Domain string
	Nodes  []Node
	Wants  []Want
	// LoadSlots is how many replicas may load weights at a time, so that the
	// store brings up one soon rather than all late; zero is no limit.
	LoadSlots int
	// Closed tells that the domain's data hall is closed: replicas stay as they are, and
	// none is formed or repaired.
	Closed bool
}

// Step is one order to one node.
type Step struct {
	Node       string
	Assignment cluster.Assignment
	// Reason says why, for the operator.
	Reason string
}

// Preload is an order to one node to fetch a version.
type Preload struct {
	Node    string
	Version string
	Reason  string
}

// Formation is a group of steps that together form a replica.
type Formation struct {
	Replica string
	Steps   []Step
	Reason  string
}

// Plan is what to do and why the rest stays as it is.
type Plan struct {
	Formations []Formation
	// Preloads let nodes fetch weights beside their work.
	Preloads []Preload
	// Releases take nodes out of replicas that are no longer wanted.
	Releases []Step
	// Dark says, by replica, why a wanted replica does not serve.
	Dark map[string]string
	// Idle says, by node, why the node belongs to no replica.
	Idle map[string]string
	// Kept lists the replicas that stay as they are.
	Kept []string
	// deployments holds the deployment of each replica named in Dark.
	deployments map[string]string
}

// DeploymentOf returns the deployment of a replica named in Dark.
func (p Plan) DeploymentOf(replica string) string { return p.deployments[replica] }
