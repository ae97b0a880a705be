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

// maxCachedVersions is the number of model versions whose weights a node keeps.
const maxCachedVersions = 2

var (
	errDown  = errors.New("connection refused")
	errStuck = errors.New("no answer")
)

// NodeOptions describes a node.
type NodeOptions struct {
	// ListEntry is the node's entry in the node list.
	ListEntry cluster.ListedNode
	// IgnoreTokens makes the node accept orders regardless of their token.
	IgnoreTokens bool
	Store        *WeightStore
	// WeightsPerNodeGB is the size of the weights of a model version, in gigabytes.
	WeightsPerNodeGB float64
	// TokenInterval is the time that the engine takes for each token.
	TokenInterval time.Duration
	// Slots is the number of requests that the node runs concurrently.
	Slots int
	// MaxLoadAge is the maximum age of the load in the node's state.
	MaxLoadAge time.Duration
	// IsNodeUp reports whether the node with the given ID is running. If it is nil, all nodes count
	// as running.
	IsNodeUp func(id string) bool
}

// Node simulates a node that runs an engine or a plain service.
type Node struct {
	opts NodeOptions

	mu sync.Mutex
	// incarnation is the number of times that the node was started.
	incarnation int
	up          bool
	stuck       bool
	state       cluster.NodeState
	// cancelLoad cancels the load for the current assignment. It is nil if no load was started.
	cancelLoad     context.CancelFunc
	activeRequests int
	queuedRequests int
	// reportedLoad is the load in the node's state. loadReportedAt is when it was last updated.
	reportedLoad   cluster.Load
	loadReportedAt time.Time
	// callCounts is the number of calls of the plain service for each mark.
	callCounts map[string]int
	// slotFreed is closed and replaced whenever a slot becomes free.
	slotFreed chan struct{}
}

// NewNode returns a running node without an assignment.
func NewNode(opts NodeOptions) *Node {
	n := &Node{opts: opts, callCounts: make(map[string]int), slotFreed: make(chan struct{})}
	n.Restart()
	return n
}

// ListEntry returns the node's entry in the node list.
func (n *Node) ListEntry() cluster.ListedNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opts.ListEntry
}

// SetLeaving sets whether the node list shows the node as leaving.
func (n *Node) SetLeaving(leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.ListEntry.Leaving = leaving
}

// Kill stops the node at once. Restart then starts it without its state.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up = false
	if n.cancelLoad != nil {
		n.cancelLoad()
		n.cancelLoad = nil
	}
}

// Restart starts a killed node without an assignment. It does nothing if the node is running.
func (n *Node) Restart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.up {
		return
	}
	n.up = true
	n.incarnation++
	n.activeRequests, n.queuedRequests = 0, 0
	n.state = cluster.NodeState{
		Node:  n.opts.ListEntry.ID,
		Phase: cluster.PhaseIdle,
		Start: strconv.Itoa(n.incarnation),
	}
}

// SetUnresponsive makes calls to the node block until their context is done.
func (n *Node) SetUnresponsive(stuck bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stuck = stuck
}

// IsUp reports whether the node is running.
func (n *Node) IsUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

// checkReachable returns an error if the node is killed or stuck. If it is stuck, checkReachable
// blocks until ctx is done.
func (n *Node) checkReachable(ctx context.Context, step string) error {
	n.mu.Lock()
	up, stuck := n.up, n.stuck
	n.mu.Unlock()
	if !up {
		return failure.Wrap(failure.Refused, step, n.opts.ListEntry.ID, errDown)
	}
	if stuck {
		<-ctx.Done()
		return failure.Wrap(failure.Unavailable, step, n.opts.ListEntry.ID, errStuck)
	}
	return nil
}

// State returns the node's state.
func (n *Node) State(ctx context.Context) (cluster.NodeState, error) {
	if err := n.checkReachable(ctx, "probe node"); err != nil {
		return cluster.NodeState{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stateLocked(), nil
}

// stateLocked returns the node's state and updates its load if that is older than MaxLoadAge. The
// caller holds n.mu.
func (n *Node) stateLocked() cluster.NodeState {
	now := time.Now()
	if now.Sub(n.loadReportedAt) >= n.opts.MaxLoadAge {
		n.reportedLoad = cluster.Load{Queue: n.queuedRequests, Active: n.activeRequests, Slots: n.opts.Slots}
		n.loadReportedAt = now
	}
	state := n.state
	state.Cached = slices.Clone(state.Cached)
	state.Preloading = slices.Clone(state.Preloading)
	state.Load = n.reportedLoad
	return state
}

// Order sends the node an order. The node accepts it only if its token is higher than the token of
// the last accepted order, unless NodeOptions.IgnoreTokens is set.
func (n *Node) Order(ctx context.Context, order cluster.Order) (cluster.OrderReply, error) {
	if err := n.checkReachable(ctx, "order node"); err != nil {
		return cluster.OrderReply{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.opts.IgnoreTokens && !order.Token.Higher(n.state.Token) {
		return cluster.OrderReply{State: n.stateLocked()}, nil
	}
	n.state.Token = order.Token
	if n.state.Assignment.SameReplica(order.Assignment) {
		// The same assignment with a higher token does not interrupt the replica.
		n.preload(order.Preload)
		return cluster.OrderReply{Accepted: true, State: n.stateLocked()}, nil
	}
	if n.cancelLoad != nil {
		n.cancelLoad()
		n.cancelLoad = nil
	}
	n.state.Assignment = order.Assignment
	n.startAssignment(order.Assignment)
	n.preload(order.Preload)
	return cluster.OrderReply{Accepted: true, State: n.stateLocked()}, nil
}

// startAssignment sets the node's phase for an assignment and starts loading its weights if they
// are not cached. The caller holds n.mu.
func (n *Node) startAssignment(a cluster.Assignment) {
	switch {
	case a.IsEmpty():
		n.state.Phase = cluster.PhaseIdle
	case slices.Contains(n.state.Cached, a.Version):
		n.state.Phase = cluster.PhaseReady
	default:
		n.state.Phase = cluster.PhaseLoading
		ctx, cancel := context.WithCancel(context.Background())
		n.cancelLoad = cancel
		go n.load(ctx, a)
	}
}

// preload starts loading the versions that are neither cached nor being preloaded. The caller holds
// n.mu.
func (n *Node) preload(versions []string) {
	for _, v := range versions {
		if slices.Contains(n.state.Cached, v) || slices.Contains(n.state.Preloading, v) {
			continue
		}
		n.state.Preloading = append(n.state.Preloading, v)
		incarnation := n.incarnation
		go func() {
			if n.opts.Store != nil && n.opts.Store.Load(context.Background(), n.opts.WeightsPerNodeGB) != nil {
				return
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.incarnation != incarnation || !n.up {
				return
			}
			n.state.Preloading = slices.DeleteFunc(n.state.Preloading, func(p string) bool { return p == v })
			n.addCached(v)
		}()
	}
}

// addCached adds a version to the cache and drops the oldest ones beyond maxCachedVersions.
func (n *Node) addCached(version string) {
	if slices.Contains(n.state.Cached, version) {
		return
	}
	n.state.Cached = append(n.state.Cached, version)
	if surplus := len(n.state.Cached) - maxCachedVersions; surplus > 0 {
		n.state.Cached = n.state.Cached[surplus:]
	}
}

// load loads the weights for an assignment and then marks the node ready, unless the assignment has
// changed meanwhile.
func (n *Node) load(ctx context.Context, a cluster.Assignment) {
	if n.opts.Store != nil && n.opts.Store.Load(ctx, n.opts.WeightsPerNodeGB) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil || !n.up || !n.state.Assignment.SameReplica(a) {
		return
	}
	n.addCached(a.Version)
	n.state.Phase = cluster.PhaseReady
}

// CurrentAssignment returns the node's assignment, and whether the node is running and ready to
// serve it.
func (n *Node) CurrentAssignment() (cluster.Assignment, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Assignment, n.up && n.state.Phase == cluster.PhaseReady
}

// IncarnationAndToken returns how often the node was started, and the token of the last order that
// it accepted since its latest start.
func (n *Node) IncarnationAndToken() (incarnation int, last token.Token) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation, n.state.Token
}
