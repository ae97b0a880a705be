package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/platform"
)

var errUnknownAddress = errors.New("no node at this address")

// DomainOptions describes a fabric domain of a cluster.
type DomainOptions struct {
	Name         string `yaml:"name"`
	DataHall     string `yaml:"data_hall"`
	Nodes        int    `yaml:"nodes"`
	Accelerators int    `yaml:"accelerators"`
	Services     int    `yaml:"services"`
	Unfenced     bool   `yaml:"unfenced"`
}

// ClusterOptions describes a cluster.
type ClusterOptions struct {
	Domains []DomainOptions
	// StoreGBPerSecond is the rate of the weight store.
	StoreGBPerSecond float64
	// LoadGB is what one node loads for one model version.
	LoadGB float64
	Step   time.Duration
	Slots  int
	// ListLag is the age of what the node list shows.
	ListLag time.Duration
	LoadLag time.Duration
	// Address returns the address of the node with the given id; with none
	// set the id itself serves as address, which does for calls in memory.
	Address func(id string) string
}

// Cluster is a set of nodes with their list. It implements the platform's
// interfaces in memory.
type Cluster struct {
	opts  ClusterOptions
	nodes []*Node
	byID  map[string]*Node
	byAdr map[string]*Node

	mu       sync.Mutex
	listed   []platform.ListedNode
	listedAt time.Time
}

var (
	_ platform.NodeList    = (*Cluster)(nil)
	_ platform.NodeControl = (*Cluster)(nil)
)

// NewCluster returns a cluster whose nodes are all up.
func NewCluster(opts ClusterOptions) *Cluster {
	c := &Cluster{opts: opts, byID: make(map[string]*Node), byAdr: make(map[string]*Node)}
	store := NewWeightStore(opts.StoreGBPerSecond)
	for _, d := range opts.Domains {
		for i := range d.Nodes {
			c.add(d, fmt.Sprintf("%s-n%02d", d.Name, i), platform.KindEngine, store)
		}
		for i := range d.Services {
			c.add(d, fmt.Sprintf("%s-s%02d", d.Name, i), platform.KindService, store)
		}
	}
	return c
}

func (c *Cluster) add(d DomainOptions, id string, kind platform.NodeKind, store *WeightStore) {
	address := id
	if c.opts.Address != nil {
		address = c.opts.Address(id)
	}
	n := NewNode(NodeOptions{
		Listed: platform.ListedNode{
			ID: id, Domain: d.Name, DataHall: d.DataHall, Address: address,
			Kind: kind, Accelerators: d.Accelerators,
		},
		Unfenced: d.Unfenced, Store: store, LoadGB: c.opts.LoadGB,
		Step: c.opts.Step, Slots: c.opts.Slots, LoadLag: c.opts.LoadLag,
		Alive: c.alive,
	})
	c.nodes = append(c.nodes, n)
	c.byID[id] = n
	c.byAdr[address] = n
}

// All returns the cluster's nodes.
func (c *Cluster) All() []*Node {
	return slices.Clone(c.nodes)
}

// Node returns the node with the given id.
func (c *Cluster) Node(id string) (*Node, bool) {
	n, ok := c.byID[id]
	return n, ok
}

func (c *Cluster) alive(id string) bool {
	n, ok := c.byID[id]
	return ok && n.Up()
}

// Nodes implements platform.NodeList. The list lags: it is made anew only when
// the last one is older than the lag.
func (c *Cluster) Nodes(context.Context) ([]platform.ListedNode, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listed != nil && time.Since(c.listedAt) < c.opts.ListLag {
		return c.listed, nil
	}
	c.listed = nil
	c.listedAt = time.Now()
	for _, n := range c.nodes {
		if n.Up() {
			c.listed = append(c.listed, n.Listed())
		}
	}
	slices.SortFunc(c.listed, func(a, b platform.ListedNode) int { return strings.Compare(a.ID, b.ID) })
	return c.listed, nil
}

// State implements platform.NodeControl.
func (c *Cluster) State(ctx context.Context, address string) (platform.NodeState, error) {
	n, ok := c.byAdr[address]
	if !ok {
		return platform.NodeState{}, failure.At(failure.Refused, "probe node", address, errUnknownAddress)
	}
	return n.State(ctx)
}

// Order implements platform.NodeControl.
func (c *Cluster) Order(ctx context.Context, address string, order platform.Order) (platform.OrderReply, error) {
	n, ok := c.byAdr[address]
	if !ok {
		return platform.OrderReply{}, failure.At(failure.Refused, "order node", address, errUnknownAddress)
	}
	return n.Order(ctx, order)
}
