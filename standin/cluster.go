package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
)

var errUnknownAddress = errors.New("no node at this address")

// DomainOptions describes a fabric domain of a cluster.
type DomainOptions struct {
	Name     string `yaml:"name"`
	DataHall string `yaml:"data_hall"`
	// EngineNodes is the number of nodes that run an engine.
	EngineNodes int `yaml:"nodes"`
	// Accelerators is the number of accelerators per node.
	Accelerators int `yaml:"accelerators"`
	// ServiceNodes is the number of nodes that run the plain service, in addition to EngineNodes.
	ServiceNodes int `yaml:"services"`
	// IgnoreTokens makes the nodes accept orders regardless of their token.
	IgnoreTokens bool `yaml:"unfenced"`
}

// ClusterOptions describes a cluster.
type ClusterOptions struct {
	Domains []DomainOptions
	// StoreGBPerSecond is the total rate of the weight store in gigabytes per second.
	StoreGBPerSecond float64
	// WeightsPerNodeGB is the size in gigabytes of the weights that each node loads for a model
	// version.
	WeightsPerNodeGB float64
	// TokenInterval is the time that an engine takes for each token.
	TokenInterval time.Duration
	// Slots is the number of requests that a node runs concurrently.
	Slots int
	// MaxListAge is the maximum age of the node list.
	MaxListAge time.Duration
	// MaxLoadAge is the maximum age of the load in a node's state.
	MaxLoadAge time.Duration
	// Address returns the address of the node with the given ID. If it is nil, the ID itself is the
	// address. That is sufficient for calls within the process.
	Address func(id string) string
}

// Cluster is a set of simulated nodes with their node list. It implements cluster.NodeList and
// cluster.NodeControl in memory.
type Cluster struct {
	opts      ClusterOptions
	nodes     []*Node
	byID      map[string]*Node
	byAddress map[string]*Node

	mu               sync.Mutex
	nodeList         []cluster.ListedNode
	nodeListCachedAt time.Time
}

var (
	_ cluster.NodeList    = (*Cluster)(nil)
	_ cluster.NodeControl = (*Cluster)(nil)
)

// NewCluster returns a cluster in which all nodes are running.
func NewCluster(opts ClusterOptions) *Cluster {
	c := &Cluster{opts: opts, byID: make(map[string]*Node), byAddress: make(map[string]*Node)}
	weightStore := NewWeightStore(opts.StoreGBPerSecond)
	for _, d := range opts.Domains {
		for i := range d.EngineNodes {
			c.addNode(d, fmt.Sprintf("%s-n%02d", d.Name, i), cluster.KindEngine, weightStore)
		}
		for i := range d.ServiceNodes {
			c.addNode(d, fmt.Sprintf("%s-s%02d", d.Name, i), cluster.KindService, weightStore)
		}
	}
	return c
}

func (c *Cluster) addNode(d DomainOptions, id string, kind cluster.NodeKind, weightStore *WeightStore) {
	address := id
	if c.opts.Address != nil {
		address = c.opts.Address(id)
	}
	n := NewNode(NodeOptions{
		ListEntry: cluster.ListedNode{
			ID: id, Domain: d.Name, DataHall: d.DataHall, Address: address,
			Kind: kind, Accelerators: d.Accelerators,
		},
		IgnoreTokens: d.IgnoreTokens, Store: weightStore, WeightsPerNodeGB: c.opts.WeightsPerNodeGB,
		TokenInterval: c.opts.TokenInterval, Slots: c.opts.Slots, MaxLoadAge: c.opts.MaxLoadAge,
		IsNodeUp: c.isNodeUp,
	})
	c.nodes = append(c.nodes, n)
	c.byID[id] = n
	c.byAddress[address] = n
}

// AllNodes returns the cluster's nodes.
func (c *Cluster) AllNodes() []*Node {
	return slices.Clone(c.nodes)
}

// Node returns the node with the given ID.
func (c *Cluster) Node(id string) (*Node, bool) {
	n, ok := c.byID[id]
	return n, ok
}

func (c *Cluster) isNodeUp(id string) bool {
	n, ok := c.byID[id]
	return ok && n.IsUp()
}

// Nodes implements cluster.NodeList. The list is cached for MaxListAge, so it may be out of date.
func (c *Cluster) Nodes(context.Context) ([]cluster.ListedNode, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodeList != nil && time.Since(c.nodeListCachedAt) < c.opts.MaxListAge {
		return c.nodeList, nil
	}
	c.nodeList = nil
	c.nodeListCachedAt = time.Now()
	for _, n := range c.nodes {
		if n.IsUp() {
			c.nodeList = append(c.nodeList, n.ListEntry())
		}
	}
	slices.SortFunc(c.nodeList, func(a, b cluster.ListedNode) int { return strings.Compare(a.ID, b.ID) })
	return c.nodeList, nil
}

// State implements cluster.NodeControl. It returns the state of the node at an address.
func (c *Cluster) State(ctx context.Context, address string) (cluster.NodeState, error) {
	n, ok := c.byAddress[address]
	if !ok {
		return cluster.NodeState{}, failure.Wrap(failure.Refused, "probe node", address, errUnknownAddress)
	}
	return n.State(ctx)
}

// Order implements cluster.NodeControl. It sends an order to the node at an address.
func (c *Cluster) Order(ctx context.Context, address string, order cluster.Order) (cluster.OrderReply, error) {
	n, ok := c.byAddress[address]
	if !ok {
		return cluster.OrderReply{}, failure.Wrap(failure.Refused, "order node", address, errUnknownAddress)
	}
	return n.Order(ctx, order)
}
