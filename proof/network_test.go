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

// Names of the places that are not daemons.
const (
	placeLog   = "log"
	placeNodes = "nodes"
)

const transit = 2 * time.Millisecond

var errCut = errors.New("cut off")

// network carries calls between daemons, the log and the nodes. Places can be
// cut off from each other and daemons can be frozen: every call of a frozen
// daemon waits until it is continued, before and after it takes effect, and
// then goes on however late it is.
type network struct {
	mu     sync.Mutex
	cuts   map[[2]string]bool
	frozen map[string]chan struct{}
	// traps freeze a daemon right before its next order or append takes effect.
	traps map[[2]string]bool
	// deaths counts how often each daemon was killed.
	deaths map[string]int
	peers  map[string]rpc.Peer
}

func newNetwork() *network {
	return &network{
		cuts: make(map[[2]string]bool), frozen: make(map[string]chan struct{}),
		traps: make(map[[2]string]bool), deaths: make(map[string]int), peers: make(map[string]rpc.Peer),
	}
}

func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// heal mends all cuts and continues all daemons.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = make(map[[2]string]bool)
	n.traps = make(map[[2]string]bool)
	for id, resumed := range n.frozen {
		close(resumed)
		delete(n.frozen, id)
	}
}

// arm freezes the daemon right before its next order or append takes effect.
func (n *network) arm(id, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.traps[[2]string{id, place}] = true
}

// spring springs the trap of a daemon, if one is armed.
func (n *network) spring(id, place string) {
	n.mu.Lock()
	armed := n.traps[[2]string{id, place}]
	delete(n.traps, [2]string{id, place})
	if armed {
		n.freezeLocked(id)
	}
	n.mu.Unlock()
	n.gate(id)
}

func (n *network) freeze(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freezeLocked(id)
}

// freezeLocked freezes a daemon; one that is dead must be able to end.
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

// die notes that the daemon was killed.
func (n *network) die(id string) {
	n.mu.Lock()
	n.peers[id] = nil
	n.deaths[id]++
	n.mu.Unlock()
	n.resume(id)
}

func (n *network) deathsOf(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.deaths[id]
}

func (n *network) isFrozen(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[id] != nil
}

// gate waits while the daemon is frozen.
func (n *network) gate(id string) {
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

// pass carries a call from a daemon to a place, or fails when they are cut off.
func (n *network) pass(ctx context.Context, from, to string) error {
	n.gate(from)
	time.Sleep(transit)
	n.mu.Lock()
	cut, resumed := n.cuts[[2]string{from, to}], n.frozen[to]
	n.mu.Unlock()
	if !cut && resumed == nil {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-resumed:
		if !cut {
			return nil
		}
		<-ctx.Done()
	}
	return failure.At(failure.Unavailable, "carry call", to, errCut)
}

// between does a call: it may be held up or cut off before and after it takes
// effect.
func between[R any](ctx context.Context, n *network, from, to string, call func() (R, error)) (R, error) {
	var none R
	if err := n.pass(ctx, from, to); err != nil {
		return none, err
	}
	reply, err := call()
	if lost := n.pass(ctx, from, to); lost != nil {
		return none, lost
	}
	return reply, err
}

// withDefault gives a call a deadline if it has none.
func withDefault(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, 5*time.Second)
}

// hostLog is the log as one daemon reaches it.
type hostLog struct {
	net  *network
	host string
	log  *standin.Log
}

func (l hostLog) Append(ctx context.Context, stream string, records []cluster.Record) (int64, error) {
	ctx, cancel := withDefault(ctx)
	defer cancel()
	return between(ctx, l.net, l.host, placeLog, func() (int64, error) {
		l.net.spring(l.host, placeLog)
		return l.log.Append(ctx, stream, records)
	})
}

func (l hostLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (cluster.Batch, error) {
	ctx, cancel := withDefault(ctx)
	defer cancel()
	return between(ctx, l.net, l.host, placeLog, func() (cluster.Batch, error) {
		return l.log.Read(ctx, stream, from, limit, wait)
	})
}

// hostNodes are the nodes and their list as one daemon reaches them.
type hostNodes struct {
	net     *network
	host    string
	cluster *standin.Cluster
}

func (h hostNodes) Nodes(ctx context.Context) ([]cluster.ListedNode, error) {
	ctx, cancel := withDefault(ctx)
	defer cancel()
	return between(ctx, h.net, h.host, placeNodes, func() ([]cluster.ListedNode, error) { return h.cluster.Nodes(ctx) })
}

func (h hostNodes) State(ctx context.Context, address string) (cluster.NodeState, error) {
	return between(ctx, h.net, h.host, placeNodes, func() (cluster.NodeState, error) { return h.cluster.State(ctx, address) })
}

func (h hostNodes) Order(ctx context.Context, address string, order cluster.Order) (cluster.OrderReply, error) {
	return between(ctx, h.net, h.host, placeNodes, func() (cluster.OrderReply, error) {
		h.net.spring(h.host, placeNodes)
		return h.cluster.Order(ctx, address, order)
	})
}

// remotePeer is another daemon as one daemon reaches it.
type remotePeer struct {
	net      *network
	from, to string
}

func (p remotePeer) call(ctx context.Context) (rpc.Peer, error) {
	if err := p.net.pass(ctx, p.from, p.to); err != nil {
		return nil, err
	}
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	peer := p.net.peers[p.to]
	if peer == nil {
		return nil, failure.At(failure.Refused, "dial", p.to, errCut)
	}
	return peer, nil
}

// remote does one call to the other daemon.
func remote[Q, R any](ctx context.Context, p remotePeer, q Q, method func(rpc.Peer, context.Context, Q) (R, error)) (R, error) {
	var none R
	ctx, cancel := withDefault(ctx)
	defer cancel()
	peer, err := p.call(ctx)
	if err != nil {
		return none, err
	}
	reply, err := method(peer, ctx, q)
	if lost := p.net.pass(ctx, p.from, p.to); lost != nil {
		return none, lost
	}
	return reply, err
}

func (p remotePeer) Exchange(ctx context.Context, q *rpc.ExchangeRequest) (*rpc.ExchangeReply, error) {
	return remote(ctx, p, q, rpc.Peer.Exchange)
}

func (p remotePeer) Probe(ctx context.Context, q *rpc.ProbeRequest) (*rpc.ProbeReply, error) {
	return remote(ctx, p, q, rpc.Peer.Probe)
}

func (p remotePeer) Claim(ctx context.Context, q *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	return remote(ctx, p, q, rpc.Peer.Claim)
}

func (p remotePeer) Outcome(ctx context.Context, q *rpc.OutcomeRequest) (*rpc.OutcomeReply, error) {
	return remote(ctx, p, q, rpc.Peer.Outcome)
}

func (p remotePeer) LeaseShare(ctx context.Context, q *rpc.LeaseShareRequest) (*rpc.LeaseShareReply, error) {
	return remote(ctx, p, q, rpc.Peer.LeaseShare)
}
