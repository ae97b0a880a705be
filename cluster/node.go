package cluster

import (
	"context"
	"fmt"

	"quartzshelf.dev/common/token"
)

// NodeKind tells what runs on a node.
type NodeKind string

// The kinds of nodes.
const (
	// KindEngine is a node that can be part of a replica of a model.
	KindEngine NodeKind = "engine"
	// KindService is a node that runs a plain service.
	KindService NodeKind = "service"
)

// ListedNode is one row of the node list.
type ListedNode struct {
	ID           string   `json:"id"`
	Domain       string   `json:"domain"`
	DataHall     string   `json:"data_hall"`
	Address      string   `json:"address"`
	Kind         NodeKind `json:"kind"`
	Accelerators int      `json:"accelerators"`
	Leaving      bool     `json:"leaving"`
}

// NodeList is the platform's list of live and leaving nodes. It lags.
type NodeList interface {
	// Nodes returns every listed node.
	Nodes(ctx context.Context) ([]ListedNode, error)
}

// Phase is the state of the work that an order started on a node.
type Phase string

// The phases of a node.
const (
	PhaseIdle    Phase = "idle"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
)

// Assignment says what a node is part of. The zero value is "of nothing".
type Assignment struct {
	Replica    string   `json:"replica,omitempty"`
	Generation uint64   `json:"generation,omitempty"`
	Deployment string   `json:"deployment,omitempty"`
	Model      string   `json:"model,omitempty"`
	Version    string   `json:"version,omitempty"`
	Adapters   []string `json:"adapters,omitempty"`
	// Members lists the nodes of the replica; the first one answers requests.
	Members []string `json:"members,omitempty"`
}

// Empty reports whether the assignment is of nothing.
func (a Assignment) Empty() bool {
	return a.Replica == ""
}

// Name returns REPLICA@GENERATION, as HeaderAssignment carries it.
func (a Assignment) Name() string {
	return fmt.Sprintf("%s@%d", a.Replica, a.Generation)
}

// Same reports whether both name the same generation of the same replica.
func (a Assignment) Same(other Assignment) bool {
	return a.Replica == other.Replica && a.Generation == other.Generation
}

// Order tells a node to take an assignment.
type Order struct {
	Token      token.Token `json:"token"`
	Assignment Assignment  `json:"assignment"`
	// Preload lists model versions whose weights the node should fetch beside
	// its work.
	Preload []string `json:"preload,omitempty"`
}

// Load is a node's own report of its work. It lags.
type Load struct {
	Queue  int `json:"queue"`
	Active int `json:"active"`
	Slots  int `json:"slots"`
}

// NodeState is a node's answer to a probe or an order.
type NodeState struct {
	Node       string      `json:"node"`
	Token      token.Token `json:"token"`
	Assignment Assignment  `json:"assignment"`
	Phase      Phase       `json:"phase"`
	// Start names the life of the node's process: it changes with a restart.
	Start string `json:"start"`
	// Cached lists the model versions whose weights the node holds.
	Cached []string `json:"cached"`
	// Preloading lists the versions that the node fetches beside its work.
	Preloading []string `json:"preloading,omitempty"`
	Load       Load     `json:"load"`
}

// OrderReply is a node's answer to an order.
type OrderReply struct {
	Accepted bool      `json:"accepted"`
	State    NodeState `json:"state"`
}

// NodeControl probes nodes and gives them orders.
type NodeControl interface {
	// State asks the node at address for its state.
	State(ctx context.Context, address string) (NodeState, error)
	// Order gives the node at address an order. An error does not mean that
	// the order was not accepted.
	Order(ctx context.Context, address string, order Order) (OrderReply, error)
}

// Headers between the daemon and the engines.
const (
	// HeaderRequest carries the identity of a request; an answer repeats it.
	HeaderRequest = "Engine-Request"
	// HeaderAssignment carries the replica and generation for which a request
	// is meant, as REPLICA@GENERATION; an engine of another one refuses it.
	HeaderAssignment = "Engine-Assignment"
	// HeaderStarted is "no" on a refusal given before anything was run.
	HeaderStarted = "Engine-Started"
	// HeaderPriority carries the priority of a request, higher is sooner.
	HeaderPriority = "Engine-Priority"
	// HeaderVersion names the model version that gave an answer.
	HeaderVersion = "Engine-Version"
)

// StartedNo is the value of HeaderStarted on a refusal before the start.
const StartedNo = "no"
