package proof

import (
	"context"
	"errors"
	"sync"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/rpc"
	"quartzshelf.dev/standin"
)

// Names of the places that daemons call besides each other.
const (
	placeLog   = "log"
	placeNodes = "nodes"
)

const transitDelay = 2 * time.Millisecond

var errCut = errors.New("cut off")

// network simulates the calls of daemons to each other, to the log and to the nodes. It can cut
// two places off from each other, and it can freeze daemons. The calls of a frozen daemon wait,
// before and after they take effect, until the daemon is resumed. Then they continue, however long
// the freeze has lasted.
type network struct {
	mu     sync.Mutex
	cuts   map[[2]string]bool
	frozen map[string]chan struct{}
	// armedFreezes holds pairs of a daemon and a place (the nodes or the log). The daemon's next
	// write to that place (an order to a node, an append to the log) freezes the daemon.
	armedFreezes map[[2]string]bool
	// killCounts holds the number of times that each daemon was killed.
	killCounts map[string]int
	peers      map[string]rpc.Peer
}

func newNetwork() *network {
	return &network{
		cuts: make(map[[2]string]bool), frozen: make(map[string]chan struct{}),
		armedFreezes: make(map[[2]string]bool), killCounts: make(map[string]int), peers: make(map[string]rpc.Peer),
	}
}

func (n *network) setCut(a, b string, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = isCut
	n.cuts[[2]string{b, a}] = isCut
}

// heal removes all cuts and armed freezes and resumes all frozen daemons.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = make(map[[2]string]bool)
	n.armedFreezes = make(map[[2]string]bool)
	for id, resumed := range n.frozen {
		close(resumed)
		delete(n.frozen, id)
	}
}

// freezeBeforeNext arms a freeze of the daemon. The freeze starts right before the daemon's next
// write to the place (the nodes or the log) takes effect.
func (n *network) freezeBeforeNext(id, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.armedFreezes[[2]string{id, place}] = true
}

// freezeIfArmed freezes the daemon if a freeze is armed for the place. Then it waits while the
// daemon is frozen.
func (n *network) freezeIfArmed(id, place string) {
	n.mu.Lock()
	isArmed := n.armedFreezes[[2]string{id, place}]
	delete(n.armedFreezes, [2]string{id, place})
	if isArmed {
		n.freezeLocked(id)
	}
	n.mu.Unlock()
	n.waitWhileFrozen(id)
}

func (n *network) freeze(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freezeLocked(id)
}

// freezeLocked freezes a running daemon. It does nothing to a killed daemon, because that one must
// be able to shut down. The mutex must be held.
func (n *network) freezeLocked(id string) {
	if n.frozen[id] == nil && n.peers[id] != nil {
		n.frozen[id] = make(chan struct{})
	}
}

func (n *network) resume(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.frozen[id]; resumed != nil {
		close(resumed)
		delete(n.frozen, id)
	}
}

// recordKill marks the daemon as killed and resumes it if it is frozen.
func (n *network) recordKill(id string) {
	n.mu.Lock()
	n.peers[id] = nil
	n.killCounts[id]++
	n.mu.Unlock()
	n.resume(id)
}

func (n *network) killCount(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killCounts[id]
}

func (n *network) isFrozen(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[id] != nil
}

// waitWhileFrozen blocks until the daemon is not frozen.
func (n *network) waitWhileFrozen(id string) {
	for {
		n.mu.Lock()
		resumed := n.frozen[id]
		n.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// transmit simulates the transport of a message from a daemon to a place. It waits while
// the sender or the receiver is frozen. If ctx ends before the receiver is resumed, or if the two
// are cut off from each other, transmit returns an error when ctx ends.
func (n *network) transmit(ctx context.Context, from, to string) error {
	n.waitWhileFrozen(from)
	time.Sleep(transitDelay)
	n.mu.Lock()
	isCut, resumed := n.cuts[[2]string{from, to}], n.frozen[to]
	n.mu.Unlock()
	if !isCut && resumed == nil {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-resumed:
		if !isCut {
			return nil
		}
		<-ctx.Done()
	}
	return failure.Wrap(failure.Unavailable, "carry call", to, errCut)
}

// callPlace makes a call to a place. The message and the reply can each be delayed or lost.
func callPlace[R any](ctx context.Context, n *network, from, to string, call func() (R, error)) (R, error) {
	var zero R
	if err := n.transmit(ctx, from, to); err != nil {
		return zero, err
	}
	reply, err := call()
	if transportErr := n.transmit(ctx, from, to); transportErr != nil {
		return zero, transportErr
	}
	return reply, err
}

// withCallTimeout returns a context that ends after five seconds, the maximum time of a call.
func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, 5*time.Second)
}

// hostLog is the log as seen by one daemon.
type hostLog struct {
	net  *network
	host string
	log  *standin.Log
}

func (l hostLog) Append(ctx context.Context, stream string, records []cluster.Record) (int64, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	return callPlace(ctx, l.net, l.host, placeLog, func() (int64, error) {
		l.net.freezeIfArmed(l.host, placeLog)
		return l.log.Append(ctx, stream, records)
	})
}

func (l hostLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (cluster.Batch, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	return callPlace(ctx, l.net, l.host, placeLog, func() (cluster.Batch, error) {
		return l.log.Read(ctx, stream, from, limit, wait)
	})
}

// hostNodes gives one daemon access to the nodes and their list.
type hostNodes struct {
	net     *network
	host    string
	cluster *standin.Cluster
}

func (h hostNodes) Nodes(ctx context.Context) ([]cluster.ListedNode, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	return callPlace(ctx, h.net, h.host, placeNodes, func() ([]cluster.ListedNode, error) { return h.cluster.Nodes(ctx) })
}

func (h hostNodes) State(ctx context.Context, address string) (cluster.NodeState, error) {
	return callPlace(ctx, h.net, h.host, placeNodes, func() (cluster.NodeState, error) { return h.cluster.State(ctx, address) })
}

func (h hostNodes) Order(ctx context.Context, address string, order cluster.Order) (cluster.OrderReply, error) {
	return callPlace(ctx, h.net, h.host, placeNodes, func() (cluster.OrderReply, error) {
		h.net.freezeIfArmed(h.host, placeNodes)
		return h.cluster.Order(ctx, address, order)
	})
}

// remotePeer makes calls from one daemon to another.
type remotePeer struct {
	net      *network
	from, to string
}

func (p remotePeer) connect(ctx context.Context) (rpc.Peer, error) {
	if err := p.net.transmit(ctx, p.from, p.to); err != nil {
		return nil, err
	}
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	peer := p.net.peers[p.to]
	if peer == nil {
		return nil, failure.Wrap(failure.Refused, "dial", p.to, errCut)
	}
	return peer, nil
}

// callPeer calls a method of the other daemon. The request and the reply can each be delayed or
// lost.
func callPeer[Q, R any](ctx context.Context, p remotePeer, q Q, method func(rpc.Peer, context.Context, Q) (R, error)) (R, error) {
	var zero R
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	peer, err := p.connect(ctx)
	if err != nil {
		return zero, err
	}
	reply, err := method(peer, ctx, q)
	if transportErr := p.net.transmit(ctx, p.from, p.to); transportErr != nil {
		return zero, transportErr
	}
	return reply, err
}

func (p remotePeer) Exchange(ctx context.Context, q *rpc.ExchangeRequest) (*rpc.ExchangeReply, error) {
	return callPeer(ctx, p, q, rpc.Peer.Exchange)
}

func (p remotePeer) Probe(ctx context.Context, q *rpc.ProbeRequest) (*rpc.ProbeReply, error) {
	return callPeer(ctx, p, q, rpc.Peer.Probe)
}

func (p remotePeer) Claim(ctx context.Context, q *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	return callPeer(ctx, p, q, rpc.Peer.Claim)
}

func (p remotePeer) Outcome(ctx context.Context, q *rpc.OutcomeRequest) (*rpc.OutcomeReply, error) {
	return callPeer(ctx, p, q, rpc.Peer.Outcome)
}

func (p remotePeer) LeaseShare(ctx context.Context, q *rpc.LeaseShareRequest) (*rpc.LeaseShareReply, error) {
	return callPeer(ctx, p, q, rpc.Peer.LeaseShare)
}
