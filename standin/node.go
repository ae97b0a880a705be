package standin

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/token"
)

// cachedVersions is how many model versions a node keeps the weights of.
const cachedVersions = 2

var (
	errDown  = errors.New("connection refused")
	errStuck = errors.New("no answer")
)

// NodeOptions describes a node.
type NodeOptions struct {
	Listed cluster.ListedNode
	// Unfenced makes the node take any order, whatever its token.
	Unfenced bool
	Store    *WeightStore
	// LoadGB is what one node loads for a version it does not hold.
	LoadGB float64
	// Step is the time between two tokens.
	Step time.Duration
	// Slots is how many requests are worked on at once.
	Slots int
	// LoadLag is the age of the load that a state reports.
	LoadLag time.Duration
	// Alive reports whether the member node with the given id is up.
	Alive func(id string) bool
}

// Node is an engine's node or a plain service's node.
type Node struct {
	opts NodeOptions

	mu     sync.Mutex
	life   int
	up     bool
	stuck  bool
	state  cluster.NodeState
	cancel context.CancelFunc
	active int
	queue  int
	// reported and reportedAt are the load that a lagging report shows.
	reported   cluster.Load
	reportedAt time.Time
	// runs counts the calls of the plain service by what they carried.
	runs  map[string]int
	freed chan struct{}
}

// NewNode returns a node that is up and has no assignment.
func NewNode(opts NodeOptions) *Node {
	n := &Node{opts: opts, runs: make(map[string]int), freed: make(chan struct{})}
	n.Restart()
	return n
}

// Listed returns the node's row of the node list.
func (n *Node) Listed() cluster.ListedNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opts.Listed
}

// SetLeaving changes what the node list says of the node.
func (n *Node) SetLeaving(leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.Listed.Leaving = leaving
}

// Kill ends the node's process at once; its memory is lost.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up = false
	if n.cancel != nil {
		n.cancel()
		n.cancel = nil
	}
}

// Restart starts the node's process anew, with nothing assigned.
func (n *Node) Restart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.up {
		return
	}
	n.up = true
	n.life++
	n.active, n.queue = 0, 0
	n.state = cluster.NodeState{
		Node:  n.opts.Listed.ID,
		Phase: cluster.PhaseIdle,
		Start: strconv.Itoa(n.life),
	}
}

// SetStuck makes the node accept connections but answer nothing.
func (n *Node) SetStuck(stuck bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stuck = stuck
}

// Up reports whether the node's process runs.
func (n *Node) Up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

// reachable returns the error that a call to the node gets, if any.
func (n *Node) reachable(ctx context.Context, step string) error {
	n.mu.Lock()
	up, stuck := n.up, n.stuck
	n.mu.Unlock()
	if !up {
		return failure.At(failure.Refused, step, n.opts.Listed.ID, errDown)
	}
	if stuck {
		<-ctx.Done()
		return failure.At(failure.Unavailable, step, n.opts.Listed.ID, errStuck)
	}
	return nil
}

// State returns the node's state.
func (n *Node) State(ctx context.Context) (cluster.NodeState, error) {
	if err := n.reachable(ctx, "probe node"); err != nil {
		return cluster.NodeState{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stateLocked(), nil
}

func (n *Node) stateLocked() cluster.NodeState {
	now := time.Now()
	if now.Sub(n.reportedAt) >= n.opts.LoadLag {
		n.reported = cluster.Load{Queue: n.queue, Active: n.active, Slots: n.opts.Slots}
		n.reportedAt = now
	}
	state := n.state
	state.Cached = slices.Clone(state.Cached)
	state.Preloading = slices.Clone(state.Preloading)
	state.Load = n.reported
	return state
}

// Order gives the node an order. A node that checks tokens takes only a higher
// one than it holds.
func (n *Node) Order(ctx context.Context, order cluster.Order) (cluster.OrderReply, error) {
	if err := n.reachable(ctx, "order node"); err != nil {
		return cluster.OrderReply{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.opts.Unfenced && !order.Token.Higher(n.state.Token) {
		return cluster.OrderReply{State: n.stateLocked()}, nil
	}
	n.state.Token = order.Token
	if n.state.Assignment.Same(order.Assignment) {
		// The same assignment under a higher token disturbs nothing.
		n.preload(order.Preload)
		return cluster.OrderReply{Accepted: true, State: n.stateLocked()}, nil
	}
	if n.cancel != nil {
		n.cancel()
		n.cancel = nil
	}
	n.state.Assignment = order.Assignment
	n.begin(order.Assignment)
	n.preload(order.Preload)
	return cluster.OrderReply{Accepted: true, State: n.stateLocked()}, nil
}

// begin starts the work that an assignment asks for.
func (n *Node) begin(a cluster.Assignment) {
	switch {
	case a.Empty():
		n.state.Phase = cluster.PhaseIdle
	case slices.Contains(n.state.Cached, a.Version):
		n.state.Phase = cluster.PhaseReady
	default:
		n.state.Phase = cluster.PhaseLoading
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		go n.load(ctx, a)
	}
}

// preload begins to fetch the versions that the node neither holds nor fetches.
func (n *Node) preload(versions []string) {
	for _, v := range versions {
		if slices.Contains(n.state.Cached, v) || slices.Contains(n.state.Preloading, v) {
			continue
		}
		n.state.Preloading = append(n.state.Preloading, v)
		life := n.life
		go func() {
			if n.opts.Store != nil && n.opts.Store.Load(context.Background(), n.opts.LoadGB) != nil {
				return
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.life != life || !n.up {
				return
			}
			n.state.Preloading = slices.DeleteFunc(n.state.Preloading, func(p string) bool { return p == v })
			n.keep(v)
		}()
	}
}

// keep adds a version to those held and drops the oldest ones.
func (n *Node) keep(version string) {
	if slices.Contains(n.state.Cached, version) {
		return
	}
	n.state.Cached = append(n.state.Cached, version)
	if extra := len(n.state.Cached) - cachedVersions; extra > 0 {
		n.state.Cached = n.state.Cached[extra:]
	}
}

// load fetches the weights of a and then marks the node ready, unless another
// order came meanwhile.
func (n *Node) load(ctx context.Context, a cluster.Assignment) {
	if n.opts.Store != nil && n.opts.Store.Load(ctx, n.opts.LoadGB) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil || !n.up || !n.state.Assignment.Same(a) {
		return
	}
	n.keep(a.Version)
	n.state.Phase = cluster.PhaseReady
}

// Held returns the assignment of a node that is up, and whether it is ready to
// do its part of it.
func (n *Node) Held() (cluster.Assignment, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Assignment, n.up && n.state.Phase == cluster.PhaseReady
}

// Fence returns how often the node's process was started, and the token of the
// last order that it took in this life.
func (n *Node) Fence() (life int, held token.Token) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life, n.state.Token
}
