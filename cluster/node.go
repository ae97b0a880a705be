package cluster

import (
	"context"
	"fmt"

	"quartzshelf.dev/common/token"
)

// NodeKind is what runs on a node.
type NodeKind string

// The kinds of nodes.
const (
	// KindEngine nodes can be part of a replica of a model.
	KindEngine NodeKind = "engine"
	// KindService nodes run a plain service.
	KindService NodeKind = "service"
)

// ListedNode is one entry of the node list.
type ListedNode struct {
	ID           string   `json:"id"`
	Domain       string   `json:"domain"`
	DataHall     string   `json:"data_hall"`
	Address      string   `json:"address"`
	Kind         NodeKind `json:"kind"`
	Accelerators int      `json:"accelerators"`
	Leaving      bool     `json:"leaving"`
}

// NodeList is the platform's list of live and leaving nodes. It may be outdated.
type NodeList interface {
	// Nodes returns every listed node.
	Nodes(ctx context.Context) ([]ListedNode, error)
}

// Phase is how far a node has got with its assignment.
type Phase string

// The phases of a node.
const (
	// PhaseIdle nodes have no assignment.
	PhaseIdle Phase = "idle"
	// PhaseLoading nodes load the model of their assignment.
	PhaseLoading Phase = "loading"
	// PhaseReady nodes have loaded the model.
	PhaseReady Phase = "ready"
)

// Assignment describes the replica that a node belongs to. The zero value means none.
type Assignment struct {
	Replica    string   `json:"replica,omitempty"`
	Generation uint64   `json:"generation,omitempty"`
	Deployment string   `json:"deployment,omitempty"`
	Model      string   `json:"model,omitempty"`
	Version    string   `json:"version,omitempty"`
	Adapters   []string `json:"adapters,omitempty"`
	// Members lists the nodes of the replica; the first one serves its requests.
	Members []string `json:"members,omitempty"`
}

// IsEmpty reports whether the node belongs to no replica.
func (a Assignment) IsEmpty() bool {
	return a.Replica == ""
}

// Name returns the assignment as REPLICA@GENERATION, the form used in HeaderAssignment.
func (a Assignment) Name() string {
	return fmt.Sprintf("%s@%d", a.Replica, a.Generation)
}

// SameReplica reports whether a and other are for the same generation of the same replica.
func (a Assignment) SameReplica(other Assignment) bool {
	return a.Replica == other.Replica && a.Generation == other.Generation
}

// Order instructs a node to take an assignment.
type Order struct {
	// Token is the fence of the order. A node refuses an order unless its token is higher than that
	// of the last order accepted.
	Token      token.Token `json:"token"`
	Assignment Assignment  `json:"assignment"`
	// Preload lists model versions whose weights the node should fetch in the background.
	Preload []string `json:"preload,omitempty"`
}

// Load is the load that a node reports. It may be outdated.
type Load struct {
	// Queue is the number of waiting requests, Active the number of those being processed.
	Queue  int `json:"queue"`
	Active int `json:"active"`
	// Slots is the number of requests that can be processed concurrently.
	Slots int `json:"slots"`
}

// NodeState is a node's reply to a probe or an order.
type NodeState struct {
	Node       string      `json:"node"`
	Token      token.Token `json:"token"`
	Assignment Assignment  `json:"assignment"`
	Phase      Phase       `json:"phase"`
	// Start identifies the node's process. It changes when the process restarts.
	Start string `json:"start"`
	// Cached lists the model versions whose weights the node holds.
	Cached []string `json:"cached"`
	// Preloading lists the model versions whose weights the node is fetching in the background.
	Preloading []string `json:"preloading,omitempty"`
	Load       Load     `json:"load"`
}

// OrderReply is a node's reply to an order.
type OrderReply struct {
	Accepted bool      `json:"accepted"`
	State    NodeState `json:"state"`
}

// NodeControl probes nodes and sends them orders.
type NodeControl interface {
	// State requests the state of the node at address.
	State(ctx context.Context, address string) (NodeState, error)
	// Order sends an order to the node at address. After an error the order may have been accepted
	// nevertheless.
	Order(ctx context.Context, address string, order Order) (OrderReply, error)
}

// Headers of requests to engines and of their answers.
const (
	// HeaderRequest carries the id of a request; the answer repeats it.
	HeaderRequest = "Engine-Request"
	// HeaderAssignment carries the replica and generation that a request is for, as
	// REPLICA@GENERATION. An engine with another assignment refuses the request.
	HeaderAssignment = "Engine-Assignment"
	// HeaderStarted is "no" in a refusal if nothing has been executed.
	HeaderStarted = "Engine-Started"
	// HeaderPriority carries the priority of a request; higher ones run first.
	HeaderPriority = "Engine-Priority"
	// HeaderVersion carries the model version that produced an answer.
	HeaderVersion = "Engine-Version"
)

// StartedNo is the value of HeaderStarted if nothing has been executed.
const StartedNo = "no"
